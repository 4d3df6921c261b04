package relay_test

import (
	"net/http/httptest"
	"regexp"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"petrelstep/answers"
	"petrelstep/refusal"
)

// TestRefusedAnswers guards against answers that are refused without being counted, that are delivered
// as whole, or after which a request is repeated that may have run.
func TestRefusedAnswers(t *testing.T) {
	refused := map[string]error{answers.Unread: &answers.UnreadError{}, answers.Field: &answers.FieldError{Name: "X Own"}, answers.Status: &answers.StatusError{Status: 0}}
	is.New(t).Equal(len(refused), len(answers.Reasons()))
	tests := map[string]struct {
		path    string
		first   func(err error) reply
		sends   int
		refused bool // the caller is told that the request may have run
		aborted bool
	}{
		"no answer":                     {"/unsafe2/", func(err error) reply { return reply{err: err} }, 1, true, false},
		"no answer, may be repeated":    {"/safe/", func(err error) reply { return reply{err: err} }, 2, false, false},
		"whole answer":                  {"/unsafe2/", func(err error) reply { return reply{body: "pa", cutAfter: err} }, 1, true, false},
		"whole answer, may be repeated": {"/safe/", func(err error) reply { return reply{body: "pa", cutAfter: err} }, 2, false, false},
		"long answer":                   {"/safe/", func(err error) reply { return reply{body: "pa", rest: "rt", restErr: err} }, 1, false, true},
		"stream":                        {"/draft/", func(err error) reply { return reply{events: []int{0}, cutAfter: err} }, 1, false, true},
		"stream without an event":       {"/draft/", func(err error) reply { return reply{cutAfter: err} }, 1, true, false},
	}
	for name, tt := range tests {
		for reason, err := range refused {
			t.Run(name+", "+reason, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newWorld(t, tt.first(err), reply{body: "ok"})
					c := w.serve(t.Context(), tt.path)
					is.Equal(len(w.sender.sends), tt.sends)
					is.Equal(c.refused != nil, tt.refused)
					is.Equal(c.aborted, tt.aborted)
					if tt.refused {
						is.Equal(c.refused.Reason(), refusal.NoAnswer)
					}
					out := httptest.NewRecorder()
					w.relay.Metrics.Handler().ServeHTTP(out, httptest.NewRequest("GET", "/metrics", nil))
					is.True(regexp.MustCompile(`petrelstep_upstream_answers_refused_total\{[^}]*reason="` + reason + `"[^}]*\} 1\n`).MatchString(out.Body.String()))
				})
			})
		}
	}
}
