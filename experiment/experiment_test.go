package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brief returns a shortened scenario, to keep the tests fast.
func brief(name string) Scenario {
	s := Named(name)
	s.duration = 60 * time.Second
	for i := range s.faults {
		s.faults[i].at = 20 * time.Second
		s.faults[i].duration = min(s.faults[i].duration, 20*time.Second)
	}
	return s
}

// TestDeterministic checks that every scenario and policy gives the same results twice.
func TestDeterministic(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for _, p := range Policies() {
				first, second := Run(brief(s.Name), p, 5), Run(brief(s.Name), p, 5)
				is.Equal(fmt.Sprint(first), fmt.Sprint(second))
				is.True(first.Done > 0)
			}
		})
	}
}

// TestAccounted checks that no request is lost: each is done, rejected with a reason, or
// still in progress at the end.
func TestAccounted(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(brief("box_killed"), policies[p], 5)
			r := w.run(5)
			refused, open := 0, 0
			for _, n := range r.Refused {
				refused += n
			}
			for _, q := range w.requests {
				if !q.finished {
					open++
				}
			}
			is.Equal(r.Done+refused+open, r.Requests)
		})
	}
}
