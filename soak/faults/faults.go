// Package faults does to a site what its users' days do: it breaks processes,
// links, the store and workers, one thing after the other and several at once,
// drawn from a seed.
package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
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
	// entryShare is one in how many strikes beside which a worker starts again under its
	// id, or entries are spoilt.
	entryShare = 2
	// calmly is one in how many strikes before which all is let come to rest, and
	// a box stopped.
	calmly = 6
	// calm is how long nothing may have been wrong before a planned stop that is
	// to cut nothing: longer than any answer takes.
	calm = 3 * time.Second
	// stopTime is a box's grace of 8 s, and what a busy machine takes to end a
	// process: one that is still there then is ended by force.
	stopTime = 8500 * time.Millisecond
	// badAnswers are spoiled in a row by each worker of a service; one alone is
	// passed by after its first.
	badAnswers = 6
	// downWithKeys is how long the store is down while keys are taken away:
	// longer than a key may be served.
	downWithKeys = site.KeyAge + 2*time.Second
	// evacuated is how long a hall is evacuated.
	evacuated = 5 * time.Second
	// slowStore is how late the store's answers are, in ms.
	slowStore = 400
)

// StopError says that a box did not end within the time of its planned stop.
type StopError struct{ Box string }

// Error implements error.
func (e *StopError) Error() string { return "stop of " + e.Box + ": not ended in " + stopTime.String() }

// Injector is a seed's.
type Injector struct {
	site   *site.Site
	random *rand.Rand
	halls  *rand.Rand // which are evacuated
	entry  *rand.Rand // whose entries are struck; drawn apart, so that the other strikes of a seed stay the same
	need   *rand.Rand // who names limits
	word   *rand.Rand // who leaves by its answers, and who asks for rest
	out    io.Writer

	mu      sync.Mutex
	active  int
	ended   time.Time // of the last strike
	stops   []checker.Stop
	failure error

	evacuations []checker.Evacuation
}

// New returns strikes at a site; out is told of each.
func New(s *site.Site, seed uint64, out io.Writer) *Injector {
	return &Injector{site: s, random: rand.New(rand.NewPCG(seed, 0)), halls: rand.New(rand.NewPCG(seed, 1)), entry: rand.New(rand.NewPCG(seed, 2)), need: rand.New(rand.NewPCG(seed, 3)), word: rand.New(rand.NewPCG(seed, 4)), out: out}
}

// plan is one strike, drawn.
type plan struct {
	name string
	last time.Duration
	do   func(last time.Duration) error
}

