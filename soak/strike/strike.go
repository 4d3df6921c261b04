// Package strike does to a site what its users' days do: it breaks processes,
// links, the store and workers, one thing after the other and several at once,
// drawn from a seed.
package strike

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"petrelstep/soak/site"
	"petrelstep/soak/verdict"
	"petrelstep/standin/platform"
	"petrelstep/standin/relay"
	"petrelstep/standin/worker"
	"petrelstep/wire"
)

const (
	// pauseMost is the longest pause between strikes.
	pauseMost = 600 * time.Millisecond
	// lastMost is the longest that one strike lasts: longer than a key may be
	// served, so that beliefs go stale.
	lastMost = 6 * time.Second
	// overlap is one in how many strikes that is waited for before the next.
	overlap = 3
	// calmly is one in how many strikes before which all is let come to rest, and
	// a box stopped.
	calmly = 6
	// calm is how long nothing may have been wrong before a planned stop that is
	// to cut nothing: longer than any answer takes.
	calm = 3 * time.Second
	// stopTime is longer than a box's grace.
	stopTime = 12 * time.Second
	// badAnswers are spoiled in a row by one worker.
	badAnswers = 16
	// downWithKeys is how long the store is down while keys are taken away:
	// longer than a key may be served.
	downWithKeys = site.KeyAge + 2*time.Second
	// slowStore is how late the store's answers are, in ms.
	slowStore = 400
)

// Strikes is a seed's.
type Strikes struct {
	site   *site.Site
	random *rand.Rand
	out    io.Writer

	mu      sync.Mutex
	active  int
	ended   time.Time // of the last strike
	stops   []verdict.Stop
	failure error
}

// New returns strikes at a site; out is told of each.
func New(s *site.Site, seed uint64, out io.Writer) *Strikes {
	return &Strikes{site: s, random: rand.New(rand.NewPCG(seed, 0)), out: out}
}

// plan is one strike, drawn.
type plan struct {
	name string
	last time.Duration
	do   func(last time.Duration) error
}

// Run strikes until ctx ends, and waits until all is whole again. An error says
// that a box did not start, or a stand-in.
func (s *Strikes) Run(ctx context.Context) error {
	began := time.Now()
	var all sync.WaitGroup
	for ctx.Err() == nil {
		if s.random.IntN(calmly) == 0 {
			all.Wait()
			s.stopCalmly(ctx, s.site.Boxes[s.random.IntN(len(s.site.Boxes))], began)
			continue
		}
		p := s.draw()
		fmt.Fprintf(s.out, "%6.2f %s for %v\n", time.Since(began).Seconds(), p.name, p.last.Round(time.Millisecond))
		all.Go(func() { s.strike(p) })
		if s.random.IntN(overlap) == 0 {
			all.Wait()
		}
		select {
		case <-time.After(time.Duration(s.random.Int64N(int64(pauseMost)))):
		case <-ctx.Done():
		}
	}
	all.Wait()
	return s.failure
}

// stopCalmly stops a box once nothing has been wrong for a while.
func (s *Strikes) stopCalmly(ctx context.Context, b *site.Box, began time.Time) {
	select {
	case <-time.After(calm + pauseMost):
	case <-ctx.Done():
		return
	}
	fmt.Fprintf(s.out, "%6.2f stop %s in calm\n", time.Since(began).Seconds(), b.Name)
	s.strike(plan{do: func(time.Duration) error { return s.stop(b) }})
}

// Stops returns the planned stops with nothing else wrong.
func (s *Strikes) Stops() []verdict.Stop { return s.stops }

func (s *Strikes) strike(p plan) {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	err := p.do(p.last)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.ended = time.Now()
	if err != nil {
		s.failure = err
	}
}

