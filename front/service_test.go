package front

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/metrics"
	"petrelstep/refusal"
	"petrelstep/retry"
	"petrelstep/upstream/service"
	"petrelstep/wire"
)

// TestRepeatableOutcome guards against a call that may have run and is refused as not run, as a later
// try of it could not be sent.
func TestRepeatableOutcome(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	tests := map[string]struct {
		servers []*httptest.Server
		outcome refusal.Outcome
	}{
		"none is reached":                 {[]*httptest.Server{closed, closed}, refusal.NotRun},
		"the first may have run it":       {[]*httptest.Server{broken, closed, closed}, refusal.Unknown},
		"only the second may have run it": {[]*httptest.Server{closed, broken}, refusal.Unknown},
		"each of them may have run it":    {[]*httptest.Server{broken, broken}, refusal.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counts, err := metrics.New()
			is.NoErr(err)
			f := New(Components{Metrics: counts, Budget: retry.NewBudget(1, 10), Services: service.New(time.Second)})
			var targets []target
			for _, s := range tt.servers {
				targets = append(targets, target{s.URL, wire.Upstream{Address: strings.TrimPrefix(s.URL, "http://")}})
			}
			err = f.callRepeatable(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil), service.Call{Method: http.MethodGet, Path: "/x"}, targets)
			var refused refusal.Refusal
			is.True(errors.As(err, &refused))
			is.Equal(refused.Outcome(), tt.outcome)
		})
	}
}
