// Package relay brings a caller's request to an upstream and its answer back.
// It is the one layer that sends a request again.
package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/admission"
	"petrelstep/backoff"
	"petrelstep/balance/places"
	"petrelstep/balance/speeds"
	"petrelstep/exchange"
	"petrelstep/fingerprint"
	"petrelstep/fleet"
	"petrelstep/metrics"
	"petrelstep/outputlen"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/protect/buffers"
	"petrelstep/quarantine"
	"petrelstep/refusal"
	"petrelstep/reliability"
	"petrelstep/retry"
	"petrelstep/route"
	"petrelstep/routecache"
	"petrelstep/runs"
	"petrelstep/upstreamlimits"
	"petrelstep/upstreamload"
)

const (
	// comeAgain is when to come back to another box, which may know better.
	comeAgain = 50 * time.Millisecond
	// comeLater is when to come back where all boxes fare alike.
	comeLater = 500 * time.Millisecond
	// leastLeft is the least time that is worth a send: a round trip between
	// halls and the shortest work.
	leastLeft = 5 * time.Millisecond
	// unreachedMost bounds how many upstreams are passed by that nothing
	// reached; such sends are not tries.
	unreachedMost = 3
	// hungPart is after how many times its aim a request without an answer counts
	// as a failure of its upstream, which may hang: the others are told before the
	// caller gives up, at four times the aim or more.
	hungPart = 2
	// urgencyMost is the last rank that engines know.
	urgencyMost = 9
	// sourceAnswer names an upstream's answer in the log as where news came from.
	sourceAnswer = "answer"
)

// Parts are what a relay works with.
type Parts struct {
	Belief      *routecache.Cache
	Fleet       *fleet.Fleet
	Chooser     *picker.Picker
	Admitter    Admitter       // nil: straight to the emptiest engine
	Places      *places.Places // nil: straight to the emptiest plain upstream
	Tally       *upstreamload.Tracker
	Reliability *reliability.Reliability
	Speeds      *speeds.Speeds // nil where that is off
	Sender      exchange.Sender
	Liveness    Looker                  // nil: nobody looks
	Quarantine  *quarantine.Quarantine  // nil: nothing is held against requests
	Trials      Trials                  // of suspects; nil: as they come
	Limits      *upstreamlimits.Tracker // that upstreams name
	Limiter     Limiter                 // nil: nothing is held back for them
	Rest        *backoff.Tracker        // that upstreams ask for; nil: none is kept
	Budget      *retry.Budget
	Runs        *runs.Runs
	Lengths     *outputlen.Lengths // of answers, in tokens
	Prefill     *prefill.Prefill
	Metrics     *metrics.Metrics
	Stopping    func() (Stop, bool)  // false unless this box is being stopped
	Full        func() bool          // this box holds as much as it can
	Buffers     *buffers.Buffers     // between upstreams and callers; nil: events are written before the next is read
	ServeStale  bool                 // what a belief allows is served however old that is
	Silent      func() time.Duration // since the store answered any box that this one hears; 0 if it hears none. nil: not known
	Log         *logrus.Entry
}

// Admitter gives requests room on engines.
type Admitter interface {
	// Admit waits until ctx ends for an engine with room for a request, and
	// returns how much of the engine's memory is in use then. The error is a
	// refusal.Refusal.
	Admit(ctx context.Context, ask admission.Ask) (admission.Grant, error)
}

// Relay is safe for use by several goroutines.
type Relay struct{ Parts }

// New returns a relay.
func New(parts Parts) *Relay { return &Relay{parts} }

// job is one request on its way.
type job struct {
	req          *exchange.Request
	route        route.Route
	table        *route.Table
	organisation string
	urgency      int
	deadline     time.Time
	service      route.Service
	tried        []string // upstreams that it was sent to
	passed       []string // upstreams that nothing reached
	log          *logrus.Entry
	first        time.Duration // to the first event or the whole answer
	waited       time.Duration // for room
	lengths      *outputlen.Lengths
	print        fingerprint.Fingerprint
	ran          atomic.Bool      // it may have been run by an upstream
	ended        atomic.Bool      // an upstream has ended under its last try
	hurried      bool             // its next try goes at once or not at all
	trial        func(ended bool) // gives its turn to be tried back; nil without one
}

