package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"petrelstep/ledger"
	"petrelstep/platform/store"
	"petrelstep/platform/table"
	"petrelstep/refusal"
	"petrelstep/standin/platform"
	"petrelstep/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// owners holds the incarnations of the running boxes.
type owners map[string]int

func (o owners) Runs(box string, incarnation int) bool { return o[box] == incarnation }

// fixture is a stand-in platform with a ledger for each box.
type fixture struct {
	platform *platform.Platform
	table    *table.Table
	owners   owners
	boxes    map[string]*ledger.Ledger
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	p := platform.New(platform.Options{})
	server := httptest.NewServer(p.Handler())
	client := store.New(strings.TrimPrefix(server.URL, "http://"), nil)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{platform: p, table: table.New(client, time.Second), owners: owners{"a": 1, "b": 1}, boxes: map[string]*ledger.Ledger{}}
	done := make(chan struct{}, 2)
	for _, box := range []string{"a", "b"} {
		l := ledger.New(ctx, f.table, f.owners, box, 1, time.Hour)
		f.boxes[box] = l
		go func() {
			l.Run()
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
		client.Close()
		server.Close()
	})
	return f
}

func (f *fixture) fault(mode wire.FaultMode, count int) {
	f.platform.Fault(wire.Fault{Part: platform.Table, Mode: mode, Count: count})
}

var call = ledger.Call{Organisation: "lothian", Key: "notice-17", BodyHash: "h"}

func reasonOf(err error) refusal.Reason {
	var r refusal.Refusal
	if errors.As(err, &r) {
		return r.Reason()
	}
	return ""
}

// beginTest is a fault at one step of a call.
type beginTest struct {
	before func(f *fixture)              // before the first Begin
	first  refusal.Reason                // of the first Begin, empty if it may dispatch
	after  func(*fixture, *ledger.Entry) // between the two
	second refusal.Reason
	again  bool // the second may dispatch
	stored bool // the second gets the stored answer
	body   string
}

var beginTests = map[string]beginTest{
	"no fault x answered": {
		after:  func(f *fixture, e *ledger.Entry) { f.boxes["a"].Done(e, 200, "text/plain", []byte("ok")) },
		stored: true,
	},
	"no fault x in progress": {second: refusal.InProgress},
	"box killed x dispatched": {
		after:  func(f *fixture, _ *ledger.Entry) { delete(f.owners, "a") },
		second: refusal.DispatcherGone,
	},
	"box restarted x dispatched": {
		after:  func(f *fixture, _ *ledger.Entry) { f.owners["a"] = 2 },
		second: refusal.DispatcherGone,
	},
	"box frozen x marked unknown, then answers": {
		after: func(f *fixture, e *ledger.Entry) {
			delete(f.owners, "a")
			_, _, _ = f.boxes["b"].Begin(context.Background(), call)
			f.boxes["a"].Done(e, 200, "text/plain", []byte("ok"))
		},
		stored: true,
	},
	"service lost x unknown": {
		after:  func(f *fixture, e *ledger.Entry) { f.boxes["a"].Unknown(e) },
		second: refusal.UnknownOutcome,
	},
	"service unreachable x not run": {
		after: func(f *fixture, e *ledger.Entry) { f.boxes["a"].NotRun(e) },
		again: true,
	},
	"store down x insert": {
		before: func(f *fixture) { f.fault(wire.FaultModeDown, 0) },
		first:  refusal.StoreDown,
		after:  func(f *fixture, _ *ledger.Entry) { f.fault(wire.FaultModeNone, 0) },
		again:  true,
	},
	"reply lost x insert, once": {
		before: func(f *fixture) { f.fault(wire.FaultModeLoseReply, 1) },
		second: refusal.InProgress,
	},
	"reply lost x insert, repeatedly": {
		before: func(f *fixture) { f.fault(wire.FaultModeLoseReply, 3) },
		first:  refusal.StoreUnsettled,
		after:  func(f *fixture, _ *ledger.Entry) { f.settled() },
		again:  true,
	},
	"store down x answer": {
		after: func(f *fixture, e *ledger.Entry) {
			f.fault(wire.FaultModeDown, 2)
			f.boxes["a"].Done(e, 200, "text/plain", []byte("ok"))
			f.settled()
		},
		stored: true,
	},
	"reply lost x answer": {
		after: func(f *fixture, e *ledger.Entry) {
			f.fault(wire.FaultModeLoseReply, 1)
			f.boxes["a"].Done(e, 200, "text/plain", []byte("ok"))
		},
		stored: true,
	},
	"key reused x another body": {body: "other", second: refusal.KeyReused},
}

