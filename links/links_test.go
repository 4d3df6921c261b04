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

func (c counts) Dialed(outcome string)     { c[outcome]++ }
func (c counts) LinkChanged(change string) { c[change]++ }

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

// step is one thing that happens to the links of a box, a second after the one before.
type step func(l *links.Links, now time.Time)

func dial(t links.Target, outcome string) step {
	return func(l *links.Links, now time.Time) { l.Dialed(now, t, outcome) }
}

// cutOff is a failed connection to an upstream that another box reaches.
func cutOff(t links.Target) step {
	return func(l *links.Links, now time.Time) {
		l.Dialed(now, t, links.TimedOut)
		l.ReachedByPeer(now, t, "b1")
	}
}

func unreachedByPeer(t links.Target) step {
	return func(l *links.Links, now time.Time) {
		l.Dialed(now, t, links.Refused)
		l.UnreachedByPeer(t)
	}
}

func target(n int, service, hall string) links.Target {
	name := string(rune('a' + n))
	return links.Target{Address: name + ":1", Upstream: name, Service: service, Hall: hall}
}

// TestCut checks which links count as cut, from what this box and others reach.
func TestCut(t *testing.T) {
	plain1, plain2, llm1, llm2 := target(0, "plain", "h1"), target(1, "plain", "h2"), target(2, "llm", "h1"), target(3, "llm", "h2")
	tests := map[string]struct {
		steps    []step
		cut      []links.Target
		intact   []links.Target
		doubtful bool
	}{
		"nothing tried":                         {intact: []links.Target{plain1, llm2}},
		"unreached, no other box asked":         {steps: []step{dial(plain1, links.TimedOut)}, intact: []links.Target{plain1, llm2}},
		"none reached, no other box asked":      {steps: []step{dial(plain1, links.TimedOut), dial(llm1, links.Refused)}, intact: []links.Target{plain1}, doubtful: true},
		"ended: no other box reaches it":        {steps: []step{unreachedByPeer(plain1), unreachedByPeer(llm1)}, intact: []links.Target{plain1, llm1}},
		"one is cut off":                        {steps: []step{cutOff(plain1)}, cut: []links.Target{plain1}, intact: []links.Target{plain2, llm1}},
		"a service":                             {steps: []step{cutOff(plain1), dial(llm1, links.Connected), cutOff(plain2)}, cut: []links.Target{plain1, plain2, target(9, "plain", "h3")}, intact: []links.Target{llm1, target(9, "llm", "h3")}},
		"a hall":                                {steps: []step{cutOff(plain1), dial(plain2, links.Connected), cutOff(llm1)}, cut: []links.Target{target(9, "llm", "h1")}, intact: []links.Target{llm2, target(9, "plain", "h2")}},
		"all":                                   {steps: []step{cutOff(plain1), cutOff(llm2)}, cut: []links.Target{plain2, target(9, "other", "h9")}},
		"half of a service":                     {steps: []step{cutOff(plain1), dial(plain2, links.Connected), cutOff(target(4, "plain", "h3")), dial(plain2, links.Connected)}, cut: []links.Target{plain1}, intact: []links.Target{plain2, target(9, "plain", "h9")}},
		"reached again":                         {steps: []step{cutOff(plain1), dial(plain1, links.Connected)}, intact: []links.Target{plain1}},
		"all, then one reached":                 {steps: []step{cutOff(plain1), cutOff(llm2), dial(llm2, links.Connected)}, cut: []links.Target{plain1}, intact: []links.Target{llm2, plain2, llm1}},
		"cut off again after it was reached":    {steps: []step{cutOff(plain1), dial(plain1, links.Connected), cutOff(plain1)}, cut: []links.Target{plain1}, intact: []links.Target{plain2}},
		"calls without an id count for all":     {steps: []step{cutOff(links.Target{Address: "x:1"}), cutOff(links.Target{Address: "y:1"})}, cut: []links.Target{plain1}},
		"one upstream cut off twice is but one": {steps: []step{cutOff(plain1), cutOff(plain1)}, cut: []links.Target{plain1}, intact: []links.Target{plain2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := links.New(counts{}, logs.New(&bytes.Buffer{}, "info", "b0"))
			now := time.Now()
			for _, do := range tt.steps {
				now = now.Add(time.Second)
				do(l, now)
			}
			for _, c := range tt.cut {
				is.True(l.Cut(c)) // cut
			}
			for _, c := range tt.intact {
				is.True(!l.Cut(c)) // intact
			}
			is.Equal(l.Doubtful(), tt.doubtful)
		})
	}
}

// TestChecks checks that cut links are tried again once a second, a few at a time, and all at once
// when one of them is restored.
func TestChecks(t *testing.T) {
	is := is.New(t)
	l := links.New(counts{}, logs.New(&bytes.Buffer{}, "info", "b0"))
	now := time.Now()
	var all []links.Target
	for i := range 10 {
		all = append(all, target(i, "plain", "h1"))
		cutOff(all[i])(l, now)
	}
	known := func(u links.Target) bool { return u.Upstream != "j" }
	is.Equal(len(l.Checks(now, known)), 0)
	seen := map[string]bool{}
	for range 3 {
		now = now.Add(time.Second)
		due := l.Checks(now, known)
		is.True(len(due) > 0 && len(due) <= 9)
		for _, u := range due {
			seen[u.Upstream] = true
		}
		is.Equal(len(l.Checks(now, known)), 0) // not twice a second
	}
	is.Equal(len(seen), 9) // each of those that are still known
	is.Equal(len(l.View(now)), 9)
	l.Dialed(now, all[0], links.Connected)
	is.Equal(len(l.Checks(now, known)), 8)
	for _, u := range all[1:9] {
		l.Dialed(now, u, links.Connected)
	}
	is.True(l.Quiet())
}