// draw returns the next strike. All that is random is drawn here, so that a
// seed's strikes are the same on each run.
func (s *Strikes) draw() plan {
	box := s.site.Boxes[s.random.IntN(len(s.site.Boxes))]
	service := []string{"llm", "llm", "plain"}[s.random.IntN(3)]
	number, way := s.random.IntN(1000), relay.Way(s.random.IntN(3))
	last := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(lastMost)))
	short := min(last, 2*time.Second)
	p := plan{last: last}
	at := func(do func(w *site.Worker) error) func(time.Duration) error {
		return func(time.Duration) error {
			if w := s.site.Pick(service, number); w != nil {
				return do(w)
			}
			return nil
		}
	}
	switch s.random.IntN(26) {
	case 0, 1:
		p.name, p.last, p.do = "kill "+box.Name, short, func(last time.Duration) error { return s.kill(box, last) }
	case 2:
		p.name, p.do = "pause "+box.Name, func(last time.Duration) error { return s.pause(box, last) }
	case 3, 4:
		p.name, p.do = "stop "+box.Name, func(time.Duration) error { return s.stop(box) }
	case 5:
		p.name, p.do = "reload "+box.Name, func(time.Duration) error { box.Signal(syscall.SIGHUP); return nil }
	case 6:
		p.name, p.do = "reset callers of "+box.Name, func(time.Duration) error { box.Link.Cut(0); return nil }
	case 7:
		p.name, p.do = "cut the store from "+box.Name, linked(box.Store.Cut)
	case 8:
		p.name, p.do = fmt.Sprint("silence the store of ", box.Name, " way ", way), linked(func(last time.Duration) { box.Store.Silence(way, last) })
	case 9:
		p.name, p.do = "the store is down", s.store(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
	case 10:
		p.name, p.do = "the store is slow", s.store(wire.Fault{Part: platform.Table, Mode: wire.FaultModeSlow, DelayMs: slowStore})
	case 11:
		p.name, p.do = "the store loses answers", s.store(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply})
	case 12:
		p.name, p.do = "the store forgets", func(time.Duration) error { s.site.Platform.Forget(); return nil }
	case 13, 14:
		p.name, p.do = "a worker leaves: "+service, at(func(w *site.Worker) error { return s.site.Leave(w, true) })
	case 15:
		p.name, p.do = "a worker leaves without a word: "+service, at(func(w *site.Worker) error { return s.site.Leave(w, false) })
	case 16:
		p.name, p.do = "a worker crashes: "+service, at(s.site.Crash)
	case 17:
		p.name, p.last, p.do = "a worker's row lapses: "+service, short, func(last time.Duration) error {
			return at(func(w *site.Worker) error { s.site.Lapse(w, last); return nil })(last)
		}
	case 18:
		p.name, p.last, p.do = fmt.Sprint("silence a worker of ", service, " way ", way), short, func(last time.Duration) error {
			return at(func(w *site.Worker) error { w.Link.Silence(way, last); time.Sleep(last); return nil })(last)
		}
	case 19:
		p.name, p.do = "reset a worker's connections: "+service, at(func(w *site.Worker) error { w.Link.Cut(0); return nil })
	case 20, 21, 22:
		faults := s.faults()
		p.name, p.do = fmt.Sprint("bad answers of ", service, ": ", faults), at(func(w *site.Worker) error { w.Next(faults...); return nil })
	case 23:
		p.name, p.last, p.do = "the store is down, and keys are taken away", downWithKeys, func(last time.Duration) error {
			s.site.Platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
			s.site.Revoke("council")
			time.Sleep(last)
			s.site.Platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeNone})
			return nil
		}
	default:
		organisation := []string{"council", "firm"}[number%2]
		p.name, p.do = "keys taken away from "+organisation, func(time.Duration) error { s.site.Revoke(organisation); return nil }
	}
	return p
}

// linked lasts as long as what it does to a link.
func linked(do func(last time.Duration)) func(time.Duration) error {
	return func(last time.Duration) error {
		do(last)
		time.Sleep(last)
		return nil
	}
}

// faults draws some answers that a worker spoils.
func (s *Strikes) faults() []worker.Fault {
	all := []worker.Fault{
		worker.Full, worker.Failure, worker.Reset, worker.Cut, worker.Unsealed, worker.Foreign, worker.Extra, worker.Unframed,
		worker.NotHTTP, worker.LostReply, worker.Busy,
	}
	faults := make([]worker.Fault, badAnswers)
	for i := range faults {
		faults[i] = all[s.random.IntN(len(all))]
	}
	return faults
}

func (s *Strikes) store(f wire.Fault) func(time.Duration) error {
	return func(last time.Duration) error {
		s.site.Platform.Fault(f)
		time.Sleep(last)
		s.site.Platform.Fault(wire.Fault{Part: f.Part, Mode: wire.FaultModeNone})
		return nil
	}
}

func (s *Strikes) kill(b *site.Box, last time.Duration) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	b.Signal(syscall.SIGKILL)
	<-b.Ended()
	time.Sleep(last)
	return b.Start()
}

func (s *Strikes) pause(b *site.Box, last time.Duration) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	b.Signal(syscall.SIGSTOP)
	time.Sleep(last)
	b.Signal(syscall.SIGCONT)
	return nil
}

// stop stops a box as planned and starts it again. Where nothing else is wrong
// from well before until its end, no answer may be cut off.
func (s *Strikes) stop(b *site.Box) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	signal := time.Now()
	quiet := s.quietSince(signal.Add(-calm))
	b.Signal(syscall.SIGTERM)
	select {
	case <-b.Ended():
	case <-time.After(stopTime):
		b.Signal(syscall.SIGKILL)
		<-b.Ended()
		quiet = false
	}
	if quiet && s.quietSince(signal.Add(-calm)) {
		s.mu.Lock()
		s.stops = append(s.stops, verdict.Stop{Box: b.Name, From: signal.Add(-calm), Signal: signal, Until: time.Now()})
		s.mu.Unlock()
	}
	return b.Start()
}

// quietSince tells whether nothing but one strike was under way since a time.
func (s *Strikes) quietSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active <= 1 && s.ended.Before(at)
}
