// Package faults injects faults into the processes, links, store and workers of a site,
// in sequence and concurrently, drawn from a seed.
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
	// maxPause bounds the pause between faults.
	maxPause = 600 * time.Millisecond
	// maxDuration bounds the duration of a fault: longer than site.KeyAge, so that the
	// boxes' data goes stale.
	maxDuration = 6 * time.Second
	// joinShare: after one in joinShare faults, all are awaited before the next.
	joinShare = 3
	// rowFaultShare: with one in rowFaultShare faults, concurrently a worker restarts under
	// its id or rows are corrupted.
	rowFaultShare = 2
	// calmShare: instead of one in calmShare faults, a box is stopped and a hall evacuated
	// with no other fault active.
	calmShare = 6
	// calmTime is how long no fault may have been active before a planned stop that must
	// interrupt nothing: longer than any response takes.
	calmTime = 3 * time.Second
	// stopTime is a box's drain time of 8 s plus a margin for a busy machine, after which
	// it is killed.
	stopTime = 8500 * time.Millisecond
	// badAnswers is the number of consecutive faulty responses of each worker of a service;
	// a single faulty worker would be avoided after its first.
	badAnswers = 6
	// revocationOutage is how long the store is down while keys are revoked: longer than a
	// key may be accepted.
	revocationOutage = site.KeyAge + 2*time.Second
	// evacuationTime is how long a hall stays evacuated.
	evacuationTime = 5 * time.Second
	// slowStoreMs is the delay of a slow store's responses, in ms.
	slowStoreMs = 400
)

// StopError reports that a box did not end within the time of its planned stop.
type StopError struct{ Box string }

// Error implements error.
func (e *StopError) Error() string {
	return "stop of " + e.Box + ": still running after " + stopTime.String()
}

// Injector injects the faults drawn from a seed. Each kind of draw has its own source, so
// that enabling one doesn't change the others.
type Injector struct {
	site           *site.Site
	random         *rand.Rand
	hallRandom     *rand.Rand // picks the halls to evacuate
	rowRandom      *rand.Rand // picks the workers whose rows are corrupted or that restart
	limitRandom    *rand.Rand // picks the workers that announce limits
	announceRandom *rand.Rand // picks the workers that announce leaving or a backoff
	rolloutRandom  *rand.Rand // picks the versions that are rolled out and the faults meanwhile
	brittleRandom  *rand.Rand
	out            io.Writer

	turnedAwayRandom *rand.Rand // picks the boxes that the store turns away
	silentRandom     *rand.Rand // picks the connections that fall silent
	restoredRandom   *rand.Rand // picks the copies that the store comes back from

	// gate is held for writing during a roll-out in calm, and for reading to begin a fault.
	gate sync.RWMutex

	mu         sync.Mutex
	active     int
	lastEnded  time.Time // end of the last fault
	stops      []checker.Stop
	storeSpans []checker.Span // of faults of the store for all boxes
	failure    error

	evacuations []checker.Evacuation
}

// New returns an injector for a site that writes a line to out for each fault.
func New(s *site.Site, seed uint64, out io.Writer) *Injector {
	return &Injector{site: s, random: rand.New(rand.NewPCG(seed, 0)), hallRandom: rand.New(rand.NewPCG(seed, 1)), rowRandom: rand.New(rand.NewPCG(seed, 2)), limitRandom: rand.New(rand.NewPCG(seed, 3)), announceRandom: rand.New(rand.NewPCG(seed, 4)), rolloutRandom: rand.New(rand.NewPCG(seed, 5)), brittleRandom: rand.New(rand.NewPCG(seed, 6)), turnedAwayRandom: rand.New(rand.NewPCG(seed, 7)), silentRandom: rand.New(rand.NewPCG(seed, 8)), restoredRandom: rand.New(rand.NewPCG(seed, 9)), out: out}
}

// plan is a fault to inject.
type plan struct {
	name     string
	duration time.Duration
	do       func(duration time.Duration) error
}

// Run injects faults until ctx ends, and waits until all have ended. An error means that a
// box or a stand-in failed to start or stop.
func (s *Injector) Run(ctx context.Context) error {
	began := time.Now()
	var all sync.WaitGroup
	for ctx.Err() == nil {
		s.gate.RLock()
		paused := s.injectNext(ctx, began, &all)
		s.gate.RUnlock()
		if paused {
			continue
		}
		select {
		case <-time.After(time.Duration(s.random.Int64N(int64(maxPause)))):
		case <-ctx.Done():
		}
	}
	all.Wait()
	return s.failure
}

