// Package soak runs load against a site of real processes while injecting faults,
// and checks the callers' responses against the requests that the workers executed.
package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/faults"
	"petrelstep/soak/loadgen"
	"petrelstep/soak/site"
)

const (
	// readyTime bounds waits for boxes on a busy machine.
	readyTime = 60 * time.Second
	// revocationSlack allows for link delays and scheduling on a busy machine.
	revocationSlack = 500 * time.Millisecond
	// evacuationTime is how long an evacuated hall may still get runs while no fault is
	// active: two calls to the store, a hub's report, and scheduling delays.
	evacuationTime = 3 * time.Second
	// changeTime is within which time boxes act on a change in the store (config_apply_ms and
	// drain_ms of the platform's pages).
	changeTime   = 2 * time.Second
	pollInterval = 100 * time.Millisecond
	// maxPoisonCrashes bounds the workers that the poison request may crash, whatever other
	// faults occur: three before it is recognised, three retries, and one for each crash
	// that a box has not reported before it is lost itself.
	maxPoisonCrashes = 12
)

// Options configure a run.
type Options struct {
	Site          site.Options
	Seed          uint64
	Callers       int
	Bursts        bool          // callers overload plain services at times
	Poison        bool          // one caller sends a request that crashes its worker
	RateLimits    bool          // workers announce rate limits
	Brittle       bool          // plain workers bear few rejections at times
	Announcements bool          // workers announce leaving and backoffs in their responses
	Silent        bool          // open connections fall silent for good, while new ones work
	TurnedAway    bool          // instead of all other faults, the store turns some boxes away while it serves the others
	Restored      bool          // instead of all other faults, the store comes back from older copies
	Duration      time.Duration // of fault injection
	Out           io.Writer     // receives a line for each fault
}

// NotReadyError reports that a box did not become ready.
type NotReadyError struct{ Box string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Box + " is not ready" }

// NotServedError reports that a kind of request is not served after all faults have ended.
type NotServedError struct{ Kind checker.Kind }

// Error implements error.
func (e *NotServedError) Error() string {
	return "no " + string(e.Kind) + " request is served after the faults ended"
}

// Result holds the counts and violations of a run.
type Result struct {
	Requests, Served, Refused, Interrupted int
	Runs, Moved                            int
	Stops                                  int // planned, with no other fault active
	Evacuations                            int // with no other fault active
	PoisonCrashes                          int // of workers, by the poison request
	Limited                                int // requests at workers that announced limits
	Falls                                  int // crashes of workers by rejections
	Announced                              int // announcements of leaving or backoff
	Changed                                int // requests with a revoked key or at a leaving worker, while the store turned boxes away or lost changes
	Rollouts                               RolloutCounts
	CompletedBad                           []string // bad versions that were completed
	BadAfter                               []string // responses of these afterwards
	Violations                             []checker.Violation
}

// RolloutCounts are numbers of roll-outs by their outcomes. Those that completed after their
// time limit are not in time; neither are bad ones that were not rolled back.
type RolloutCounts struct {
	Good, GoodInTime, Bad, BadRolledBack, Calm int
}

func (c *RolloutCounts) add(r checker.Rollout) {
	if r.Calm {
		c.Calm++
	}
	switch {
	case r.Bad && r.RolledBack():
		c.Bad++
		c.BadRolledBack++
	case r.Bad:
		c.Bad++
	case r.InTime():
		c.Good++
		c.GoodInTime++
	default:
		c.Good++
	}
}

// String returns the summary line.
func (t Result) String() string {
	c := t.Rollouts
	return fmt.Sprintf("SOAK requests=%d served=%d refused=%d broken_off=%d runs=%d moved=%d calm_stops=%d calm_evacuations=%d ends=%d limited=%d falls=%d heard=%d changed=%d good_rollouts=%d/%d bad_rollouts=%d/%d calm_rollouts=%d promises_broken=%d",
		t.Requests, t.Served, t.Refused, t.Interrupted, t.Runs, t.Moved, t.Stops, t.Evacuations, t.PoisonCrashes, t.Limited, t.Falls, t.Announced, t.Changed,
		c.GoodInTime, c.Good, c.BadRolledBack, c.Bad, c.Calm, len(t.Violations))
}

