package inflight_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/inflight"
	"petrelstep/outputlen"
	"petrelstep/timer"
	"petrelstep/wire"
)

// homes records the settle items by home box. The home box may change.
type homes struct {
	mu       sync.Mutex
	home     string
	received map[string][]wire.SettleItem // by home box
}

func (h *homes) Settle(_ context.Context, _ string, items func(string) []wire.SettleItem) bool {
	h.mu.Lock()
	home := h.home
	h.mu.Unlock()
	settled := items(home)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received[home] = append(h.received[home], settled...)
	return true
}
func (h *homes) IsHome(string) bool { return false }
func (h *homes) HomeOf(string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home
}

// receivedBy returns the items that a home box received.
func (h *homes) receivedBy(home string) []wire.SettleItem {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.received[home])
}

func (h *homes) move(home string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home = home
}

// engines records cancels.
type engines struct {
	mu        sync.Mutex
	cancelled []string
}

func (e *engines) Cancel(_ context.Context, _, attempt string) (wire.CancelAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, attempt)
	return wire.CancelAnswer{State: wire.CancelAnswerStateCancelled, Count: 9}, nil
}

func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cancelled)
}

// TestSettle checks that a home box that knows a generation gets short items,
// and a new home box gets full details at once.
func TestSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &homes{home: "a", received: map[string][]wire.SettleItem{}}
		s := inflight.New(h, outputlen.New(), &engines{}, time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { s.Run(ctx, timer.New()); close(done) }()
		f := &inflight.Generation{Attempt: "x", Cell: "leith/0", Engine: "e", Granted: true, Home: "a"}
		s.Start(f)
		f.Progress(5)
		time.Sleep(20 * time.Second)
		is.True(len(h.receivedBy("a")) >= 3) // every 6 s
		is.Equal(h.receivedBy("a")[0].Engine, "")
		h.move("b")
		time.Sleep(2 * time.Second)
		is.Equal(h.receivedBy("b")[0].Engine, "e")
		is.Equal(h.receivedBy("b")[0].Tokens, 5)
		s.End("x", 8, false)
		synctest.Wait()
		all := h.receivedBy("b")
		last := all[len(all)-1]
		is.True(last.Ended)
		is.Equal(last.Tokens, 8)
		is.Equal(s.Len(), 0)
		cancel()
		<-done
	})
}

// TestAbandon checks whether a generation is cancelled after its caller hung up.
func TestAbandon(t *testing.T) {
	tests := map[string]struct {
		action    func(s *inflight.Tracker)
		cancelled int
		left      int // in flight
	}{
		"not resumed":              {func(*inflight.Tracker) {}, 1, 0},
		"resumed here":             {func(s *inflight.Tracker) { s.Resumed("x") }, 0, 1},
		"resumed elsewhere":        {func(s *inflight.Tracker) { s.ResumedElsewhere("x") }, 0, 0},
		"resumed, abandoned again": {func(s *inflight.Tracker) { s.Resumed("x"); s.Abandon("x") }, 1, 0},
		"box closes":               {func(s *inflight.Tracker) { s.Close() }, 0, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &engines{}
				s := inflight.New(&homes{received: map[string][]wire.SettleItem{}}, outputlen.New(), e, 3*time.Second)
				s.Start(&inflight.Generation{Attempt: "x"})
				s.Abandon("x")
				time.Sleep(2 * time.Second)
				is.Equal(e.count(), 0) // not before the timeout
				tt.action(s)
				time.Sleep(5 * time.Second)
				is.Equal(e.count(), tt.cancelled)
				is.Equal(s.Len(), tt.left)
			})
		})
	}
}