// injectNext injects the next fault. It reports whether it has waited for a calm instead.
func (s *Injector) injectNext(ctx context.Context, began time.Time, all *sync.WaitGroup) (paused bool) {
	if ctx.Err() != nil {
		return true
	}
	if s.random.IntN(calmShare) == 0 {
		all.Wait()
		s.stopCalmly(ctx, s.site.Boxes[s.random.IntN(len(s.site.Boxes))], began)
		s.evacuateCalmly(ctx, site.Halls()[s.hallRandom.IntN(len(site.Halls()))], began)
		return true
	}
	p := s.draw()
	fmt.Fprintf(s.out, "%6.2f %s for %v\n", time.Since(began).Seconds(), p.name, p.duration.Round(time.Millisecond))
	s.goInject(all, p)
	if s.rowRandom.IntN(rowFaultShare) == 0 {
		e := s.drawRowFault()
		fmt.Fprintf(s.out, "%6.2f %s\n", time.Since(began).Seconds(), e.name)
		s.goInject(all, e)
	}
	if s.random.IntN(joinShare) == 0 {
		all.Wait()
	}
	return false
}

// Evacuations returns the evacuations with no other fault active.
func (s *Injector) Evacuations() []checker.Evacuation { return s.evacuations }

// Stops returns the planned stops with no other fault active.
func (s *Injector) Stops() []checker.Stop { return s.stops }

func (s *Injector) inject(p plan) {
	s.begin()
	s.finish(p)
}

// goInject injects a fault concurrently. It counts as active when goInject returns.
func (s *Injector) goInject(all *sync.WaitGroup, p plan) {
	s.begin()
	all.Go(func() { s.finish(p) })
}

func (s *Injector) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Injector) finish(p plan) {
	err := p.do(p.duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.lastEnded = time.Now()
	if err != nil {
		s.failure = err
	}
}

// drawnFault holds the random parameters of a fault.
type drawnFault struct {
	box       *site.Box
	service   string
	number    int
	direction faultproxy.Direction
	duration  time.Duration
	short     time.Duration // duration, bounded for faults that must be short
	faults    []worker.Fault
}

// onDrawnWorker applies do to the drawn worker, if there is one.
func (s *Injector) onDrawnWorker(d drawnFault, do func(w *site.Worker) error) func(time.Duration) error {
	return func(time.Duration) error {
		if w := s.site.Pick(d.service, d.number); w != nil {
			return do(w)
		}
		return nil
	}
}

// draw returns the next fault. All its random parameters are drawn here, so that a seed
// gives the same faults on each run.
func (s *Injector) draw() plan {
	d := drawnFault{
		box: s.site.Boxes[s.random.IntN(len(s.site.Boxes))], service: []string{"llm", "llm", "plain"}[s.random.IntN(3)],
		number: s.random.IntN(1000), direction: faultproxy.Direction(s.random.IntN(3)),
		duration: 300*time.Millisecond + time.Duration(s.random.Int64N(int64(maxDuration))), faults: s.drawWorkerFaults(),
	}
	d.short = min(d.duration, 2*time.Second)
	var all []plan
	for _, group := range [][]plan{s.boxFaults(d), s.storeFaults(d), s.workerFaults(d)} {
		all = append(all, group...)
	}
	return all[s.random.IntN(len(all))]
}

// boxFaults returns faults of a box's process and links.
func (s *Injector) boxFaults(d drawnFault) []plan {
	b := d.box
	kill := plan{"kill " + b.Name, d.short, func(duration time.Duration) error { return s.kill(b, duration) }}
	stop := plan{"stop " + b.Name, d.duration, func(time.Duration) error { return s.stop(b) }}
	return []plan{
		kill, kill, stop, stop,
		{"pause " + b.Name, d.duration, func(duration time.Duration) error { return s.pause(b, duration) }},
		{"reload " + b.Name, 0, func(time.Duration) error { b.Signal(syscall.SIGHUP); return nil }},
		{"reset callers of " + b.Name, 0, func(time.Duration) error { b.Link.Cut(0); return nil }},
		{"mute the connections of " + b.Name + " to the store", 0, func(time.Duration) error { b.Store.Mute(); return nil }},
		{"cut the store from " + b.Name, d.duration, whileStoreLost(b, b.Store.Cut)},
		{fmt.Sprint("silence the store link of ", b.Name, ", direction ", d.direction), d.duration, whileStoreLost(b, func(duration time.Duration) { b.Store.Silence(d.direction, duration) })},
	}
}

// storeFaults returns faults of the store, and revocations of keys.
func (s *Injector) storeFaults(d drawnFault) []plan {
	organisation := []string{"council", "firm"}[d.number%2]
	revoke := plan{"revoke the key of " + organisation, 0, func(time.Duration) error { s.site.Revoke(organisation); return nil }}
	return []plan{
		revoke, revoke,
		{"the store is down", d.duration, s.storeFault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})},
		{"the store is slow", d.duration, s.storeFault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeSlow, DelayMs: slowStoreMs})},
		{"the store loses responses", d.duration, s.storeFault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply})},
		{"the store drops its history", 0, func(time.Duration) error { s.site.Platform.Forget(); return nil }},
		{"the store is down and a key is revoked", revocationOutage, func(duration time.Duration) error {
			defer s.recordStoreFault(time.Now())
			s.site.Platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeDown})
			s.site.Revoke(organisation)
			time.Sleep(duration)
			s.site.Platform.Fault(wire.Fault{Part: platform.Table, Mode: wire.FaultModeNone})
			return nil
		}},
	}
}