// Soak is one run.
type Soak struct{ Options }

// New returns a run.
func New(o Options) *Soak { return &Soak{o} }

// Run starts a site, injects faults under load, waits for recovery, and checks the
// guarantees. An error means that the run itself failed.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	at, err := site.New(s.Site)
	if at != nil {
		defer at.Close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := awaitReady(at); err != nil {
		return Result{}, err
	}
	callers, injector := loadgen.New(at, s.Seed, s.Bursts, s.Poison), faults.New(at, s.Seed, s.Out)
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Run(loadCtx, s.Callers)
	}()
	faultCtx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	brittle := make(chan []checker.BrittlePeriod, 1)
	go func() { brittle <- s.runBrittle(faultCtx, injector) }()
	announcedLimits, changes, err := s.inject(faultCtx, injector)
	if err == nil {
		err = s.awaitRecovery(at, callers)
	}
	stop()
	<-done
	attempts, ran := callers.Attempts(), at.Executions()
	t := s.check(attempts, ran, injector)
	violations, counted := checker.New(site.Events, 0, 0).CheckLimits(attempts, ran, announcedLimits, at.Disruptions())
	t.Limited, t.Violations = counted, append(t.Violations, violations...)
	violations, t.Falls = checker.New(site.Events, 0, 0).CheckBrittle(attempts, <-brittle, at.Disruptions())
	t.Violations = append(t.Violations, violations...)
	arrived, links := at.Arrivals()
	violations, t.Announced = checker.New(site.Events, 0, 0).CheckAnnouncements(attempts, arrived, at.Disruptions(), links)
	t.Violations = append(t.Violations, violations...)
	violations, t.Changed = changes.check(at, injector, attempts, arrived, links)
	t.Violations = append(t.Violations, violations...)
	s.checkRestored(&t, at, attempts, arrived, links)
	t.checkRollouts(at, checker.RolloutHistory{
		Attempts: attempts, Arrivals: arrived, Rollouts: at.Rollouts(), Disrupted: at.Disruptions(), StoreFaults: injector.StoreFaults(),
	}, ran)
	return t, err
}

// inject injects all kinds of faults that are enabled, until ctx ends.
func (s *Soak) inject(ctx context.Context, injector *faults.Injector) (limits []checker.LimitPeriod, c changes, err error) {
	if s.Restored {
		return nil, c, injector.RunRestored(ctx)
	}
	if s.TurnedAway {
		c.away, c.departures, err = injector.RunTurnedAway(ctx)
		return nil, c, err
	}
	periods := make(chan []checker.LimitPeriod, 1)
	go func() { periods <- s.runLimits(ctx, injector) }()
	failures := make(chan error, 3)
	go func() {
		var failed error
		c.departures, failed = s.runSilent(ctx, injector)
		failures <- failed
	}()
	go func() { failures <- s.runAnnouncements(ctx, injector) }()
	go func() { failures <- s.runRollouts(ctx, injector) }()
	err = injector.Run(ctx)
	for range cap(failures) {
		if failed := <-failures; err == nil {
			err = failed
		}
	}
	return <-periods, c, err
}

// runSilent silences open connections, if enabled.
func (s *Soak) runSilent(ctx context.Context, injector *faults.Injector) ([]checker.Departure, error) {
	if !s.Silent {
		return nil, nil
	}
	return injector.RunSilent(ctx)
}

// changes are the workers that left by their rows, and the boxes that the store turned away.
type changes struct {
	away       []checker.TurnedAway
	departures []checker.Departure
}

