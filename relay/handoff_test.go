package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/evacuate"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/liveness"
	"petrelstep/runs"
)

// loss is what becomes of a send whose answer is lost.
type loss int

const (
	keepsOn   loss = iota + 1 // the engine runs the request to its end
	drops                     // the engine drops it, as its connection has closed
	unread                    // the engine never reads it
	preempted                 // the engine runs it later, and does not know it until then
	restarts                  // the engine restarts, which is known at once
	crashes                   // the engine crashes
	unsent                    // nothing was sent
)

// Times of the engines.
const (
	enginePace  = 10 * time.Millisecond
	preemptedIn = 200 * time.Millisecond
)

const engineEvents = 6

// engines simulates engines that run one request, and counts those at work on it at a time. A
// copy serves once at each engine that holds it.
type engines struct {
	w      *world
	losses map[int]loss // of sends, by their number
	stops  []error      // of the calls that stop a run, in order; nil: it succeeds

	mu      sync.Mutex
	sends   []string
	copies  map[string]bool // by upstream and copy
	atWork  map[string]bool // by upstream
	twice   bool            // two were at work at once
	moves   []string
	crashed string // an upstream
}

func (e *engines) begin(upstream string) {
	e.atWork[upstream] = true
	e.twice = e.twice || len(e.atWork) > 1
}

func (e *engines) end(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.atWork, upstream)
}

// Send implements exchange.Sender.
func (e *engines) Send(ctx context.Context, s exchange.Send) (*exchange.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends = append(e.sends, s.Upstream)
	lost := e.losses[len(e.sends)]
	if lost == unsent || s.Upstream == e.crashed {
		return nil, &exchange.FailedError{NotSent: true, Err: errReset}
	}
	answer := &exchange.Answer{Status: http.StatusOK, Sealed: true, Framed: true}
	if s.From != nil && lost != unread {
		held := s.Upstream + " " + s.From.ID
		if !e.copies[held] {
			answer.Status, answer.NotRun, answer.Body = http.StatusServiceUnavailable, true, &scriptedBody{ctx: ctx}
			return answer, nil
		}
		delete(e.copies, held)
	}
	if lost != 0 {
		e.lose(s.Upstream, lost)
		return nil, &exchange.FailedError{Err: errReset}
	}
	e.begin(s.Upstream)
	r := reply{pause: enginePace, wait: func() { e.end(s.Upstream) }}
	for id := s.After + 1; id < engineEvents; id++ {
		r.events = append(r.events, id)
	}
	if len(e.sends) == 1 {
		r.events, r.cutAfter, r.wait = r.events[:2], io.ErrUnexpectedEOF, func() { e.stopSource(s.Upstream) }
	}
	answer.Body = &scriptedBody{ctx: ctx, reply: r}
	return answer, nil
}

// lose plays what an engine does with a request whose answer is lost.
func (e *engines) lose(upstream string, l loss) {
	switch l {
	case keepsOn:
		e.begin(upstream)
		time.AfterFunc(time.Second, func() { e.end(upstream) })
	case preempted:
		time.AfterFunc(preemptedIn, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.begin(upstream)
		})
		time.AfterFunc(time.Second, func() { e.end(upstream) })
	case restarts:
		e.start(upstream, 200)
	case crashes:
		e.crashed = upstream
	}
}

// start announces that an engine has started.
func (e *engines) start(upstream string, at int64) {
	u, _ := e.w.fleet.Get(upstream)
	u.StartedAt, u.Version = at, u.Version+1
	e.w.fleet.Put(time.Now(), u)
}

// stopSource moves the run from its source to a target.
func (e *engines) stopSource(source string) {
	e.end(source)
	e.mu.Lock()
	defer e.mu.Unlock()
	from, _ := e.w.fleet.Get(source)
	target, _ := e.w.fleet.Get(targetOf(source))
	e.copies[source+" c1"], e.copies[target.ID+" c1"] = true, true
	for _, run := range e.w.runs.At(source) {
		run.BeginStop()
		run.ResolveStop(runs.Handoff{Copy: exchange.Copy{Holder: from.Address, ID: "c1"}, Target: target, Source: from, OK: true})
	}
}

// targetOf returns the engine to which a run is moved.
func targetOf(source string) string {
	if source == "llm3" {
		return "llm2"
	}
	return "llm3"
}

// Move implements evacuate.Mover.
func (e *engines) Move(ctx context.Context, source, run, _ string, last bool) (evacuate.CopyResult, error) {
	upstream := source[:len("llm0")]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moves = append(e.moves, fmt.Sprint(run, " ", last))
	var err error
	if at := len(e.moves) - 1; at < len(e.stops) {
		err = e.stops[at]
	}
	if errors.Is(err, context.DeadlineExceeded) {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
	}
	if upstream == e.crashed {
		err = errReset
	}
	if err != nil && !errors.Is(err, evacuate.ErrNoCapacity) {
		return evacuate.CopyResult{}, err
	}
	if !e.atWork[upstream] {
		return evacuate.CopyResult{}, evacuate.ErrNoRun
	}
	delete(e.atWork, upstream)
	e.copies[upstream+" c2"] = true
	return evacuate.CopyResult{Copy: exchange.Copy{Holder: source, ID: "c2"}, Events: 2}, err
}