// kind names the answers that are like this request's in length.
func (j *job) kind() outputlen.Key {
	return outputlen.Key{Organisation: j.organisation, Model: j.req.Model, Class: j.route.Name}
}

// left returns how many tokens of the answer are expected once so many were made.
func (j *job) left(made int) int { return j.lengths.Left(j.kind(), made, j.req.Most) }

// Serve answers a request.
func (r *Relay) Serve(ctx context.Context, req *exchange.Request, c exchange.Caller) {
	j, err := r.admit(req)
	if err != nil {
		r.refuse(r.Log.WithField("request", req.ID), req, c, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	defer j.endTrial()
	if j.route.Streams {
		r.stream(ctx, j, c)
		return
	}
	r.whole(ctx, j, c)
}

// admit holds a request against the configuration in force.
func (r *Relay) admit(req *exchange.Request) (*job, error) {
	if r.Full() {
		return nil, refusal.New(refusal.BoxFull, "too many requests at this box").WithRetryAfter(comeAgain)
	}
	table, age, stale := r.Belief.Current(req.Arrived)
	if table == nil {
		return nil, refusal.New(refusal.NotReady, "no configuration yet").WithRetryAfter(comeAgain)
	}
	log := r.Log.WithFields(logrus.Fields{"request": req.ID, "version": table.Version(), "age_ms": age.Milliseconds()})
	rt, ok := table.Match(req.Host, req.Path)
	tooOld := refusal.New(refusal.StaleConfiguration, "the configuration was confirmed too long ago").WithRetryAfter(r.comeStale(req.ID))
	if stale && !r.ServeStale && !(ok && rt.Public) {
		return nil, tooOld
	}
	if !ok {
		return nil, orStale(stale, tooOld, refusal.New(refusal.UnknownRoute, req.Path))
	}
	log = log.WithField("route", rt.Name)
	j := &job{req: req, route: rt, table: table, log: log, lengths: r.Lengths, urgency: rt.Priority, deadline: req.Arrived.Add(min(req.Wait, rt.Timeout))}
	var o route.Organisation
	if table.Keyed() {
		var known bool
		o, known = table.Organisation(req.Key)
		switch {
		case known:
			j.organisation = o.Name
			j.log = j.log.WithField("organisation", o.Name)
			if o.Priority != nil {
				j.urgency = *o.Priority
			}
		case !rt.Public && req.Key == "":
			return nil, refusal.New(refusal.NoKey, "send a key")
		case !rt.Public:
			return nil, orStale(stale, tooOld, refusal.New(refusal.WrongKey, "the key belongs to no organisation"))
		}
	}
	j.urgency = min(max(j.urgency, 0), urgencyMost)
	j.print = fingerprint.New([]byte(j.organisation), []byte(req.Host), req.Content[:])
	j.log = j.log.WithField("fingerprint", j.print)
	if err := j.confine(o.Regions); err != nil {
		return nil, err
	}
	j.service, ok = r.serviceOf(j)
	if !ok {
		return nil, refusal.New(refusal.UnknownService, rt.Name).WithRetryAfter(comeLater)
	}
	if stop, stopping := r.Stopping(); stopping && !r.fits(j, stop) {
		return nil, refusal.New(refusal.Draining, "this box may be gone before it would end").WithRetryAfter(stop.comeBack())
	}
	return j, nil
}

// confine notes where the request may be served, by its route and its organisation.
func (j *job) confine(organisation []string) error {
	regions, ok := route.Within(j.route.Regions, organisation)
	if !ok {
		return refusal.New(refusal.NoUpstream, "no region serves both the route and the organisation").WithRetryAfter(comeLater)
	}
	confined := *j.req
	confined.Regions = regions
	j.req = &confined
	return nil
}

// orStale returns why a request is refused: what a stale belief does not know may
// have been added since, so that another box may serve it.
func orStale(stale bool, tooOld, unknown refusal.Refusal) refusal.Refusal {
	if stale {
		return tooOld
	}
	return unknown
}

// eventTokens returns how many tokens one event of the job's stream holds.
func (j *job) eventTokens() int {
	if j.service.Engine == nil {
		return 1
	}
	return max(j.service.Engine.EventTokens, 1)
}

// serviceOf picks one of the route's services by their weights, the same for
// each try of a request; one without upstreams gives way to the others.
func (r *Relay) serviceOf(j *job) (route.Service, bool) {
	sum := 0
	for _, s := range j.route.Split {
		sum += s.Weight
	}
	hash := fnv.New32a()
	hash.Write([]byte(j.req.ID))
	at := int(hash.Sum32()>>1) % max(sum, 1)
	var chosen, other route.Service
	found, others := false, false
	for _, s := range j.route.Split {
		service, ok := j.table.Service(s.Service)
		within := at >= 0 && at < s.Weight
		at -= s.Weight
		if !ok || s.Weight == 0 {
			continue
		}
		if within {
			chosen, found = service, true
		}
		if len(r.Fleet.Serving(s.Service)) > 0 {
			other, others = service, true
		}
	}
	if found && (len(r.Fleet.Serving(chosen.Name)) > 0 || !others) {
		return chosen, true
	}
	return other, others
}

// sent is an answer and where it came from.
type sent struct {
	answer   *exchange.Answer
	upstream fleet.Upstream
	began    time.Time
	entry    *upstreamload.Entry
	pace     *speeds.Stream
	alone    int         // tokens of its prompt, if no other was to be read before
	event    time.Time   // its first; zero before
	good     time.Time   // when it last counted as one under which its upstream lives
	hung     *time.Timer // stopped by what comes first
	close    func()
}

// send sends a request to the upstream with the most room. Upstreams that
// nothing reached are passed by. An error is a refusal, or what became of a
// send that may have arrived.
func (r *Relay) send(ctx context.Context, j *job, after int) (*sent, error) {
	for {
		u, err := r.placed(ctx, j)
		if err != nil {
			return nil, err
		}
		s, err := r.sendTo(ctx, j, u, after, nil)
		j.tried = append(j.tried, u.ID)
		if err == nil {
			return s, nil
		}
		if !notReached(err) || len(j.passed) >= unreachedMost || ctx.Err() != nil {
			return nil, err
		}
		r.notReached(j, u.ID, err)
	}
}

// placed finds an upstream for a request that is about to be sent there.
func (r *Relay) placed(ctx context.Context, j *job) (fleet.Upstream, error) {
	now := time.Now()
	left := time.Until(j.deadline)
	if left < leastLeft {
		return fleet.Upstream{}, refusal.New(refusal.Deadline, "no time is left")
	}
	u, load, err := r.placeSuspect(ctx, j)
	j.waited += time.Since(now)
	if err != nil {
		return u, err
	}
	j.log.WithFields(logrus.Fields{
		"upstream": u.ID, "load": load, "left_ms": left.Milliseconds(), "waited_ms": time.Since(now).Milliseconds(), "try": len(j.tried) + 1,
		"hall": u.Hall,
	}).Info("sent")
	return u, nil
}

// notReached notes that a try has not reached its upstream; it does not count.
func (r *Relay) notReached(j *job, upstream string, err error) {
	j.tried = slices.DeleteFunc(j.tried, func(id string) bool { return id == upstream })
	j.passed = append(j.passed, upstream)
	reason := unsentReason(err)
	r.Metrics.Retried(reason)
	j.log.WithError(err).WithFields(logrus.Fields{"upstream": upstream, "why": reason}).Warn("not_reached")
}

// place finds an upstream for a request; for one that an engine answers it waits
// for room.
func (r *Relay) place(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	if j.service.Engine != nil && r.Admitter != nil {
		g, err := r.Admitter.Admit(ctx, admission.Ask{
			Request: j.req.ID, Service: j.service, Urgency: j.urgency, Prompt: j.req.Prompt, Answer: j.left(0), Arrived: j.req.Arrived,
			Aim: j.route.Aim, Gap: j.route.Gap, Deadline: j.deadline.Sub(j.req.Arrived), Patience: min(j.route.Patience, j.deadline.Sub(j.req.Arrived)),
			Mark: j.mark(), Organisation: j.organisation, Avoid: j.avoid(), Regions: j.req.Regions,
		})
		return g.Upstream, g.Load, err
	}
	if r.Limiter != nil && j.service.Engine == nil {
		return r.placeLimited(ctx, j)
	}
	if r.sharesPlaces(j) {
		return r.takePlace(ctx, j)
	}
	return r.choose(j.service, j.want())
}

// choose picks the upstream with the most room.
func (r *Relay) choose(service route.Service, want picker.Want) (u fleet.Upstream, load float64, err error) {
	u, load, ok := r.Chooser.Choose(time.Now(), want)
	switch {
	case ok:
		r.Chooser.Sent(time.Now(), service, u)
		return u, load, nil
	case len(r.Chooser.Ranked(time.Now(), want)) > 0: // all are held
		return u, 0, refusal.New(refusal.UpstreamCold, "upstreams of "+service.Name+" are cold").WithRetryAfter(comeLater)
	}
	return u, 0, refusal.New(refusal.NoUpstream, "no upstream of "+service.Name).WithRetryAfter(comeLater)
}

// sharesPlaces tells whether a job's place is one that the boxes share out.
func (r *Relay) sharesPlaces(j *job) bool {
	return r.Places != nil && j.service.Engine == nil && !j.route.Streams
}

// takePlace waits until a request may go to a plain upstream.
func (r *Relay) takePlace(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	c, err := r.Places.Take(ctx, j.placeAsk())
	if err == nil {
		r.Chooser.Sent(time.Now(), j.service, c.Upstream)
	}
	return c.Upstream, c.Load, err
}

func (j *job) placeAsk() places.Ask {
	return places.Ask{
		Request: j.req.ID, Organisation: j.organisation, Urgency: j.urgency, Arrived: j.req.Arrived, Aim: j.route.Aim, Deadline: j.deadline, Want: j.want(),
	}
}

// want is what an upstream is chosen for.
func (j *job) want() picker.Want {
	return picker.Want{Service: j.service, Tokens: j.req.Prompt, Avoid: j.avoid(), Regions: j.req.Regions, Own: true}
}

// avoid lists the upstreams that the request is not sent to again.
func (j *job) avoid() []string { return append(append([]string{}, j.tried...), j.passed...) }

// mark is what a request's tries have in common: who asks for what.
func (j *job) mark() uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, j.organisation, j.req.Host, j.req.Path, j.req.Prompt, j.req.Most, j.req.Hint, j.req.Parts)
	return hash.Sum64()
}

