// Package inflight tracks the generations that this box has in flight: it
// settles them with their home boxes and cancels those whose callers do not
// resume them.
package inflight

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"petrelstep/outputlen"
	"petrelstep/wire"
)

const (
	// settleInterval is the interval of progress reports to home boxes, which
	// extrapolate in between by the engines' step times.
	settleInterval = 6 * time.Second
	// checkInterval is the interval of checks for a new home box of a cell, which
	// gets a report at once.
	checkInterval = time.Second
)

// Homes reports the progress of generations to home boxes.
type Homes interface {
	Settle(ctx context.Context, cell string, items func(home string) []wire.SettleItem) bool
	IsHome(cell string) bool
	HomeOf(cell string) string
}

// Timer calls a function each period.
type Timer interface {
	Every(ctx context.Context, name string, period time.Duration, f func(now time.Time))
}

// Canceller ends a generation at its engine.
type Canceller interface {
	Cancel(ctx context.Context, address, attempt string) (wire.CancelAnswer, error)
}

// Generation is one generation in flight.
type Generation struct {
	Attempt     string
	Cell        string
	Engine      string
	Address     string
	Key         outputlen.Key
	Prompt      int
	MaxTokens   int
	Granted     bool   // by a home box, with which it is settled
	Home        string // home box that knows it
	tokens      atomic.Int64
	cancelTimer *time.Timer
}

// Progress records the number of tokens.
func (f *Generation) Progress(tokens int) { f.tokens.Store(int64(tokens)) }

// Tracker holds the generations in flight. It is safe for concurrent use.
type Tracker struct {
	mu            sync.Mutex
	homes         Homes
	lengths       *outputlen.Estimator
	engines       Canceller
	resumeTimeout time.Duration
	all           map[string]*Generation
	closed        bool
}

// New returns an empty tracker; callers have resumeTimeout to resume their
// streams.
func New(homes Homes, lengths *outputlen.Estimator, engines Canceller, resumeTimeout time.Duration) *Tracker {
	return &Tracker{homes: homes, lengths: lengths, engines: engines, resumeTimeout: resumeTimeout, all: map[string]*Generation{}}
}

// Start adds a generation.
func (s *Tracker) Start(f *Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[f.Attempt] = f
}

// Len returns the number of generations in flight.
func (s *Tracker) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// End removes and settles a generation that ended with the given tokens; cut
// reports whether it was ended early.
func (s *Tracker) End(attempt string, tokens int, cut bool) {
	s.mu.Lock()
	f, ok := s.all[attempt]
	delete(s.all, attempt)
	if ok && f.cancelTimer != nil {
		f.cancelTimer.Stop()
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	f.Progress(tokens)
	if !f.Granted || !s.homes.IsHome(f.Cell) {
		// A home box learns lengths from settled generations; others from their own.
		s.lengths.Progress(f.Key, 0, tokens)
		s.lengths.End(f.Key, tokens, cut)
	}
	if f.Granted {
		go s.settle(context.Background(), f.Cell, []*Generation{f}, true, cut)
	}
}

// Abandon cancels a generation unless its caller resumes it within the timeout.
func (s *Tracker) Abandon(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.all[attempt]
	if !ok || f.cancelTimer != nil || s.closed {
		return
	}
	f.cancelTimer = time.AfterFunc(s.resumeTimeout, func() { s.cancelAbandoned(f) })
}

// Resumed keeps a resumed generation from being cancelled. It reports whether
// the generation was in flight here.
func (s *Tracker) Resumed(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.all[attempt]
	if ok && f.cancelTimer != nil {
		f.cancelTimer.Stop()
		f.cancelTimer = nil
	}
	return ok
}

// ResumedElsewhere removes an abandoned generation that was resumed at another
// box.
func (s *Tracker) ResumedElsewhere(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.all[attempt]; ok && f.cancelTimer != nil {
		f.cancelTimer.Stop()
		delete(s.all, attempt)
	}
}

func (s *Tracker) cancelAbandoned(f *Generation) {
	const cancelTime = 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	answer, err := s.engines.Cancel(ctx, f.Address, f.Attempt)
	tokens := int(f.tokens.Load())
	if err == nil {
		tokens = max(tokens, answer.Count)
	}
	s.End(f.Attempt, tokens, answer.State != wire.CancelAnswerStateFinished)
}

// Run settles with home boxes until ctx ends.
func (s *Tracker) Run(ctx context.Context, timer Timer) {
	var last time.Time
	timer.Every(ctx, "settle", checkInterval, func(now time.Time) {
		due := now.Sub(last) >= settleInterval
		if due {
			last = now
		}
		s.settleAll(ctx, due)
	})
}

// settleAll settles all generations if due, and otherwise only those that a new
// home box does not know.
func (s *Tracker) settleAll(ctx context.Context, due bool) {
	s.mu.Lock()
	byCell := map[string][]*Generation{}
	for _, f := range s.all {
		if f.Granted {
			byCell[f.Cell] = append(byCell[f.Cell], f)
		}
	}
	s.mu.Unlock()
	for cell, flights := range byCell {
		if !due {
			flights = s.unknownTo(s.homes.HomeOf(cell), flights)
		}
		if len(flights) == 0 {
			continue
		}
		sort.Slice(flights, func(i, j int) bool { return flights[i].Attempt < flights[j].Attempt })
		s.settle(ctx, cell, flights, false, false)
	}
}

func (s *Tracker) unknownTo(home string, flights []*Generation) []*Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unknown []*Generation
	for _, f := range flights {
		if f.Home != home {
			unknown = append(unknown, f)
		}
	}
	return unknown
}

func (s *Tracker) settle(ctx context.Context, cell string, flights []*Generation, ended, cut bool) {
	receiver := ""
	ok := s.homes.Settle(ctx, cell, func(home string) []wire.SettleItem {
		receiver = home
		items := make([]wire.SettleItem, len(flights))
		for i, f := range flights {
			items[i] = s.item(f, home, ended, cut)
		}
		return items
	})
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range flights {
		f.Home = receiver
	}
}

// item returns the settle item of a generation, with full details if the home box
// does not know it yet.
func (s *Tracker) item(f *Generation, home string, ended, cut bool) wire.SettleItem {
	it := wire.SettleItem{Attempt: f.Attempt, Tokens: int(f.tokens.Load()), Ended: ended, Cut: cut}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Home != home {
		it.Engine, it.Prompt, it.MaxTokens = f.Engine, f.Prompt, f.MaxTokens
		it.Organisation, it.Model, it.Class = f.Key.Organisation, f.Key.Model, f.Key.Class
	}
	return it
}

// Get returns a generation in flight here, or nil.
func (s *Tracker) Get(attempt string) *Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[attempt]
}

// Close stops all cancel timers: abandoned generations keep running at their
// engines, and may be resumed at other boxes.
func (s *Tracker) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.all {
		if f.cancelTimer != nil {
			f.cancelTimer.Stop()
		}
	}
	s.closed = true
}
