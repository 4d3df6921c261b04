package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

// TestChanges checks which requests with a revoked key, or at a leaving worker, count as late.
func TestChanges(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	span := func(from, until float64) checker.Span { return checker.Span{From: at(from), Until: at(until)} }
	tests := map[string]struct {
		attempt   checker.Attempt
		arrives   float64 // seconds; the worker leaves at 10 s
		away      []checker.TurnedAway
		disrupted []checker.Span
		broken    []checker.Span // link of the worker
		want      string
	}{
		"a valid key":                         {attempt: checker.Attempt{Sent: at(20)}, arrives: 9},
		"a key that was just revoked":         {attempt: checker.Attempt{Sent: at(6.9), Revoked: at(5)}, arrives: 7},
		"a key that was revoked before":       {attempt: checker.Attempt{Sent: at(7.1), Revoked: at(5)}, arrives: 7.1, want: checker.Config},
		"at a box that is turned away by 503": {attempt: checker.Attempt{Sent: at(7.1), Revoked: at(5)}, arrives: 7.1, away: []checker.TurnedAway{{Box: "b", Span: span(4, 9)}}, want: checker.Config},
		"at a box that gets no answers":       {attempt: checker.Attempt{Sent: at(7.1), Revoked: at(5)}, arrives: 7.1, away: []checker.TurnedAway{{Box: "b", Unreachable: true, Span: span(4, 9)}}},
		"another box gets no answers":         {attempt: checker.Attempt{Sent: at(7.1), Revoked: at(5)}, arrives: 7.1, away: []checker.TurnedAway{{Box: "c", Unreachable: true, Span: span(4, 9)}}, want: checker.Config},
		"at a box that was paused before":     {attempt: checker.Attempt{Sent: at(7.1), Revoked: at(5)}, arrives: 7.1, disrupted: []checker.Span{span(1, 2.5)}},
		"at a box that was paused long ago":   {attempt: checker.Attempt{Sent: at(7.1), Revoked: at(5)}, arrives: 7.1, disrupted: []checker.Span{span(0, 1.5)}, want: checker.Config},
		"a worker that leaves":                {attempt: checker.Attempt{Sent: at(11)}, arrives: 11.9},
		"held back by a broken link":          {attempt: checker.Attempt{Sent: at(11)}, arrives: 12.1, broken: []checker.Span{span(11.5, 12)}},
		"sent after a link was broken":        {attempt: checker.Attempt{Sent: at(12)}, arrives: 12.1, broken: []checker.Span{span(11, 11.5)}, want: checker.Drain},
		"a worker that left before":           {attempt: checker.Attempt{Sent: at(12)}, arrives: 12.1, want: checker.Drain},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.attempt.ID, tt.attempt.Box = "r", "b"
			arrivals := []checker.Arrival{{Worker: "w", Arrival: worker.Arrival{ID: "r", At: at(tt.arrives)}}}
			violations, _ := checker.New(1, 0, 0).CheckChanges([]checker.Attempt{tt.attempt}, arrivals, tt.away, []checker.Departure{{Worker: "w", At: at(10)}}, map[string][]checker.Span{"b": tt.disrupted}, map[string][]checker.Span{"w": tt.broken}, 2*time.Second)
			if tt.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Guarantee, tt.want)
		})
	}
}
