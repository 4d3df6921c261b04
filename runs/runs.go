// Package runs keeps the streams that this box passes on, so that they can be
// moved from an upstream that leaves.
package runs

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"petrelstep/exchange"
	"petrelstep/fleet"
)

// Handoff says where a run goes on.
type Handoff struct {
	Copy   exchange.Copy
	Target fleet.Upstream
	Source fleet.Upstream // it can go on there too, should the target refuse
	OK     bool           // false: the run was not stopped
}

// Run is one stream that is passed on. It is safe for use by several goroutines.
type Run struct {
	Request *exchange.Request
	Began   time.Time
	Gap     time.Duration // longest pause in time; 0 for any. Set before it is added

	mu       sync.Mutex
	upstream fleet.Upstream
	events   int
	tokens   int // of memory
	perEvent int
	left     func(made int) int // expected tokens to come
	pending  chan Handoff
	copied   *Handoff
	ended    bool
}

// NewRun returns a run at an upstream; an event holds so many tokens, and left
// tells how many are expected to come once so many were made.
func NewRun(r *exchange.Request, u fleet.Upstream, perEvent int, left func(made int) int, now time.Time) *Run {
	return &Run{Request: r, Began: now, upstream: u, tokens: r.Prompt, perEvent: max(perEvent, 1), left: left}
}

// Upstream returns where it runs.
func (r *Run) Upstream() fleet.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstream
}

// Progress counts an event.
func (r *Run) Progress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	r.tokens += r.perEvent
}

// Events returns how many events were passed on.
func (r *Run) Events() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// Tokens returns the memory that it holds.
func (r *Run) Tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens
}

// Left returns the expected tokens to come.
func (r *Run) Left() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left(r.events * r.perEvent)
}

// Remaining returns the expected events to come.
func (r *Run) Remaining() int { return max(r.Left()/r.perEvent, 1) }

// Copied notes a copy made while it runs: should its upstream be lost, it goes
// on from there.
func (r *Run) Copied(h Handoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copied = &h
}

// Stopping notes that it is being stopped, so that its stream's end is not
// taken for the end of the answer. It reports false if it has ended.
func (r *Run) Stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.pending != nil {
		return false
	}
	r.pending = make(chan Handoff, 1)
	return true
}

// Stopped tells how the stop that Stopping announced went. The first word counts.
func (r *Run) Stopped(h Handoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped(h)
}

func (r *Run) stopped(h Handoff) {
	if r.pending == nil {
		return
	}
	select {
	case r.pending <- h:
	default:
	}
}

// restarted forgets a copy at an upstream that has started again, and ends a stop
// that it can no longer answer. It reports whether a copy was forgotten.
func (r *Run) restarted(u fleet.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstream.ID == u.ID && r.upstream.StartedAt < u.StartedAt {
		r.stopped(Handoff{})
	}
	if r.copied == nil || r.copied.Target.ID != u.ID || r.copied.Target.StartedAt >= u.StartedAt {
		return false
	}
	r.copied = nil
	return true
}

// GoesOn notes that the stop that Stopping announced came to nothing: the run may
// be stopped again.
func (r *Run) GoesOn() {
	r.Stopped(Handoff{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = nil
}

// Ended tells whether its answer has ended.
func (r *Run) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// IsStopping tells whether it is being stopped.
func (r *Run) IsStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending != nil
}

// Await returns where it goes on after its stream has closed: as its stop
// tells, or from a copy made before. It reports false if there is no such place.
func (r *Run) Await(ctx context.Context) (Handoff, bool) {
	r.mu.Lock()
	pending, copied := r.pending, r.copied
	r.mu.Unlock()
	if pending != nil {
		select {
		case h := <-pending:
			if h.OK {
				return h, true
			}
		case <-ctx.Done():
		}
	}
	if copied == nil {
		return Handoff{}, false
	}
	return *copied, true
}

// Moved notes that it goes on elsewhere.
func (r *Run) Moved(u fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream, r.pending, r.copied = u, nil, nil
}

// Runs is safe for use by several goroutines.
type Runs struct {
	mu   sync.Mutex
	all  map[*Run]struct{}
	sent map[*send]struct{}
}

// send is a request that is at an upstream, answered or not.
type send struct {
	upstream fleet.Upstream
	cut      func()
}

// New returns an empty registry.
func New() *Runs { return &Runs{all: map[*Run]struct{}{}, sent: map[*send]struct{}{}} }

// Add adds a run; the returned function takes it out.
func (s *Runs) Add(r *Run) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[r] = struct{}{}
	return func() {
		s.mu.Lock()
		delete(s.all, r)
		s.mu.Unlock()
		r.mu.Lock()
		r.ended = true
		r.mu.Unlock()
	}
}

// Sent notes a request at an upstream until end is called; cut breaks it off if that
// upstream starts again meanwhile.
func (s *Runs) Sent(u fleet.Upstream, cut func()) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := &send{u, cut}
	s.sent[at] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sent, at)
	}
}

// Restarted takes the news that an upstream has started again: what was sent to an
// earlier incarnation is broken off, and copies there are forgotten. It returns how
// many of each there were.
func (s *Runs) Restarted(u fleet.Upstream) (cut, copies int) {
	s.mu.Lock()
	var lost []*send
	for at := range s.sent {
		if at.upstream.ID == u.ID && at.upstream.StartedAt < u.StartedAt {
			lost = append(lost, at)
		}
	}
	runs := slices.Collect(maps.Keys(s.all))
	s.mu.Unlock()
	for _, r := range runs { // before the streams break, which ask for copies then
		if r.restarted(u) {
			copies++
		}
	}
	for _, at := range lost {
		at.cut()
	}
	return len(lost), copies
}

// At returns the runs at an upstream, the one with the least memory first: it
// leaves the soonest.
func (s *Runs) At(upstream string) []*Run {
	s.mu.Lock()
	var list []*Run
	for r := range s.all {
		if r.Upstream().ID == upstream {
			list = append(list, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool {
		if a, b := list[i].Tokens(), list[j].Tokens(); a != b {
			return a < b
		}
		return list[i].Request.ID < list[j].Request.ID
	})
	return list
}

// Upstreams returns the ids of upstreams that have runs.
func (s *Runs) Upstreams() map[string]fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]fleet.Upstream{}
	for r := range s.all {
		u := r.Upstream()
		found[u.ID] = u
	}
	return found
}

// Len returns how many there are.
func (s *Runs) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}
