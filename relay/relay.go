// Package relay forwards a caller's request to an upstream and returns its answer. It is
// the only layer that retries a request.
package relay

import (
	"cmp"
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
	"petrelstep/evacuate"
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
	// retryAfterOtherBox is the Retry-After where another box may serve the request.
	retryAfterOtherBox = 50 * time.Millisecond
	// retryAfterAllBoxes is the Retry-After where all boxes would refuse alike.
	retryAfterAllBoxes = 500 * time.Millisecond
	// minTimeLeft is the minimum time to the deadline for a request to be sent: a round
	// trip between halls and the shortest work.
	minTimeLeft = 5 * time.Millisecond
	// maxUnreached bounds the number of upstreams skipped because they could not be
	// reached; such sends do not count as tries.
	maxUnreached = 3
	// hungFactor is the multiple of the route's aim after which a request without an answer
	// counts as a failure: other boxes learn of a hung upstream before the caller gives up.
	hungFactor = 2
	// maxUrgency is the highest urgency value that engines accept.
	maxUrgency = 9
	// sourceAnswer is the logged source of what an upstream's answer announces.
	sourceAnswer = "answer"
)

// Components are the dependencies of a relay.
type Components struct {
	Routes          *routecache.Cache
	Fleet           *fleet.Fleet
	Picker          *picker.Picker
	Admitter        Admitter       // nil: requests go directly to the least loaded engine
	Places          *places.Places // nil: requests go directly to the least loaded plain upstream
	Loads           *upstreamload.Tracker
	Reliability     *reliability.Reliability
	Speeds          *speeds.Speeds // nil if disabled
	Sender          exchange.Sender
	Liveness        LivenessChecker         // nil: broken connections are not examined
	Quarantine      *quarantine.Quarantine  // nil: requests are never quarantined
	Rollouts        Rollouts                // nil: releases are not tried
	Trials          Trials                  // serializes tries of suspected requests; nil: no serialization
	Origins         Origins                 // nil: streams that callers resume go on at any release
	Limits          *upstreamlimits.Tracker // rate limits announced by upstreams
	Limiter         Limiter                 // enforces these limits; nil: they are not enforced
	RejectionLimits *upstreamlimits.Tracker // rejections per second that upstreams bear
	Slots           Slots                   // leases slots of upstreams with a rejection limit; nil: they are sent to like others
	Backoff         *backoff.Tracker        // backoffs requested by upstreams; nil: they are ignored
	Budget          *retry.Budget
	Runs            *runs.Runs
	Mover           evacuate.Mover       // stops moved runs whose answer was lost; nil: they are not stopped
	OutputLengths   *outputlen.Estimator // of answers, in tokens
	Prefill         *prefill.Prefill
	Metrics         *metrics.Metrics
	Stopping        func() (Stop, bool)         // false unless this box is being stopped
	Full            func() bool                 // reports whether this box has reached its limit of requests
	Buffers         *buffers.Buffers            // between upstreams and callers; nil: each event is written before the next is read
	ServeStale      bool                        // serve with a stale configuration, whatever its age
	Reaches         func(u fleet.Upstream) bool // reports whether this box's link to an upstream is intact; nil: always
	StoreSilence    func() time.Duration        // since the store last answered any box that reports to this one; 0 if none does; nil: not tracked
	Log             *logrus.Entry
}

// Admitter queues requests until an engine has capacity for them.
type Admitter interface {
	// Admit waits until an engine has capacity for a request, or ctx ends. It returns the
	// engine and the share of its memory in use then. The error is a refusal.Refusal.
	Admit(ctx context.Context, ask admission.Request) (admission.Grant, error)
}

// Relay is safe for use by several goroutines.
type Relay struct{ Components }

// New returns a relay.
func New(c Components) *Relay { return &Relay{c} }