// check checks that the boxes that could reach the store, themselves or by others, acted on the
// changes in it in time.
func (c changes) check(at *site.Site, injector *faults.Injector, attempts []checker.Attempt, arrived []checker.Arrival, links map[string][]checker.Span) ([]checker.Violation, int) {
	disrupted := at.Disruptions()
	for _, b := range at.Boxes {
		disrupted[b.Name] = slices.Concat(disrupted[b.Name], b.StoreLost(), injector.StoreFaults())
	}
	return checker.New(site.Events, 0, 0).CheckChanges(attempts, arrived, c.away, c.departures, disrupted, links, changeTime+revocationSlack)
}

// checkRestored checks that boxes acted on changes that a restored store lost and confirmed again.
func (s *Soak) checkRestored(t *Result, at *site.Site, attempts []checker.Attempt, arrived []checker.Arrival, links map[string][]checker.Span) {
	if !s.Restored {
		return
	}
	violations, counted := checker.New(site.Events, 0, 0).CheckRestored(attempts, arrived, at.Changes(), at.Disruptions(), links, changeTime+revocationSlack)
	t.Changed, t.Violations = counted, append(t.Violations, violations...)
}

// checkRollouts counts the roll-outs and checks their guarantees and those of regions.
func (t *Result) checkRollouts(at *site.Site, h checker.RolloutHistory, ran []checker.Execution) {
	for _, r := range h.Rollouts {
		t.Rollouts.add(r)
	}
	t.CompletedBad, t.BadAfter = h.CompletedBad(), h.BadAfter()
	c := checker.New(site.Events, 0, 0)
	t.Violations = append(t.Violations, c.CheckRollouts(h, site.RolloutBounds())...)
	t.Violations = append(t.Violations, c.CheckRegions(ran, at.AllowedRegions())...)
}

// runRollouts has the operator roll out versions, if enabled.
func (s *Soak) runRollouts(ctx context.Context, injector *faults.Injector) error {
	if !s.Site.Rollouts {
		return nil
	}
	return injector.RunRollouts(ctx)
}

// runAnnouncements has workers announce leaving and backoffs, if enabled.
func (s *Soak) runAnnouncements(ctx context.Context, injector *faults.Injector) error {
	if !s.Announcements {
		return nil
	}
	return injector.RunAnnouncements(ctx)
}

// runBrittle makes workers bear few rejections, if enabled.
func (s *Soak) runBrittle(ctx context.Context, injector *faults.Injector) []checker.BrittlePeriod {
	if !s.Brittle {
		return nil
	}
	return injector.RunBrittle(ctx, s.Site.PlainSlots)
}

// runLimits has workers announce rate limits, if enabled.
func (s *Soak) runLimits(ctx context.Context, injector *faults.Injector) []checker.LimitPeriod {
	if !s.RateLimits {
		return nil
	}
	return injector.RunLimits(ctx)
}

func awaitReady(at *site.Site) error {
	for _, b := range at.Boxes {
		if !pollUntil(b.Ready) {
			return &NotReadyError{b.String()}
		}
	}
	return nil
}

// awaitRecovery waits until all boxes are ready and each kind of request is served again.
func (s *Soak) awaitRecovery(at *site.Site, callers *loadgen.Generator) error {
	if err := awaitReady(at); err != nil {
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
		if !pollUntil(served) {
			return &NotServedError{kind}
		}
	}
	return nil
}

func pollUntil(f func() bool) bool {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(pollInterval) {
		if f() {
			return true
		}
	}
	return false
}

func (s *Soak) check(attempts []checker.Attempt, ran []checker.Execution, injector *faults.Injector) Result {
	stops, evacuations := injector.Stops(), injector.Evacuations()
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
	t.Violations = checker.New(site.Events, site.KeyAge+revocationSlack, evacuationTime).Check(attempts, ran, stops, evacuations)
	if t.PoisonCrashes > maxPoisonCrashes {
		t.Violations = append(t.Violations, checker.Violation{Guarantee: checker.Poison, Detail: fmt.Sprint(t.PoisonCrashes, " workers crashed by one request")})
	}
	return t
}
