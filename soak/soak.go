// Package soak keeps callers at work on a whole site of real processes while it
// is struck, and checks what they were told against what was run.
package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/faults"
	"petrelstep/soak/loadgen"
	"petrelstep/soak/site"
)

const (
	// readyTime bounds waits for boxes on a busy machine.
	readyTime = 60 * time.Second
	// keySlack is for the way of a request through the links and a busy machine.
	keySlack = 500 * time.Millisecond
	// hallTime is how long an evacuated hall may get runs in calm: two calls to the
	// store, a hub's word, a busy machine.
	hallTime = 3 * time.Second
	look     = 100 * time.Millisecond
	// endsMost is how many workers may end under one request, whatever else is struck:
	// three before it is known, three more tries, and one for each time that what a box
	// has not told yet is lost with it.
	endsMost = 12
)

// Options of a run.
type Options struct {
	Site          site.Options
	Seed          uint64
	Callers       int
	Bursts        bool          // callers press plain services at times
	Poison        bool          // one comes with a request under which workers end
	RateLimits    bool          // workers name limits
	Announcements bool          // workers leave by their answers, and ask for rest
	Duration      time.Duration // of the strikes
	Out           io.Writer     // is told of each strike
}

// NotReadyError says that a box did not become ready.
type NotReadyError struct{ Box string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Box + " is not ready" }

// NotServedError says that requests are not served after all trouble has ended.
type NotServedError struct{ Kind checker.Kind }

// Error implements error.
func (e *NotServedError) Error() string {
	return "no " + string(e.Kind) + " is served after the trouble"
}

// Result is what came of a run.
type Result struct {
	Requests, Served, Refused, Interrupted int
	Runs, Moved                            int
	Stops                                  int // planned, with nothing else wrong
	Evacuations                            int // likewise
	PoisonCrashes                          int // of workers, under the request that ends them
	Limited                                int // requests at workers that named limits
	Announced                              int // words of workers that leave or ask for rest
	Violations                             []checker.Violation
}

// String returns the closing line.
func (t Result) String() string {
	return fmt.Sprintf("SOAK requests=%d served=%d refused=%d broken_off=%d runs=%d moved=%d calm_stops=%d calm_evacuations=%d ends=%d limited=%d heard=%d promises_broken=%d",
		t.Requests, t.Served, t.Refused, t.Interrupted, t.Runs, t.Moved, t.Stops, t.Evacuations, t.PoisonCrashes, t.Limited, t.Announced, len(t.Violations))
}

// Soak is one run.
type Soak struct{ Options }

// New returns a run.
func New(o Options) *Soak { return &Soak{o} }

// Run starts a site, strikes it under load, lets it come to rest, and checks.
// An error says that the run itself failed.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	at, err := site.New(s.Site)
	if at != nil {
		defer at.Close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := ready(at); err != nil {
		return Result{}, err
	}
	callers, strikes := loadgen.New(at, s.Seed, s.Bursts, s.Poison), faults.New(at, s.Seed, s.Out)
	working, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Run(working, s.Callers)
	}()
	striking, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	needs := make(chan []checker.LimitPeriod, 1)
	go func() { needs <- s.needs(striking, strikes) }()
	words := make(chan error, 1)
	go func() { words <- s.words(striking, strikes) }()
	err = strikes.Run(striking)
	named := <-needs
	if err == nil {
		err = <-words
	}
	if err == nil {
		err = s.recovered(at, callers)
	}
	stop()
	<-done
	attempts, ran := callers.Attempts(), at.Executions()
	t := s.check(attempts, ran, strikes)
	broken, counted := checker.New(site.Events, 0, 0).CheckLimits(attempts, ran, named, at.Disruptions())
	t.Limited, t.Violations = counted, append(t.Violations, broken...)
	arrived, links := at.Arrivals()
	broken, t.Announced = checker.New(site.Events, 0, 0).CheckAnnouncements(attempts, arrived, at.Disruptions(), links)
	t.Violations = append(t.Violations, broken...)
	return t, err
}

// words lets workers leave by their answers and ask for rest, if they are to.
func (s *Soak) words(ctx context.Context, strikes *faults.Injector) error {
	if !s.Announcements {
		return nil
	}
	return strikes.RunAnnouncements(ctx)
}

// needs lets workers name limits, if they are to.
func (s *Soak) needs(ctx context.Context, strikes *faults.Injector) []checker.LimitPeriod {
	if !s.RateLimits {
		return nil
	}
	return strikes.RunLimits(ctx)
}

func ready(at *site.Site) error {
	for _, b := range at.Boxes {
		if !until(b.Ready) {
			return &NotReadyError{b.String()}
		}
	}
	return nil
}

// recovered waits until all boxes are ready and each kind is served again.
func (s *Soak) recovered(at *site.Site, callers *loadgen.Generator) error {
	if err := ready(at); err != nil {
		return err
	}
	began := time.Now()
	for _, kind := range []checker.Kind{checker.Draft, checker.Check, checker.Once, checker.Lookup} {
		served := func() bool {
			for _, a := range callers.Attempts() {
				if a.Kind == kind && a.Sent.After(began) && a.Complete && a.Status == http.StatusOK {
					return true
				}
			}
			return false
		}
		if !until(served) {
			return &NotServedError{kind}
		}
	}
	return nil
}

func until(f func() bool) bool {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(look) {
		if f() {
			return true
		}
	}
	return false
}

func (s *Soak) check(attempts []checker.Attempt, ran []checker.Execution, strikes *faults.Injector) Result {
	stops, evacuations := strikes.Stops(), strikes.Evacuations()
	t := Result{Requests: len(attempts), Runs: len(ran), Stops: len(stops), Evacuations: len(evacuations)}
	for _, a := range attempts {
		switch {
		case a.Status == http.StatusOK && a.Complete:
			t.Served++
		case a.Status >= http.StatusBadRequest:
			t.Refused++
		default:
			t.Interrupted++
		}
	}
	for _, r := range ran {
		if r.From != "" {
			t.Moved++
		}
		if r.Body == site.PoisonBody {
			t.PoisonCrashes++
		}
	}
	t.Violations = checker.New(site.Events, site.KeyAge+keySlack, hallTime).Check(attempts, ran, stops, evacuations)
	if t.PoisonCrashes > endsMost {
		t.Violations = append(t.Violations, checker.Violation{Guarantee: checker.Poison, Detail: fmt.Sprint(t.PoisonCrashes, " workers ended under it")})
	}
	return t
}