// loadOf returns what a request is expected to hold at an upstream that sends it the
// events after one.
func (j *job) loadOf(after int, from *exchange.Copy) upstreamload.Load {
	load := upstreamload.Load{Requests: 1}
	if j.service.Engine != nil {
		made := (after + 1) * j.eventTokens()
		load.Tokens, load.Coming = j.req.Prompt+made, j.left(made)
		if from == nil {
			load.Prefill = j.req.Prompt // else all but the last tokens are in the copy
		}
	}
	return load
}

// sendTo sends to one upstream.
func (r *Relay) sendTo(ctx context.Context, j *job, u fleet.Upstream, after int, from *exchange.Copy) (*sent, error) {
	if err := r.check(j, u, from); err != nil {
		return nil, err
	}
	load := j.loadOf(after, from)
	alone := 0
	if r.Tally.Load(time.Now(), u.ID).Prefill == 0 {
		alone = load.Prefill
	}
	entry := r.Tally.Begin(u.ID, load)
	sending, cancel := context.WithCancelCause(ctx)
	forget := r.Quarantine.Track(j.print, func() { cancel(&QuarantinedError{}) })
	unsent := r.Runs.Sent(u, func() { cancel(&RestartedError{Upstream: u.ID}) })
	leave := func() {
		forget()
		unsent()
	}
	if !r.Fleet.IsCurrent(u) { // the news came before Sent, which it would have cut
		leave()
		cancel(nil)
		entry.End()
		return nil, &exchange.FailedError{NotSent: true, Err: &RestartedError{Upstream: u.ID}}
	}
	began := time.Now()
	hung := time.AfterFunc(hungPart*j.route.Aim, func() {
		r.record(u, true)
		j.log.WithField("upstream", u.ID).Warn("upstream_hangs")
	})
	answer, err := r.Sender.Send(sending, exchange.Send{
		Request: j.req, Upstream: u.ID, Address: u.Address, Left: time.Until(j.deadline), Organisation: j.organisation,
		Urgency: j.urgency, After: after, From: from,
	})
	if err != nil {
		leave()
		hung.Stop()
		entry.End()
		defer cancel(nil)
		if !notReached(err) {
			j.ran.Store(true)
		}
		if errors.As(context.Cause(sending), new(*QuarantinedError)) {
			return nil, err // its upstream is not to blame
		}
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.record(u, true)
		}
		r.refusedBy(u, err)
		r.broke(ctx, j, broken{upstream: u, began: began}, err)
		return nil, err
	}
	r.headCame(j, u, began, answer)
	pace := r.Speeds.Stream(u)
	return &sent{answer: answer, upstream: u, began: began, entry: entry, pace: pace, alone: alone, hung: hung, close: func() {
		leave()
		hung.Stop()
		pace.End(time.Now())
		answer.Body.Close()
		cancel(nil)
		entry.End()
	}}, nil
}

