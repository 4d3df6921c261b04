package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
)

// TestLinkCut guards against a sound upstream being taken for failed, here and by the other boxes,
// because this box's own link to it is cut.
func TestLinkCut(t *testing.T) {
	tests := map[string]struct {
		path   string
		reply  reply
		always bool // counts whether the link is cut or not
	}{
		"not reached":       {path: "/safe/", reply: reply{notSent: true, err: errReset}},
		"refused":           {path: "/safe/", reply: reply{notSent: true, refused: true, err: errReset}},
		"reset":             {path: "/once/", reply: reply{err: errReset}},
		"hangs":             {path: "/once/", reply: reply{hang: true}},
		"cut in the answer": {path: "/once/", reply: reply{body: "half", cutAfter: errReset}},
		"stream not opened": {path: "/draft/", reply: reply{err: errReset}},
		"failure answered":  {path: "/once/", reply: reply{status: 500}, always: true},
	}
	for name, tt := range tests {
		for reached, failing := range map[bool]bool{true: true, false: false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, tt.reply)
					w.relay.Reaches = func(fleet.Upstream) bool { return reached }
					w.serve(t.Context(), tt.path)
					is.New(t).Equal(w.reliability.FailureRate(time.Now(), w.sender.first()) > 0, failing || tt.always)
				})
			})
		}
	}
}