// Run strikes until ctx ends, and waits until all is whole again. An error says
// that a box did not start, or a stand-in.
func (s *Injector) Run(ctx context.Context) error {
	began := time.Now()
	var all sync.WaitGroup
	for ctx.Err() == nil {
		if s.random.IntN(calmly) == 0 {
			all.Wait()
			s.stopCalmly(ctx, s.site.Boxes[s.random.IntN(len(s.site.Boxes))], began)
			s.evacuateCalmly(ctx, site.Halls()[s.halls.IntN(len(site.Halls()))], began)
			continue
		}
		p := s.draw()
		fmt.Fprintf(s.out, "%6.2f %s for %v\n", time.Since(began).Seconds(), p.name, p.last.Round(time.Millisecond))
		all.Go(func() { s.strike(p) })
		if s.entry.IntN(entryShare) == 0 {
			e := s.onEntry()
			fmt.Fprintf(s.out, "%6.2f %s\n", time.Since(began).Seconds(), e.name)
			all.Go(func() { s.strike(e) })
		}
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
func (s *Injector) stopCalmly(ctx context.Context, b *site.Box, began time.Time) {
	select {
	case <-time.After(calm + pauseMost):
	case <-ctx.Done():
		return
	}
	fmt.Fprintf(s.out, "%6.2f stop %s in calm\n", time.Since(began).Seconds(), b.Name)
	s.strike(plan{do: func(time.Duration) error { return s.stop(b) }})
}

// evacuateCalmly evacuates a hall once nothing has been wrong for a while, and takes
// that back.
func (s *Injector) evacuateCalmly(ctx context.Context, hall string, began time.Time) {
	select {
	case <-time.After(calm + pauseMost):
	case <-ctx.Done():
		return
	}
	fmt.Fprintf(s.out, "%6.2f evacuate %s in calm\n", time.Since(began).Seconds(), hall)
	s.strike(plan{do: func(time.Duration) error { return s.evacuate(hall) }})
}

// evacuate is judged where nothing else is wrong.
func (s *Injector) evacuate(hall string) error {
	from := time.Now()
	s.site.Platform.Evacuate(hall)
	time.Sleep(evacuated)
	if s.quietSince(from.Add(-calm)) {
		s.mu.Lock()
		s.evacuations = append(s.evacuations, checker.Evacuation{Hall: hall, From: from, Until: time.Now()})
		s.mu.Unlock()
	}
	s.site.Platform.CancelEvacuation(hall)
	return nil
}

// Evacuations returns those with nothing else wrong.
func (s *Injector) Evacuations() []checker.Evacuation { return s.evacuations }

// Stops returns the planned stops with nothing else wrong.
func (s *Injector) Stops() []checker.Stop { return s.stops }

func (s *Injector) strike(p plan) {
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

// drawn is what is random about a strike.
type drawn struct {
	box     *site.Box
	service string
	number  int
	way     faultproxy.Way
	last    time.Duration
	short   time.Duration // the same, for what is not to last long
	faults  []worker.Fault
}

// at does something to a worker of the service that was drawn.
func (s *Injector) at(d drawn, do func(w *site.Worker) error) func(time.Duration) error {
	return func(time.Duration) error {
		if w := s.site.Pick(d.service, d.number); w != nil {
			return do(w)
		}
		return nil
	}
}

// draw returns the next strike. All that is random is drawn here, so that a
// seed's strikes are the same on each run.
func (s *Injector) draw() plan {
	d := drawn{
		box: s.site.Boxes[s.random.IntN(len(s.site.Boxes))], service: []string{"llm", "llm", "plain"}[s.random.IntN(3)],
		number: s.random.IntN(1000), way: faultproxy.Way(s.random.IntN(3)),
		last: 300*time.Millisecond + time.Duration(s.random.Int64N(int64(lastMost))), faults: s.faults(),
	}
	d.short = min(d.last, 2*time.Second)
	var all []plan
	for _, group := range [][]plan{s.onBox(d), s.onStore(d), s.onWorker(d)} {
		all = append(all, group...)
	}
	return all[s.random.IntN(len(all))]
}

// onBox returns strikes at a process and its links.
func (s *Injector) onBox(d drawn) []plan {
	b := d.box
	kill := plan{"kill " + b.Name, d.short, func(last time.Duration) error { return s.kill(b, last) }}
	stop := plan{"stop " + b.Name, d.last, func(time.Duration) error { return s.stop(b) }}
	return []plan{
		kill, kill, stop, stop,
		{"pause " + b.Name, d.last, func(last time.Duration) error { return s.pause(b, last) }},
		{"reload " + b.Name, 0, func(time.Duration) error { b.Signal(syscall.SIGHUP); return nil }},
		{"reset callers of " + b.Name, 0, func(time.Duration) error { b.Link.Cut(0); return nil }},
		{"silence the connections of " + b.Name + " to the store for good", 0, func(time.Duration) error { b.Store.Mute(); return nil }},
		{"cut the store from " + b.Name, d.last, linked(b.Store.Cut)},
		{fmt.Sprint("silence the store of ", b.Name, " way ", d.way), d.last, linked(func(last time.Duration) { b.Store.Silence(d.way, last) })},
	}
}

// onStore returns strikes at the store and at what the operator keeps there.
func (s *Injector) onStore(d drawn) []plan {
	organisation := []string{"council", "firm"}[d.number%2]
	revoke := plan{"keys taken away from " + organisation, 0, func(time.Duration) error { s.site.Revoke(organisation); return nil }}
	return []plan{
		revoke, revoke,
		{"the store is down", d.last, s.store(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})},
		{"the store is slow", d.last, s.store(wire.Fault{Part: platform.Table, Mode: wire.FaultModeSlow, DelayMs: slowStore})},
		{"the store loses answers", d.last, s.store(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply})},
		{"the store forgets", 0, func(time.Duration) error { s.site.Platform.Forget(); return nil }},
		{"the store is down, and keys are taken away", downWithKeys, func(last time.Duration) error {
			s.site.Platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
			s.site.Revoke(organisation)
			time.Sleep(last)
			s.site.Platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeNone})
			return nil
		}},
	}
}