// job is a request that is being served.
type job struct {
	req           *exchange.Request
	route         route.Route
	table         *route.Table
	organisation  string
	urgency       int
	deadline      time.Time
	service       route.Service
	tried         []string // upstreams to which the request was sent
	unreached     []string // upstreams that could not be reached
	log           *logrus.Entry
	timeToFirst   time.Duration // time to the first event or to the whole answer
	waited        time.Duration // for capacity
	lengths       *outputlen.Estimator
	print         fingerprint.Fingerprint   // identifies repeated requests in the quarantine
	parts         []fingerprint.Fingerprint // of its prompt, likewise
	mayHaveRun    atomic.Bool               // an upstream may have run it
	upstreamEnded atomic.Bool               // an upstream ended while it ran the last try
	noWait        bool                      // the next try is sent at once or not at all
	leases        leases
	releaseTrial  func(ended bool) // releases the trial turn; nil without one
	trialUpstream string           // upstream of the release on trial for which the request was drawn; empty for none
	firstUpstream string           // upstream that gets first tries during a roll-out; empty for none
	origin        origin
}

// lengthKey returns the key of the length statistics that apply to the request.
func (j *job) lengthKey() outputlen.Key {
	return outputlen.Key{Organisation: j.organisation, Model: j.req.Model, Class: j.route.Name}
}

// remainingTokens returns the expected number of tokens still to come after made tokens.
func (j *job) remainingTokens(made int) int {
	return j.lengths.Remaining(j.lengthKey(), made, j.req.MaxTokens)
}

// Serve serves a request and writes its answer or a refusal to c.
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
		r.serveStream(ctx, j, c)
		return
	}
	r.serveWhole(ctx, j, c)
}

// Check returns the refusal of a request whose body has not arrived yet; nil for none.
func (r *Relay) Check(req *exchange.Request) error {
	_, err := r.admit(req)
	return err
}

// Organisation returns the organisation of a key; empty if it is not known.
func (r *Relay) Organisation(key string) string {
	table, _, _ := r.Routes.Current(time.Now())
	if table == nil {
		return ""
	}
	o, _ := table.Organisation(key)
	return o.Name
}

// Refuse refuses a request that is not served.
func (r *Relay) Refuse(req *exchange.Request, c exchange.Caller, err error) {
	r.refuse(r.Log.WithField("request", req.ID), req, c, err)
}

// admit checks a request against the current configuration.
func (r *Relay) admit(req *exchange.Request) (*job, error) {
	if r.Full() {
		return nil, refusal.New(refusal.BoxFull, "too many requests at this box").WithRetryAfter(retryAfterOtherBox)
	}
	table, age, stale := r.Routes.Current(req.Arrived)
	if table == nil {
		return nil, refusal.New(refusal.NotReady, "no configuration yet").WithRetryAfter(retryAfterOtherBox)
	}
	log := r.Log.WithFields(logrus.Fields{"request": req.ID, "version": table.Version(), "age_ms": age.Milliseconds()})
	rt, ok := table.Match(req.Host, req.Path)
	tooOld := refusal.New(refusal.StaleConfiguration, "the configuration is stale").WithRetryAfter(r.staleRetryAfter(req.ID))
	if stale && !r.ServeStale && !(ok && rt.Public) {
		return nil, tooOld
	}
	if !ok {
		return nil, staleOr(stale, tooOld, refusal.New(refusal.UnknownRoute, req.Path))
	}
	log = log.WithField("route", rt.Name)
	if req.After != exchange.NoEvent {
		log = log.WithFields(logrus.Fields{"resumes": req.Resumes[:min(len(req.Resumes), maxResumesBytes)], "resumes_after": req.After})
	}
	j := &job{req: req, route: rt, table: table, log: log, lengths: r.OutputLengths, urgency: rt.Priority, deadline: req.Arrived.Add(min(req.Wait, rt.Timeout))}
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
			return nil, refusal.New(refusal.NoKey, "the request has no key")
		case !rt.Public:
			return nil, staleOr(stale, tooOld, refusal.New(refusal.WrongKey, "the key belongs to no organisation"))
		}
	}
	j.urgency = min(max(j.urgency, 0), maxUrgency)
	j.print = fingerprint.New([]byte(j.organisation), []byte(req.Host), req.Content[:])
	j.log = j.log.WithField("fingerprint", j.print)
	if err := j.restrictRegions(o.Regions); err != nil {
		return nil, err
	}
	j.service, ok = r.pickService(j)
	if !ok {
		return nil, refusal.New(refusal.UnknownService, rt.Name).WithRetryAfter(retryAfterAllBoxes)
	}
	j.parts = quarantine.PartsOf(j.service.Name, req.Model, req.SharedParts())
	if stop, stopping := r.Stopping(); stopping && !r.finishesBeforeStop(j, stop) {
		return nil, refusal.New(refusal.Draining, "this box stops before the request would end").WithRetryAfter(stop.retryAfter())
	}
	return j, nil
}