// workerFaults returns faults of a worker and its link.
func (s *Injector) workerFaults(d drawnFault) []plan {
	leave := plan{"a worker leaves: " + d.service, site.Notice, s.onDrawnWorker(d, func(w *site.Worker) error { return s.site.Leave(w, true) })}
	badResponses := plan{fmt.Sprint("bad responses of ", d.service, ": ", d.faults), 0, func(time.Duration) error {
		for _, w := range s.site.Live(d.service) {
			w.Next(d.faults...)
		}
		return nil
	}}
	return []plan{
		leave, leave, badResponses, badResponses, badResponses,
		{"a worker leaves unannounced: " + d.service, site.Notice, s.onDrawnWorker(d, func(w *site.Worker) error { return s.site.Leave(w, false) })},
		{"a worker crashes: " + d.service, site.Notice, s.onDrawnWorker(d, s.site.Crash)},
		{"a worker's row is lost: " + d.service, d.short, s.onDrawnWorker(d, func(w *site.Worker) error { s.site.DropRow(w, d.short); return nil })},
		{fmt.Sprint("silence a worker of ", d.service, ", direction ", d.direction), d.short, s.onDrawnWorker(d, func(w *site.Worker) error {
			w.WhileBroken(func() {
				w.Link.Silence(d.direction, d.short)
				time.Sleep(d.short)
			})
			return nil
		})},
		{"reset a worker's connections: " + d.service, 0, s.onDrawnWorker(d, func(w *site.Worker) error { w.WhileBroken(func() { w.Link.Cut(0) }); return nil })},
	}
}

// drawRowFault draws the restart of a worker under its id, or the corruption of its row.
func (s *Injector) drawRowFault() plan {
	d := drawnFault{service: []string{"llm", "llm", "plain"}[s.rowRandom.IntN(3)], number: s.rowRandom.IntN(1000), short: time.Duration(s.rowRandom.Int64N(int64(maxDuration)))}
	silent := s.rowRandom.IntN(2) == 0
	if s.rowRandom.IntN(2) == 0 {
		return plan{"corrupt rows, one of a worker of " + d.service, d.short, s.onDrawnWorker(d, func(w *site.Worker) error {
			s.site.CorruptRows(w, d.short)
			return nil
		})}
	}
	return plan{fmt.Sprint("a worker restarts: ", d.service, ", silent: ", silent), 0, s.onDrawnWorker(d, func(w *site.Worker) error {
		return s.site.Restart(w, silent)
	})}
}

// whileStoreLost returns a fault that calls do, which cuts a box off the store for the duration.
func whileStoreLost(b *site.Box, do func(duration time.Duration)) func(time.Duration) error {
	return func(duration time.Duration) error {
		b.WhileStoreLost(func() {
			do(duration)
			time.Sleep(duration)
		})
		return nil
	}
}

// drawWorkerFaults draws the faults of a worker's next responses.
func (s *Injector) drawWorkerFaults() []worker.Fault {
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

func (s *Injector) storeFault(f wire.Fault) func(time.Duration) error {
	return func(duration time.Duration) error {
		defer s.recordStoreFault(time.Now())
		s.site.Platform.Fault(f)
		time.Sleep(duration)
		s.site.Platform.Fault(wire.Fault{Part: f.Part, Mode: wire.FaultModeNone})
		return nil
	}
}

func (s *Injector) kill(b *site.Box, duration time.Duration) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	defer b.RecordDisruption(time.Now())
	b.Signal(syscall.SIGKILL)
	<-b.Ended()
	time.Sleep(duration)
	return b.Start()
}

func (s *Injector) pause(b *site.Box, duration time.Duration) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	defer b.RecordDisruption(time.Now())
	b.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	b.Signal(syscall.SIGCONT)
	return nil
}

// stop drains a box and starts it again. If no other fault was active from calmTime before
// until its end, the stop is recorded for the checker: it must interrupt no response.
func (s *Injector) stop(b *site.Box) error {
	b.Lock.Lock()
	defer b.Lock.Unlock()
	signal := time.Now()
	defer b.RecordDisruption(signal)
	quiet := s.quietSince(signal.Add(-calmTime))
	b.Signal(syscall.SIGTERM)
	select {
	case <-b.Ended():
	case <-time.After(stopTime):
		b.Signal(syscall.SIGKILL)
		<-b.Ended()
		return &StopError{Box: b.Name}
	}
	if quiet && s.quietSince(signal.Add(-calmTime)) {
		s.mu.Lock()
		s.stops = append(s.stops, checker.Stop{Box: b.Name, From: signal.Add(-calmTime), Signal: signal, Until: time.Now()})
		s.mu.Unlock()
	}
	return b.Start()
}

// quietSince reports whether at most one fault has been active since a time and no poison
// request has crashed a worker, which loses its runs whoever else stops.
func (s *Injector) quietSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active <= 1 && s.lastEnded.Before(at) && s.site.LastPoisonCrash().Before(at)
}
