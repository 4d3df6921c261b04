package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brief returns a scenario cut short, so that tests stay quick.
func brief(name string) Scenario {
	s := Named(name)
	s.duration = 60 * time.Second
	for i := range s.faults {
		s.faults[i].at = 20 * time.Second
		s.faults[i].last = min(s.faults[i].last, 20*time.Second)
	}
	return s
}

// TestSame holds that every scenario and policy runs, and prints the same
// figures twice.
func TestSame(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for _, p := range Policies() {
				one, two := Run(brief(s.Name), p, 5), Run(brief(s.Name), p, 5)
				is.Equal(fmt.Sprint(one), fmt.Sprint(two))
				is.True(one.Done > 0)
			}
		})
	}
}

// TestAccounted holds that no request is lost in the experiment's own books:
// each is done, refused by a reason, or still under way at the end.
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
				if !q.over {
					open++
				}
			}
			is.Equal(r.Done+refused+open, r.Requests)
		})
	}
}
