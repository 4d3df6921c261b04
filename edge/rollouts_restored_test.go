package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/orders"
	"petrelstep/wire"
)

// rolloutRestore is an order over which the store comes back from an older copy. Times are since the
// order.
type rolloutRestore struct {
	bad       func(release string, since time.Duration) float64
	copied    time.Duration        // 0 for just before the order
	lost      func(s *rolloutSite) // written after the copy, and again after the restore
	lostAt    time.Duration
	restored  time.Duration
	starts    bool         // a box starts while the store holds the copy
	wantKnown orders.State // before the restore
	want      orders.State
}

// TestRolloutRestored guards against an order that is begun again, withdrawn, or whose outcome is lost when
// the store comes back from an older copy, and against a bad release that gets more than the bound.
func TestRolloutRestored(t *testing.T) {
	withdraw := func(s *rolloutSite) { s.table.remove("op", rolloutKey) }
	badLate, bad := fails("v2", 0.5, 8*time.Second), fails("v2", 0.5, 0)
	tests := map[string]rolloutRestore{
		"trial, in the copy":                        {copied: 3 * time.Second, restored: 4 * time.Second, want: orders.Completed},
		"trial, in the copy, bad late":              {bad: badLate, copied: 3 * time.Second, restored: 4 * time.Second, want: orders.RolledBack},
		"trial, the order is lost":                  {restored: 3 * time.Second, want: orders.Completed},
		"trial, the order is lost, bad late":        {bad: badLate, restored: 3 * time.Second, want: orders.RolledBack},
		"cutover, the copy has the trial, bad late": {bad: fails("v2", 0.5, 10500*time.Millisecond), copied: 8 * time.Second, restored: 10 * time.Second, want: orders.RolledBack},
		"trial, in the copy, a box starts":          {copied: 3 * time.Second, restored: 4 * time.Second, starts: true, want: orders.Completed},
		"trial, bad from the restore on":            {bad: fails("v2", 0.5, 4*time.Second), copied: 3 * time.Second, restored: 4 * time.Second, want: orders.RolledBack},
		"trial, the order is lost, bad from then":   {bad: fails("v2", 0.5, 3*time.Second), restored: 3 * time.Second, want: orders.RolledBack},
		"trial, the copy is from before its begin":  {copied: 50 * time.Millisecond, restored: 4 * time.Second, want: orders.Completed},
		"completed, a box starts":                   {copied: 7 * time.Second, restored: 14 * time.Second, starts: true, wantKnown: orders.Completed, want: orders.Completed},
		"completed, the copy has the trial":         {copied: 7 * time.Second, restored: 14 * time.Second, wantKnown: orders.Completed, want: orders.Completed},
		"completed, the order is lost":              {restored: 14 * time.Second, wantKnown: orders.Completed, want: orders.Completed},
		"rolled back, the copy has the trial":       {bad: bad, copied: 1500 * time.Millisecond, restored: 8 * time.Second, wantKnown: orders.RolledBack, want: orders.RolledBack},
		"rolled back, the order is lost":            {bad: bad, restored: 8 * time.Second, wantKnown: orders.RolledBack, want: orders.RolledBack},
		"withdrawn, the copy has the trial":         {copied: 3 * time.Second, lost: withdraw, lostAt: 4 * time.Second, restored: 5 * time.Second, wantKnown: orders.RolledBack, want: orders.RolledBack},
	}
	for name, tt := range tests {
		for _, boxes := range []int{6, 76} {
			t.Run(fmt.Sprint(name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tt.run(t, boxes) })
			})
		}
	}
}

