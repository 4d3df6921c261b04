// Package inflight keeps the generations that this box has in flight: it
// settles them with their home boxes and cancels those whose callers do not
// come back.
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
	// settleEvery is how often home boxes are told how far generations are. In
	// between they go by the engines' pace; every second did no better.
	settleEvery = 6 * time.Second
	// lookEvery is how often it is looked whether a cell has another home box,
	// which is told at once.
	lookEvery = time.Second
)

// Homes tells home boxes how generations go on.
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
	Attempt   string
	Cell      string
	Engine    string
	Address   string
	Key       outputlen.Key
	Prompt    int
	MaxTokens int
	Granted   bool   // by a home box, which is settled with
	Home      string // box that knows of it
	tokens    atomic.Int64
	comeback  *time.Timer
}

// Progress notes how many tokens there are.
func (f *Generation) Progress(tokens int) { f.tokens.Store(int64(tokens)) }

// Tracker is safe for use by several goroutines.
type Tracker struct {
	mu       sync.Mutex
	homes    Homes
	lengths  *outputlen.Estimator
	engines  Canceller
	comeback time.Duration
	all      map[string]*Generation
	closed   bool
}

// New returns an empty registry; callers have comeback to take their streams up.
func New(homes Homes, lengths *outputlen.Estimator, engines Canceller, comeback time.Duration) *Tracker {
	return &Tracker{homes: homes, lengths: lengths, engines: engines, comeback: comeback, all: map[string]*Generation{}}
}

// Start adds a generation.
func (s *Tracker) Start(f *Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[f.Attempt] = f
}

// Len returns how many are in flight.
func (s *Tracker) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// End takes a generation out: it has so many tokens, and is cut if it would
// have had more.
func (s *Tracker) End(attempt string, tokens int, cut bool) {
	s.mu.Lock()
	f, ok := s.all[attempt]
	delete(s.all, attempt)
	if ok && f.comeback != nil {
		f.comeback.Stop()
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	f.Progress(tokens)
	if !f.Granted || !s.homes.IsHome(f.Cell) {
		// A home box learns from what is settled with it; others from their own.
		s.lengths.Progress(f.Key, 0, tokens)
		s.lengths.End(f.Key, tokens, cut)
	}
	if f.Granted {
		go s.settle(context.Background(), f.Cell, []*Generation{f}, true, cut)
	}
}

// Abandon cancels a generation once its caller has not come back for a while.
func (s *Tracker) Abandon(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.all[attempt]
	if !ok || f.comeback != nil || s.closed {
		return
	}
	f.comeback = time.AfterFunc(s.comeback, func() { s.giveUp(f) })
}

// Resumed learns that a caller came back, here or at another box: then the
// generation is not cancelled. It reports whether it was in flight here.
func (s *Tracker) Resumed(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.all[attempt]
	if ok && f.comeback != nil {
		f.comeback.Stop()
		f.comeback = nil
	}
	return ok
}

// ResumedElsewhere takes a generation out that another box goes on with.
func (s *Tracker) ResumedElsewhere(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.all[attempt]; ok && f.comeback != nil {
		f.comeback.Stop()
		delete(s.all, attempt)
	}
}

func (s *Tracker) giveUp(f *Generation) {
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
	timer.Every(ctx, "settle", lookEvery, func(now time.Time) {
		due := now.Sub(last) >= settleEvery
		if due {
			last = now
		}
		s.settleAll(ctx, due)
	})
}

// settleAll settles all when it is due, and otherwise only what a new home box
// does not know.
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
	told := ""
	ok := s.homes.Settle(ctx, cell, func(home string) []wire.SettleItem {
		told = home
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
		f.Home = told
	}
}

// item is short for a home box that knows the generation, and whole for another.
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

// Close ends all waits for callers to come back: what they left runs on at its
// engine, and other boxes may take it up.
func (s *Tracker) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.all {
		if f.comeback != nil {
			f.comeback.Stop()
		}
	}
	s.closed = true
}