// headCame takes what the head of an answer says.
func (r *Relay) headCame(j *job, u fleet.Upstream, sent time.Time, answer *exchange.Answer) {
	if answer.Status != http.StatusMisdirectedRequest { // that is another upstream's
		now := time.Now()
		r.Limits.Heard(now, sent, u, answer.Limit, answer.Whole && !answer.NotRun)
		r.heardLeaving(now, j, u, answer)
		if answer.Rest > 0 {
			r.Rest.Asked(now, u, answer.Rest)
		} else {
			r.Rest.Answered(now, sent, u)
		}
	}
	if !answer.NotRun {
		j.ran.Store(true)
	}
}

// heardLeaving takes an upstream's word that it leaves.
func (r *Relay) heardLeaving(now time.Time, j *job, u fleet.Upstream, answer *exchange.Answer) {
	if !answer.Leaves {
		return
	}
	if !r.Fleet.IsLeaving(u.ID) {
		j.log.WithFields(logrus.Fields{"upstream": u.ID, "born": u.StartedAt, "status": answer.Status}).Info("leaving_heard")
	}
	r.Fleet.ApplyDeparture(now, fleet.Departure{ID: u.ID, Announced: true, StartedAt: u.StartedAt}, sourceAnswer)
}

// RestartedError says that an upstream has started again, and lost what it had.
type RestartedError struct{ Upstream string }