func (p rolloutRestore) run(t *testing.T, boxes int) {
	ctx, end := (&cluster{}).context(t)
	defer end()
	s := newRolloutSite(ctx, t, boxes, max(testRate, 2*boxes))
	s.setBad(p.bad)
	s.table.restore(s.table.copyRows()) // a store that names its era
	time.Sleep(5 * time.Second)
	held := p.copyAround(s)
	s.sleepUntil(p.restored)
	p.restore(s, held)
	if p.wantKnown != "" {
		s.waitOutcomeWritten(p.want)
	}
	s.sleepUntil(p.restored + rolloutDuration + 5*time.Second)
	p.check(s)
}

// copyAround writes the order and what is lost, and returns the copy.
func (p rolloutRestore) copyAround(s *rolloutSite) storeCopy {
	held := s.table.copyRows()
	s.order("v2")
	if p.copied != 0 {
		s.sleepUntil(p.copied)
		held = s.table.copyRows()
	}
	if p.lost != nil {
		s.sleepUntil(p.lostAt)
		p.lost(s)
	}
	return held
}

// restore restores the store, in which what was lost is written again.
func (p rolloutRestore) restore(s *rolloutSite, held storeCopy) {
	is := is.New(s.t)
	decider := s.decider()
	before, _ := totals(decider.rollouts.counts.Sum("plain"))
	if p.wantKnown != "" {
		is.Equal(s.state(), string(p.wantKnown))
	}
	s.table.interrupt(true)
	time.Sleep(300 * time.Millisecond)
	s.table.restore(held)
	s.table.interrupt(false)
	if p.starts {
		s.startLate()
	}
	time.Sleep(time.Second)
	if p.copied == 0 {
		s.writeOrderAgain()
	}
	if p.lost != nil {
		p.lost(s)
	}
	if p.wantKnown == "" {
		time.Sleep(300 * time.Millisecond)
		after, _ := totals(decider.rollouts.counts.Sum("plain"))
		is.True(after > before || !decider.rollouts.counts.Active("plain")) // what was sent still counts for the bound
	}
}

// check checks the outcome and what was sent.
func (p rolloutRestore) check(s *rolloutSite) {
	is := is.New(s.t)
	is.Equal(s.state(), string(p.want))
	for _, outcome := range s.outcomes("v2") {
		is.Equal(outcome, string(p.want))
	}
	s.waitState(p.want, time.Second)
	s.table.mu.Lock()
	took := s.table.statusAt.Sub(s.ordered)
	s.table.mu.Unlock()
	is.True(p.wantKnown != "" || took <= rolloutDuration+time.Second) // not begun again
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.exceeded, "")
	if p.want == orders.RolledBack {
		is.True(time.Since(s.lastSent["v2"]) > 4*time.Second)
	}
}

// startLate starts a box that lists the store itself, and waits until it serves.
func (s *rolloutSite) startLate() {
	e := s.box(s.t, "late", "hall0")
	var records []wire.BoxRecord
	for _, other := range s.all {
		records = append(records, other.record)
	}
	s.mu.Lock()
	s.all = append(slices.Clone(s.all), e)
	s.mu.Unlock()
	s.startBox(s.t.Context(), e, append(records, e.record))
	e.setBoxes(append(records, e.record))
	e.joined.Store(true)
	s.waitAll(s.t, "serves", 2*time.Second, (*Edge).ready)
}

// writeOrderAgain writes the order of the candidate and its upstreams again.
func (s *rolloutSite) writeOrderAgain() {
	s.addUpstreams("v2")
	s.table.put("op", rolloutKey, fmt.Sprintf(`{"service":"plain","target_version":"v2","duration_s":%v}`, s.duration.Seconds()))
}

func (s *rolloutSite) sleepUntil(sinceOrder time.Duration) {
	time.Sleep(time.Until(s.ordered.Add(sinceOrder)))
}

// waitOutcomeWritten waits until the store has an outcome again.
func (s *rolloutSite) waitOutcomeWritten(want orders.State) {
	began := time.Now()
	for s.state() != string(want) {
		if time.Since(began) > changeBound {
			s.t.Fatalf("status %q after %v, want %q", s.state(), changeBound, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