// restrictRegions sets the regions that both the route and the organisation allow.
func (j *job) restrictRegions(organisation []string) error {
	regions, ok := route.Within(j.route.Regions, organisation)
	if !ok {
		return refusal.New(refusal.NoUpstream, "no region serves both the route and the organisation").WithRetryAfter(retryAfterAllBoxes)
	}
	restricted := *j.req
	restricted.Regions = regions
	j.req = &restricted
	return nil
}

// staleOr returns the refusal of a request that the configuration does not know. If the
// configuration is stale, another box may have a newer one that does.
func staleOr(stale bool, tooOld, unknown refusal.Refusal) refusal.Refusal {
	if stale {
		return tooOld
	}
	return unknown
}

// eventTokens returns the number of tokens per event of the job's stream.
func (j *job) eventTokens() int {
	if j.service.Engine == nil {
		return 1
	}
	return max(j.service.Engine.EventTokens, 1)
}

// pickService picks one of the route's services by weight, the same for each try of a
// request and for requests that resume its stream. A service without upstreams is replaced by one of the others.
func (r *Relay) pickService(j *job) (route.Service, bool) {
	sum := 0
	for _, s := range j.route.Split {
		sum += s.Weight
	}
	hash := fnv.New32a()
	hash.Write([]byte(cmp.Or(j.req.Resumes, j.req.ID)))
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

// response is an answer and the upstream that sent it.
type response struct {
	answer      *exchange.Answer
	upstream    fleet.Upstream
	startedAt   time.Time
	entry       *upstreamload.Entry
	pace        *speeds.Stream
	sent        *sendResult // for the roll-out under way
	soloPrefill int         // tokens of its prompt if no other prompt was being read at the upstream; 0 otherwise
	firstEvent  time.Time   // time of the first event; zero before it
	lastHealthy time.Time   // when the upstream was last recorded as healthy under this request
	hangTimer   *time.Timer // records a failure if no answer comes in time
	close       func()
}

// send sends a request to the least loaded upstream and skips upstreams that cannot be
// reached. The error is a refusal, or the failure of a send that may have arrived.
func (r *Relay) send(ctx context.Context, j *job, after int) (*response, error) {
	for {
		u, err := r.placeForSend(ctx, j)
		if err != nil {
			return nil, err
		}
		resp, err := r.sendTo(ctx, j, u, after, nil)
		j.tried = append(j.tried, u.ID)
		if err == nil {
			return resp, nil
		}
		if !isNotSent(err) || len(j.unreached) >= maxUnreached || ctx.Err() != nil {
			return nil, err
		}
		r.recordUnreached(j, u.ID, err)
	}
}

// placeForSend picks an upstream for a request that is about to be sent, and logs it.
func (r *Relay) placeForSend(ctx context.Context, j *job) (fleet.Upstream, error) {
	now := time.Now()
	left := time.Until(j.deadline)
	if left < minTimeLeft {
		return fleet.Upstream{}, refusal.New(refusal.Deadline, "the deadline is too close to send the request")
	}
	u, load, err := r.placeWithQuarantine(ctx, j)
	j.waited += time.Since(now)
	if err != nil {
		return u, err
	}
	fields := logrus.Fields{
		"upstream": u.ID, "load": load, "left_ms": left.Milliseconds(), "waited_ms": time.Since(now).Milliseconds(), "try": len(j.tried) + 1,
		"hall": u.Hall, "upstream_release": u.Release,
	}
	if j.onTrial(u) {
		fields["release"], fields["trial"] = u.Release, true
	}
	j.log.WithFields(fields).Info("sent")
	return u, nil
}

// recordUnreached records that a try did not reach its upstream; it does not count as a
// try.
func (r *Relay) recordUnreached(j *job, upstream string, err error) {
	j.tried = slices.DeleteFunc(j.tried, func(id string) bool { return id == upstream })
	j.unreached = append(j.unreached, upstream)
	reason := unsentReason(err)
	r.Metrics.Retried(reason)
	j.log.WithError(err).WithFields(logrus.Fields{"upstream": upstream, "why": reason}).Warn("not_reached")
}

// place picks an upstream for a request. If an engine serves it, place waits for capacity.
func (r *Relay) place(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	if err := r.checkRelease(j); err != nil {
		return u, 0, err
	}
	if u, load, ok := r.placeOnTrial(ctx, j); ok {
		return u, load, nil
	}
	if j.service.Engine != nil && r.Admitter != nil {
		g, err := r.Admitter.Admit(ctx, admission.Request{
			ID: j.req.ID, Service: j.service, Urgency: j.urgency, Prompt: j.req.Prompt, Answer: j.remainingTokens(0), Arrived: j.req.Arrived,
			Aim: j.route.Aim, Gap: j.route.Gap, Deadline: j.deadline.Sub(j.req.Arrived), Patience: min(j.route.Patience, j.deadline.Sub(j.req.Arrived)),
			Key: j.requestKey(), Organisation: j.organisation, Avoid: j.avoid(), Regions: j.req.Regions, Release: j.origin.release,
		})
		return g.Upstream, g.Load, err
	}
	if r.Limiter != nil && j.service.Engine == nil {
		return r.placeLimited(ctx, j)
	}
	if r.sharesPlaces(j) {
		return r.takePlace(ctx, j)
	}
	return r.pick(j.service, j.want())
}

// pick picks the least loaded upstream.
func (r *Relay) pick(service route.Service, want picker.Want) (u fleet.Upstream, load float64, err error) {
	u, load, ok := r.Picker.Choose(time.Now(), want)
	switch {
	case ok:
		r.Picker.Sent(time.Now(), service, u)
		return u, load, nil
	case len(r.Picker.Ranked(time.Now(), want)) > 0: // all are cold and limited for now
		return u, 0, refusal.New(refusal.UpstreamCold, "upstreams of "+service.Name+" are cold").WithRetryAfter(retryAfterAllBoxes)
	}
	return u, 0, refusal.New(refusal.NoUpstream, "no upstream of "+service.Name).WithRetryAfter(retryAfterAllBoxes)
}

// sharesPlaces reports whether the job needs one of the places that boxes share among
// them.
func (r *Relay) sharesPlaces(j *job) bool {
	return r.Places != nil && j.service.Engine == nil && !j.route.Streams
}

// takePlace waits for a place at a plain upstream.
func (r *Relay) takePlace(ctx context.Context, j *job) (u fleet.Upstream, load float64, err error) {
	c, err := r.Places.Acquire(ctx, j.placeRequest())
	if err == nil {
		r.Picker.Sent(time.Now(), j.service, c.Upstream)
	}
	return c.Upstream, c.Load, err
}

func (j *job) placeRequest() places.Request {
	return places.Request{
		ID: j.req.ID, Organisation: j.organisation, Urgency: j.urgency, Arrived: j.req.Arrived, Aim: j.route.Aim, Deadline: j.deadline, Want: j.want(),
		Prefer: j.firstUpstream,
	}
}

// want returns the criteria for picking an upstream.
func (j *job) want() picker.Want {
	return picker.Want{Service: j.service, Tokens: j.req.Prompt, Avoid: j.avoid(), Regions: j.req.Regions, Release: j.origin.release, Own: true}
}

// avoid lists the upstreams to which the request is not sent again.
func (j *job) avoid() []string { return append(append([]string{}, j.tried...), j.unreached...) }

// requestKey returns a hash that all tries of a request have in common.
func (j *job) requestKey() uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, j.organisation, j.req.Host, j.req.Path, j.req.Prompt, j.req.MaxTokens, j.req.Hint, j.req.Segments)
	return hash.Sum64()
}