// onWorker returns strikes at a worker and its link.
func (s *Injector) onWorker(d drawn) []plan {
	leaves := plan{"a worker leaves: " + d.service, site.Notice, s.at(d, func(w *site.Worker) error { return s.site.Leave(w, true) })}
	spoils := plan{fmt.Sprint("bad answers of ", d.service, ": ", d.faults), 0, func(time.Duration) error {
		for _, w := range s.site.Live(d.service) {
			w.Next(d.faults...)
		}
		return nil
	}}
	return []plan{
		leaves, leaves, spoils, spoils, spoils,
		{"a worker leaves without a word: " + d.service, site.Notice, s.at(d, func(w *site.Worker) error { return s.site.Leave(w, false) })},
		{"a worker crashes: " + d.service, site.Notice, s.at(d, s.site.Crash)},
		{"a worker's row lapses: " + d.service, d.short, s.at(d, func(w *site.Worker) error { s.site.DropRow(w, d.short); return nil })},
		{fmt.Sprint("silence a worker of ", d.service, " way ", d.way), d.short, s.at(d, func(w *site.Worker) error {
			w.WhileBroken(func() {
				w.Link.Silence(d.way, d.short)
				time.Sleep(d.short)
			})
			return nil
		})},
		{"reset a worker's connections: " + d.service, 0, s.at(d, func(w *site.Worker) error { w.WhileBroken(func() { w.Link.Cut(0) }); return nil })},
	}
}

// onEntry draws a strike at a worker that starts again under its id, or at its entry.
func (s *Injector) onEntry() plan {
	d := drawn{service: []string{"llm", "llm", "plain"}[s.entry.IntN(3)], number: s.entry.IntN(1000), short: time.Duration(s.entry.Int64N(int64(lastMost)))}
	silent := s.entry.IntN(2) == 0
	if s.entry.IntN(2) == 0 {
		return plan{"foreign entries, one over a worker's of " + d.service, d.short, s.at(d, func(w *site.Worker) error {
			s.site.CorruptRows(w, d.short)
			return nil
		})}
	}
	return plan{fmt.Sprint("a worker starts again: ", d.service, ", silently: ", silent), 0, s.at(d, func(w *site.Worker) error {
		return s.site.Restart(w, silent)
	})}
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
func (s *Injector) faults() []worker.Fault {
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

func (s *Injector) store(f wire.Fault) func(time.Duration) error {
	return func(last time.Duration) error {
		s.site.Platform.Fault(f)
		time.Sleep(last)
		s.site.Platform.Fault(wire.Fault{Part: f.Part, Mode: wire.FaultModeNone})
		return nil
	}
}

func (s *Injector) kill(b *site.Box, last time.Duration) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	defer b.RecordDisruption(time.Now())
	b.Signal(syscall.SIGKILL)
	<-b.Ended()
	time.Sleep(last)
	return b.Start()
}

func (s *Injector) pause(b *site.Box, last time.Duration) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	defer b.RecordDisruption(time.Now())
	b.Signal(syscall.SIGSTOP)
	time.Sleep(last)
	b.Signal(syscall.SIGCONT)
	return nil
}

// stop stops a box as planned and starts it again. Where nothing else is wrong
// from well before until its end, no answer may be cut off.
func (s *Injector) stop(b *site.Box) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	signal := time.Now()
	defer b.RecordDisruption(signal)
	quiet := s.quietSince(signal.Add(-calm))
	b.Signal(syscall.SIGTERM)
	select {
	case <-b.Ended():
	case <-time.After(stopTime):
		b.Signal(syscall.SIGKILL)
		<-b.Ended()
		return &StopError{Box: b.Name}
	}
	if quiet && s.quietSince(signal.Add(-calm)) {
		s.mu.Lock()
		s.stops = append(s.stops, checker.Stop{Box: b.Name, From: signal.Add(-calm), Signal: signal, Until: time.Now()})
		s.mu.Unlock()
	}
	return b.Start()
}

// quietSince tells whether nothing but one strike was under way since a time, and no
// worker ended under a request: what ran there is lost with it, whoever else stops.
func (s *Injector) quietSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active <= 1 && s.ended.Before(at) && s.site.LastPoisonCrash().Before(at)
}
