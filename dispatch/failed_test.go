package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/health"
	"petrelstep/refusal"
	"petrelstep/upstream/engine"
	"petrelstep/wire"
)

// TestGoneBeforeConnected guards against an engine that counts as failing, and a request that is
// tried again, as the caller left or the deadline passed before a connection to it was open.
func TestGoneBeforeConnected(t *testing.T) {
	tests := map[string]bool{"the caller left": true, "the deadline passed": false}
	for name, gone := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"state":"never_started"}`))
			}))
			defer server.Close()
			engines := engine.New()
			defer engines.Close()
			d := New(Components{Health: health.New(), Engines: engines})
			d.Health.MarkSeen(time.Now(), "e1", 1, time.Millisecond, time.Minute)
			at := try{attempt: "a1", engine: "e1", address: strings.TrimPrefix(server.URL, "http://")}
			first, cancel := context.WithCancel(t.Context()) // that of an attempt, which the deadline cancels
			cancel()
			ctx := t.Context() // the request's
			if gone {
				ctx = first
			}
			for range 3 {
				_, err := engines.Generate(first, at.address, wire.EngineJob{Attempt: at.attempt})
				is.True(err != nil)
				refused, again := d.classifyFailure(ctx, at, err)
				is.Equal(refused.Outcome(), refusal.NotRun)
				is.Equal(refused.Reason(), refusal.Deadline)
				is.Equal(again, "") // not tried again
			}
			is.True(d.Health.Eligible(time.Now(), "e1"))
		})
	}
}