// expectedLoad returns the load that a request is expected to put on an upstream which
// sends it the events after the given one.
func (j *job) expectedLoad(after int, from *exchange.Copy) upstreamload.Load {
	load := upstreamload.Load{Requests: 1}
	if j.service.Engine != nil {
		made := (after + 1) * j.eventTokens()
		load.Tokens, load.Coming = j.req.Prompt+made, j.remainingTokens(made)
		if from == nil {
			load.Prefill = j.req.Prompt // otherwise all but the last tokens are in the copy
		}
	}
	return load
}

// soloPrefill returns the tokens of a load's prompt if the time to read them tells how fast
// engines are: if no other prompt is being read at the upstream, and its release is in
// service.
func (r *Relay) soloPrefill(j *job, u fleet.Upstream, load upstreamload.Load) int {
	if j.onTrial(u) || r.Loads.Load(time.Now(), u.ID).Prefill > 0 {
		return 0
	}
	return load.Prefill
}

// sendTo sends the request to one upstream.
func (r *Relay) sendTo(ctx context.Context, j *job, u fleet.Upstream, after int, from *exchange.Copy) (*response, error) {
	releaseSlot := j.leases.remove(u.ID)
	if err := r.checkSendable(j, u, from); err != nil {
		releaseSlot(true)
		return nil, err
	}
	load := j.expectedLoad(after, from)
	soloPrefill := r.soloPrefill(j, u, load)
	entry := r.Loads.Begin(u.ID, load)
	sending, cancel := context.WithCancelCause(ctx)
	untrackQuarantine := r.Quarantine.Track(j.print, func() { cancel(&QuarantinedError{}) }, j.parts...)
	untrackRun := r.Runs.TrackSend(u, func() { cancel(&RestartedError{Upstream: u.ID}) })
	untrack := func() {
		untrackQuarantine()
		untrackRun()
	}
	if !r.Fleet.IsCurrent(u) { // the restart was seen before TrackSend, which would have cancelled the send
		untrack()
		cancel(nil)
		entry.End()
		releaseSlot(true)
		return nil, &exchange.FailedError{NotSent: true, Err: &RestartedError{Upstream: u.ID}}
	}
	startedAt := time.Now()
	sent := r.recordSend(sending, startedAt, j, u, from)
	hangTimer := r.watchHang(j, u, sent)
	answer, err := r.Sender.Send(sending, exchange.Send{
		Request: j.req, Upstream: u.ID, Address: u.Address, Left: time.Until(j.deadline), Organisation: j.organisation,
		Urgency: j.urgency, After: after, From: from, BeforeWrite: r.beforeWrite(j, u, from, startedAt),
	})
	if err != nil {
		untrack()
		hangTimer.Stop()
		entry.End()
		releaseSlot(isNotSent(err))
		r.handleFailedSend(ctx, j, failedSend{u, startedAt, context.Cause(sending)}, err)
		r.sendFailed(sent, u, err)
		cancel(nil)
		return nil, err
	}
	r.handleHead(j, u, startedAt, answer)
	pace := r.Speeds.Stream(u)
	return &response{answer: answer, upstream: u, startedAt: startedAt, entry: entry, pace: pace, sent: sent, soloPrefill: soloPrefill, hangTimer: hangTimer, close: func() {
		untrack()
		hangTimer.Stop()
		sent.closed(time.Now(), answer)
		pace.End(time.Now())
		answer.Body.Close()
		releaseSlot(ctx.Err() == nil)
		cancel(nil)
		entry.End()
	}}, nil
}