// TestBegin injects a fault at each step of a call and checks what the next
// caller with the same key gets: never a second right to dispatch.
func TestBegin(t *testing.T) {
	for name, tt := range beginTests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			ctx := context.Background()
			if tt.before != nil {
				tt.before(f)
			}
			entry, stored, err := f.boxes["a"].Begin(ctx, call)
			is.Equal(reasonOf(err), tt.first)
			is.True(stored == nil)
			is.Equal(entry != nil, tt.first == "")
			if tt.after != nil {
				tt.after(f, entry)
			}
			second := call
			if tt.body != "" {
				second.BodyHash = tt.body
			}
			entry, stored, err = f.boxes["b"].Begin(ctx, second)
			is.Equal(reasonOf(err), tt.second)
			is.Equal(entry != nil, tt.again)
			is.Equal(stored != nil, tt.stored)
		})
	}
}

// settled waits until no row is in state dispatched, that is until the ledger's
// background writes are done.
func (f *fixture) settled() {
	for range 200 {
		pending := false
		for _, row := range f.platform.Scan("ledger/", "") {
			pending = pending || strings.Contains(row.Value, `"dispatched"`)
		}
		if !pending && len(f.platform.Scan("ledger/", "")) > 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRace calls Begin for the same key at two boxes concurrently: exactly one
// gets the right to dispatch.
func TestRace(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for i := range 20 {
		c := call
		c.Key = strings.Repeat("k", i+1)
		rights := make(chan bool, 2)
		for _, box := range []string{"a", "b"} {
			go func() {
				e, _, _ := f.boxes[box].Begin(context.Background(), c)
				rights <- e != nil
			}()
		}
		one, two := <-rights, <-rights
		is.True(one != two) // exactly one may dispatch
	}
}

// TestSameKeyInOneBatch calls Begin for one key concurrently at one box, so that
// the writes meet in one group commit: exactly one may dispatch.
func TestSameKeyInOneBatch(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	// The callers queue up during a slow commit.
	f.platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeSlow, DelayMs: 200, Count: 1})
	other := call
	other.Key = "another"
	first := make(chan struct{})
	go func() {
		_, _, _ = f.boxes["a"].Begin(context.Background(), other)
		close(first)
	}()
	time.Sleep(50 * time.Millisecond)
	const callers = 16
	rights := make(chan bool, callers)
	for range callers {
		go func() {
			e, _, _ := f.boxes["a"].Begin(context.Background(), call)
			rights <- e != nil
		}()
	}
	n := 0
	for range callers {
		if <-rights {
			n++
		}
	}
	<-first
	is.Equal(n, 1)
}

func TestClean(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := store.New(strings.TrimPrefix(server.URL, "http://"), nil)
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	l := ledger.New(ctx, table.New(client, time.Second), owners{"a": 1}, "a", 1, 0)
	done := make(chan struct{})
	go func() { l.Run(); close(done) }()
	defer func() { cancel(); <-done }()
	e, _, err := l.Begin(ctx, call)
	is.NoErr(err)
	is.NoErr(l.Clean(ctx))
	is.Equal(len(p.Scan("ledger/", "")), 1) // a dispatched row stays
	l.Done(e, 200, "", nil)
	time.Sleep(2 * time.Millisecond)
	is.NoErr(l.Clean(ctx))
	is.Equal(len(p.Scan("ledger/", "")), 0)
}

// BenchmarkBegin reports the rows per transaction for concurrent calls and a
// table latency of 10 ms.
func BenchmarkBegin(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(callers, " callers"), func(b *testing.B) {
			p := platform.New(platform.Options{})
			p.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeSlow, DelayMs: 10})
			ctx, cancel := context.WithCancel(context.Background())
			l := ledger.New(ctx, p.Direct(), owners{"a": 1}, "a", 1, time.Hour)
			done := make(chan struct{})
			go func() { l.Run(); close(done) }()
			defer func() { cancel(); <-done }()
			rows := 0
			for b.Loop() {
				var all sync.WaitGroup
				for range callers {
					rows++
					c := ledger.Call{Organisation: "o", Key: fmt.Sprint(rows), BodyHash: "h"}
					all.Go(func() { _, _, _ = l.Begin(ctx, c) })
				}
				all.Wait()
			}
			_, commits := p.Counts()
			b.ReportMetric(float64(rows)/float64(commits), "rows/transaction")
		})
	}
}