// Release implements evacuate.Mover.
func (*engines) Release(context.Context, exchange.Copy) error { return nil }

// Check implements relay.LivenessChecker.
func (e *engines) Check(_ context.Context, u fleet.Upstream, _ bool) liveness.Finding {
	if u.ID == e.crashed {
		return liveness.Ended
	}
	return liveness.Alive
}

// movedLoss is one row of TestMovedAnswerLost.
type movedLoss struct {
	path   string       // /draft/ if empty
	losses map[int]loss // of sends, by their number: the target gets the second one
	stops  []error
	sends  string // S, T and o for the source, the target and another engine
	moves  int
	lost   bool // the caller gets the first two events only
}

func (tt movedLoss) check(t *testing.T, name string) {
	is := is.New(t)
	w := newWorld(t)
	e := &engines{w: w, losses: tt.losses, stops: tt.stops, copies: map[string]bool{}, atWork: map[string]bool{}}
	for i := range 4 {
		e.start(fmt.Sprint("llm", i), 100)
	}
	w.relay.Sender, w.relay.Mover, w.relay.Liveness, w.relay.Buffers = e, e, e, buffersFor(name)
	if tt.path == "" {
		tt.path = "/draft/"
	}
	c := w.serve(t.Context(), tt.path)
	time.Sleep(2 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.True(!e.twice || tt.path == "/check/") // a check may be repeated
	sends := ""
	for _, at := range e.sends {
		switch at {
		case e.sends[0]:
			sends += "S"
		case targetOf(e.sends[0]):
			sends += "T"
		default:
			sends += "o"
		}
	}
	is.Equal(sends, tt.sends)
	is.Equal(len(e.moves), tt.moves)
	for _, m := range e.moves {
		is.Equal(m, "r1 true")
	}
	is.Equal(c.aborted, tt.lost)
	if tt.lost {
		is.Equal(c.body.String(), "0;1;")
	} else {
		is.Equal(c.body.String(), "0;1;2;3;4;5;")
	}
	is.Equal(len(w.load.Own()), 0)
	is.Equal(w.runs.Len(), 0)
}

// TestMovedAnswerLost guards against two engines at work on one run: a moved run was sent back to
// its source when its answer at the target was lost, also if the target worked on it.
func TestMovedAnswerLost(t *testing.T) {
	at := func(l ...loss) map[int]loss {
		all := map[int]loss{}
		for i, loss := range l {
			all[i+2] = loss
		}
		return all
	}
	none := evacuate.ErrNoRun
	tests := map[string]movedLoss{
		"not lost":                                {sends: "ST"},
		"not sent":                                {losses: at(unsent), sends: "STS"},
		"at work, stopped":                        {losses: at(keepsOn), moves: 1, sends: "STT"},
		"at work, stopped, no room for its copy":  {losses: at(keepsOn), stops: []error{evacuate.ErrNoCapacity}, moves: 1, sends: "STT"},
		"at work, stopped, then not sent":         {losses: at(keepsOn, unsent), moves: 1, sends: "STTS"},
		"at work, stopped, lost again":            {losses: at(keepsOn, keepsOn), moves: 1, sends: "STT", lost: true},
		"at work, not stopped":                    {losses: at(keepsOn), stops: []error{errReset}, moves: 1, sends: "STT", lost: true},
		"at work, no answer to the stop":          {losses: at(keepsOn), stops: []error{context.DeadlineExceeded}, moves: 1, sends: "STT", lost: true},
		"never read":                              {losses: at(unread), moves: 1, sends: "STT"},
		"never read, the stop fails":              {losses: at(unread), stops: []error{errReset}, moves: 1, sends: "STT"},
		"never read, then not sent":               {losses: at(unread, unsent), moves: 1, sends: "STT", lost: true},
		"dropped, or unknown until it goes on":    {losses: at(drops), moves: 1, sends: "STT", lost: true},
		"preempted":                               {losses: at(preempted), stops: []error{none}, moves: 1, sends: "STT", lost: true},
		"the target restarts":                     {losses: at(restarts), moves: 1, sends: "STS"},
		"the target crashes":                      {losses: at(crashes), moves: 1, sends: "STTS"},
		"lost at the source too":                  {losses: at(unsent, keepsOn), moves: 1, sends: "STSS"},
		"lost at the source too, and not stopped": {losses: at(unsent, keepsOn), stops: []error{errReset}, moves: 1, sends: "STSS", lost: true},
		"a check, stopped":                        {path: "/check/", losses: at(keepsOn), moves: 1, sends: "STT"},
		"a check, dropped, is resumed":            {path: "/check/", losses: at(drops), moves: 1, sends: "STTo"},
	}
	for name, tt := range withAndWithoutBuffers(tests) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.check(t, name) })
		})
	}
}