// failedSend is a send that got no answer.
type failedSend struct {
	upstream  fleet.Upstream
	startedAt time.Time
	canceled  error // why it was cancelled; nil if it was not
}

// handleFailedSend finds out why a send got no answer and records a failure of the upstream, unless
// it may be the link that failed.
func (r *Relay) handleFailedSend(ctx context.Context, j *job, s failedSend, err error) {
	if !isNotSent(err) {
		j.mayHaveRun.Store(true)
	}
	if errors.As(s.canceled, new(*QuarantinedError)) || stateChanged(err) {
		return // not a failure of the upstream
	}
	counts := ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
	r.handleConnRefused(s.upstream, err)
	r.handleBroken(ctx, j, brokenSend{upstream: s.upstream, startedAt: s.startedAt}, err)
	if counts && !isLinkSuspect(err) {
		r.recordNoAnswer(s.upstream)
	}
}

// watchHang returns the timer that records a failure of an upstream if no answer comes in time.
func (r *Relay) watchHang(j *job, u fleet.Upstream, sent *sendResult) *time.Timer {
	return time.AfterFunc(hungFactor*j.route.Aim, func() {
		if r.reaches(u) {
			sent.failed(time.Now())
		}
		r.recordNoAnswer(u)
		j.log.WithField("upstream", u.ID).Warn("upstream_hangs")
	})
}