// Error implements error.
func (e *RestartedError) Error() string { return "upstream " + e.Upstream + " has started again" }

// record notes how an upstream fared, unless it has started again since.
func (r *Relay) record(u fleet.Upstream, failed bool) {
	if r.Fleet.IsCurrent(u) {
		r.Reliability.Record(time.Now(), u.ID, failed)
	}
}

// refuse ends a request with the system's own answer.
func (r *Relay) refuse(log *logrus.Entry, req *exchange.Request, c exchange.Caller, err error) {
	var refused refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.InternalUnexpected, err.Error())
	}
	r.Metrics.Refused(refused.Reason())
	r.Metrics.Ended(refused.Ending())
	log.WithFields(logrus.Fields{
		"reason": refused.Reason(), "ending": refused.Ending(), "retry_after_ms": refused.RetryAfter().Milliseconds(),
		"took_ms": time.Since(req.Arrived).Milliseconds(), "detail": refused.Error(),
	}).Info("refused")
	c.Refuse(refused)
}

// lost tells what a caller is told after a send without an answer: it may have
// run, so that nothing is promised.
func lost(ctx context.Context, err error) refusal.Refusal {
	var refused refusal.Refusal
	var failed *exchange.FailedError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &failed) && failed.NotSent:
		return refusal.New(refusal.NoUpstream, "no upstream was reached").WithRetryAfter(comeLater)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.TimedOut, "no answer in time")
	case ctx.Err() != nil:
		return refusal.New(refusal.CallerGone, "the caller hung up")
	}
	return refusal.New(refusal.NoAnswer, err.Error())
}
