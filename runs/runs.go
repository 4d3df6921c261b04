// Package runs tracks the streams that this box forwards, so that they can be moved from
// an upstream that is leaving.
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

// Handoff says where a moved run continues.
type Handoff struct {
	Copy   exchange.Copy
	Target fleet.Upstream
	Source fleet.Upstream // where the run continues if the target rejects it
	OK     bool           // false if the run was not stopped
}

// Run is a stream that is being forwarded. It is safe for use by several goroutines.
type Run struct {
	Request   *exchange.Request
	StartedAt time.Time
	MaxGap    time.Duration // longest gap between events that is in time; 0 for no limit. Set before Add

	mu          sync.Mutex
	upstream    fleet.Upstream
	events      int
	tokens      int // held in the upstream's memory
	eventTokens int
	remaining   func(made int) int // expected tokens still to come
	pending     chan Handoff
	copied      *Handoff
	ended       bool
}

// NewRun returns a run at an upstream. An event holds eventTokens tokens; remaining
// returns the expected number of tokens still to come after made tokens.
func NewRun(r *exchange.Request, u fleet.Upstream, eventTokens int, remaining func(made int) int, now time.Time) *Run {
	return &Run{Request: r, StartedAt: now, upstream: u, tokens: r.Prompt, eventTokens: max(eventTokens, 1), remaining: remaining}
}

// Upstream returns the upstream that runs it.
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
	r.tokens += r.eventTokens
}

// Events returns the number of events forwarded.
func (r *Run) Events() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// Tokens returns the number of tokens held in the upstream's memory.
func (r *Run) Tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens
}

// RemainingTokens returns the expected number of tokens still to come.
func (r *Run) RemainingTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remaining(r.events * r.eventTokens)
}

// RemainingEvents returns the expected number of events still to come; at least 1.
func (r *Run) RemainingEvents() int { return max(r.RemainingTokens()/r.eventTokens, 1) }

// SetCopy records a copy made while the run goes on: it continues from there if its
// upstream is lost.
func (r *Run) SetCopy(h Handoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copied = &h
}

// BeginStop records that the run is being stopped, so that the end of its stream is not
// taken for the end of the answer. It reports false if the run has ended or is being
// stopped already.
func (r *Run) BeginStop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.pending != nil {
		return false
	}
	r.pending = make(chan Handoff, 1)
	return true
}

// ResolveStop sets the result of the stop begun by BeginStop. Only the first call counts.
func (r *Run) ResolveStop(h Handoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resolveStop(h)
}

func (r *Run) resolveStop(h Handoff) {
	if r.pending == nil {
		return
	}
	select {
	case r.pending <- h:
	default:
	}
}

// upstreamRestarted drops a copy at an upstream that has restarted, and resolves a stop
// that the restarted upstream can no longer answer. It reports whether a copy was dropped.
func (r *Run) upstreamRestarted(u fleet.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstream.ID == u.ID && r.upstream.Born < u.Born {
		r.resolveStop(Handoff{})
	}
	if r.copied == nil || r.copied.Target.ID != u.ID || r.copied.Target.Born >= u.Born {
		return false
	}
	r.copied = nil
	return true
}

// CancelStop records that the stop begun by BeginStop failed: the run may be stopped
// again.
func (r *Run) CancelStop() {
	r.ResolveStop(Handoff{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = nil
}

// Ended reports whether the answer has ended.
func (r *Run) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// IsStopping reports whether the run is being stopped.
func (r *Run) IsStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending != nil
}

// AwaitHandoff returns where the run continues after its stream has closed: as the stop
// resolves, or from an earlier copy. It reports false if it cannot continue.
func (r *Run) AwaitHandoff(ctx context.Context) (Handoff, bool) {
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

// MovedTo records that the run continues at another upstream.
func (r *Run) MovedTo(u fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream, r.pending, r.copied = u, nil, nil
}

// Runs is the registry of a box's runs and sends. It is safe for use by several
// goroutines.
type Runs struct {
	mu    sync.Mutex
	all   map[*Run]struct{}
	sends map[*trackedSend]struct{}
}

// trackedSend is a request at an upstream, whether answered or not.
type trackedSend struct {
	upstream fleet.Upstream
	cancel   func()
}

// New returns an empty registry.
func New() *Runs { return &Runs{all: map[*Run]struct{}{}, sends: map[*trackedSend]struct{}{}} }

// Add adds a run; the returned function removes it.
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

// TrackSend tracks a request at an upstream until end is called. If the upstream restarts
// before, cancel is called.
func (s *Runs) TrackSend(u fleet.Upstream, cancel func()) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := &trackedSend{u, cancel}
	s.sends[sent] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sends, sent)
	}
}

// UpstreamRestarted cancels the requests sent to earlier incarnations of a restarted
// upstream and drops the copies held there. It returns the number of each.
func (s *Runs) UpstreamRestarted(u fleet.Upstream) (cancelled, copies int) {
	s.mu.Lock()
	var lost []*trackedSend
	for sent := range s.sends {
		if sent.upstream.ID == u.ID && sent.upstream.Born < u.Born {
			lost = append(lost, sent)
		}
	}
	runs := slices.Collect(maps.Keys(s.all))
	s.mu.Unlock()
	for _, r := range runs { // before the streams break, as they look for copies then
		if r.upstreamRestarted(u) {
			copies++
		}
	}
	for _, sent := range lost {
		sent.cancel()
	}
	return len(lost), copies
}

// At returns the runs at an upstream, in order of memory: the smallest move fastest.
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

// Upstreams returns the upstreams that have runs, by id.
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

// Len returns the number of runs.
func (s *Runs) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}