// handleHead updates what is known of an upstream from the head of its answer.
func (r *Relay) handleHead(j *job, u fleet.Upstream, sent time.Time, answer *exchange.Answer) {
	if answer.Status != http.StatusMisdirectedRequest { // otherwise another upstream has answered at this address
		now := time.Now()
		r.Limits.Observe(now, sent, u, answer.Limit, answer.Sealed && !answer.NotRun)
		r.RejectionLimits.Observe(now, sent, u, answer.RejectionLimit, answer.Sealed && !answer.NotRun)
		r.backOffRejection(now, u, answer)
		r.handleLeaving(now, j, u, answer)
		if answer.Backoff > 0 {
			r.Backoff.Requested(now, u, answer.Backoff)
		} else {
			r.Backoff.Answered(now, sent, u)
		}
	}
	if !answer.NotRun {
		j.mayHaveRun.Store(true)
	}
}

// handleLeaving updates the fleet when an upstream announces that it is leaving.
func (r *Relay) handleLeaving(now time.Time, j *job, u fleet.Upstream, answer *exchange.Answer) {
	if !answer.Leaving {
		return
	}
	if !r.Fleet.IsLeaving(u.ID) {
		j.log.WithFields(logrus.Fields{"upstream": u.ID, "born": u.StartedAt, "status": answer.Status}).Info("leaving_heard")
	}
	r.Fleet.ApplyDeparture(now, fleet.Departure{ID: u.ID, Announced: true, StartedAt: u.StartedAt}, sourceAnswer)
}

// RestartedError says that an upstream has restarted and lost its requests.
type RestartedError struct{ Upstream string }

// Error implements error.
func (e *RestartedError) Error() string { return "upstream " + e.Upstream + " has restarted" }

// recordResult records success or failure of an upstream, unless it has restarted since.
func (r *Relay) recordResult(u fleet.Upstream, failed bool) {
	if r.Fleet.IsCurrent(u) {
		r.Reliability.Record(time.Now(), u.ID, failed)
	}
}

// recordNoAnswer records that an upstream gave no whole answer. That says nothing about one to which
// this box's own link is cut.
func (r *Relay) recordNoAnswer(u fleet.Upstream) {
	if r.reaches(u) {
		r.recordResult(u, true)
	}
}

// reaches reports whether this box's link to an upstream is intact.
func (r *Relay) reaches(u fleet.Upstream) bool { return r.Reaches == nil || r.Reaches(u) }

// refuse ends a request with a refusal.
func (r *Relay) refuse(log *logrus.Entry, req *exchange.Request, c exchange.Caller, err error) {
	var refused refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.InternalUnexpected, err.Error())
	}
	r.Metrics.Refused(refused.Reason())
	r.Metrics.Ended(refused.Outcome())
	log.WithFields(logrus.Fields{
		"reason": refused.Reason(), "ending": refused.Outcome(), "retry_after_ms": refused.RetryAfter().Milliseconds(),
		"took_ms": time.Since(req.Arrived).Milliseconds(), "detail": refused.Error(),
	}).Info("refused")
	c.Refuse(refused)
}

// refusalFor returns the refusal for a send without an answer. The request may have run,
// so the refusal does not claim otherwise unless nothing was sent.
func refusalFor(ctx context.Context, err error) refusal.Refusal {
	var refused refusal.Refusal
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.Is(ctx.Err(), context.Canceled) && isNotSent(err):
		return refusal.New(refusal.CallerGone, "the caller disconnected").WithOutcome(refusal.NotRun)
	case ctx.Err() != nil && isNotSent(err):
		return refusal.New(refusal.Deadline, "no upstream was reached in time").WithRetryAfter(retryAfterAllBoxes)
	case isNotSent(err):
		return refusal.New(refusal.NoUpstream, "no upstream could be reached").WithRetryAfter(retryAfterAllBoxes)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.TimedOut, "no answer in time")
	case ctx.Err() != nil:
		return refusal.New(refusal.CallerGone, "the caller disconnected")
	}
	return refusal.New(refusal.NoAnswer, err.Error())
}
