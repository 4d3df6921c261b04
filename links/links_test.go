package links_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/links"
	"petrelstep/logs"
)

// counts implements links.Counter.
type counts map[string]int

func (c counts) Dialed(outcome string) { c[outcome]++ }

// TestUnreachedLogged checks when the log says that the box reaches no upstream, and that it
// reaches one again.
func TestUnreachedLogged(t *testing.T) {
	type dial struct{ address, outcome string }
	tests := map[string]struct {
		dials []dial
		lost  int
		found int
	}{
		"all are reached":             {dials: []dial{{"a", links.Connected}, {"b", links.Connected}}},
		"one has ended":               {dials: []dial{{"a", links.Refused}, {"a", links.Refused}, {"b", links.Connected}}},
		"one is reached between":      {dials: []dial{{"a", links.TimedOut}, {"b", links.Connected}, {"c", links.TimedOut}}},
		"two in a row":                {dials: []dial{{"a", links.TimedOut}, {"b", links.Refused}}, lost: 1},
		"many in a row, logged once":  {dials: []dial{{"a", links.TimedOut}, {"b", links.TimedOut}, {"c", links.Failed}}, lost: 1},
		"two in a row, then one is":   {dials: []dial{{"a", links.TimedOut}, {"b", links.TimedOut}, {"a", links.Connected}}, lost: 1, found: 1},
		"lost, reached and lost":      {dials: []dial{{"a", links.TimedOut}, {"b", links.TimedOut}, {"a", links.Connected}, {"a", links.TimedOut}, {"b", links.TimedOut}}, lost: 2, found: 1},
		"the same upstream only once": {dials: []dial{{"a", links.TimedOut}, {"a", links.TimedOut}, {"a", links.TimedOut}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			c := counts{}
			l := links.New(c, logs.New(&out, "info", "b0"))
			now, counted := time.Now(), 0
			for _, d := range tt.dials {
				now = now.Add(time.Second)
				l.Dialed(now, links.Target{Address: d.address}, d.outcome)
			}
			is.Equal(strings.Count(out.String(), "event=no_upstream_reached"), tt.lost)
			is.Equal(strings.Count(out.String(), "event=upstream_reached"), tt.found)
			for _, n := range c {
				counted += n
			}
			is.Equal(counted, len(tt.dials))
		})
	}
}
