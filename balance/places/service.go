package places

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/distance"
	"petrelstep/picker"
	"petrelstep/route"
)

const (
	// checkInterval is the maximum age of the state of upstreams. It is less than the
	// interval in which boxes report to each other.
	checkInterval = 100 * time.Millisecond
	// utilizationWindow is the time constant of the mean utilization. It is several
	// times as long as the delay of reports, else all boxes swing from one upstream to
	// the next.
	utilizationWindow = time.Second
	// overloadThreshold is the fraction of the capacity at which requests are queued at
	// the boxes: below it queues at upstreams drain by themselves, and all boxes share
	// them.
	overloadThreshold = 1.0
	// idleUtilization is the utilization below which no request is queued at a box,
	// whatever capacity was estimated: an idle upstream is worse than a short queue
	// there.
	idleUtilization = 0.5
	// learningRate is the weight of each answer in the moving means, so that one slow
	// answer hardly changes them.
	learningRate = 1.0 / 16
	// minSamples is the number of answers from which a box trusts its own mean rather
	// than the one reported by the others. The error of the first sample has decayed to
	// an eighth by then.
	minSamples = 32
	// answerFraction is the fraction of the latency target that answers may take in an
	// overload; the rest is for the queue at the box and the network. Answers whose
	// service time is longer may take maxQueueFactor times that.
	answerFraction = 0.5
	maxQueueFactor = 1.5
	// increaseFactor and decreaseFactor are applied to the capacity correction with
	// each answer that took less than it may, or more: by small steps, so that the
	// correction changes more slowly than queues at upstreams fill.
	increaseFactor = 1.04
	decreaseFactor = 0.96
	// minCorrection and maxCorrection bound the correction: latencies exceed the
	// service time by up to a half, and the service time may rise under load.
	minCorrection = 0.7
	maxCorrection = 1.5
	// limitedOvercommit is how many times the rate of limited upstreams is sent to
	// them: the owner of a limit refuses the excess, and a box that is refused at one
	// upstream does not know which other has capacity left.
	limitedOvercommit = 2
	// maxBurst is the size of the token bucket: with fewer tokens a box could not make
	// up for moments without requests.
	maxBurst = 5.0
)

// upstream is the state of one upstream as seen by this box.
type upstream struct {
	inFlight     int           // requests of this box
	utilization  float64       // mean fraction of its slots in use
	latency      time.Duration // moving mean of the answer time; 0 if unknown
	serviceTime  time.Duration // the same at low utilization; 0 if unknown
	requestRatio float64       // requests sent there as a multiple of its limit
}

// service is the state of a service and its upstreams as seen by this box.
type service struct {
	service             route.Service
	upstreams           map[string]*upstream
	createdAt           time.Time
	checkedAt           time.Time
	checked             bool          // refresh has run before
	utilization         float64       // mean fraction of all slots in use
	all                 nearness      // the same near the box
	unlimited           nearness      // the same without limited upstreams
	slots               float64       // slots of unlimited upstreams, less their failing fraction
	capacity            float64       // requests per second of unlimited upstreams; 0 if unknown
	limitedCapacity     float64       // requests per second of limited upstreams
	serviceTime         time.Duration // mean answer time at low utilization, measured by this box; 0 if unknown
	samples             int           // answers in serviceTime
	reportedServiceTime time.Duration // the same, reported by the other boxes; 0 if unknown
	latency             time.Duration // moving mean of the answer time
	requests            rate          // at this box
	byUrgency           map[int]*rate // the same by urgency
	totalDemand         float64       // requests per second at all boxes
	correction          float64       // factor on capacity, learned from answer times in an overload
	allowedRate         float64       // this box's allocation, in requests per second
	tokens              float64       // requests that may be sent now
	refilledAt          time.Time
	waiting             []*waiter
	timerSet            bool
	wasOverloaded       bool // as last logged
}

func newService(now time.Time, r route.Service) *service {
	return &service{service: r, upstreams: map[string]*upstream{}, byUrgency: map[int]*rate{}, correction: 1, refilledAt: now, createdAt: now}
}

func (s *service) upstream(id string) *upstream {
	u, ok := s.upstreams[id]
	if !ok {
		u = &upstream{requestRatio: initialRequestRatio}
		s.upstreams[id] = u
	}
	return u
}

// refresh updates the moving means of the utilization and the capacity estimates.
func (s *service) refresh(now time.Time, list []picker.Choice, hall string, regions distance.Map, failing func(time.Time, string) float64, limits Limits) {
	weight := 1.0
	if s.checked {
		weight = 1 - decay(now.Sub(s.checkedAt), utilizationWindow)
	}
	s.checkedAt, s.checked = now, true
	var used float64
	var all, unlimited usage
	all.countFailing, unlimited.countFailing = regions.Several(), regions.Several()
	s.slots, s.capacity, s.limitedCapacity = 0, 0, 0
	kept := map[string]*upstream{}
	for _, c := range list {
		u, slots := s.upstream(c.Upstream.ID), float64(max(c.Upstream.Slots, 1))
		kept[c.Upstream.ID] = u
		u.utilization += (float64(c.Running.Requests)/slots - u.utilization) * weight
		healthy := slots * (1 - failing(now, c.Upstream.ID))
		step := regions.Between(hall, c.Upstream.Hall)
		all.add(step, u.utilization, healthy, slots)
		work := s.serviceTimeOf(u)
		if limit, ok := limitOf(limits, c.Upstream.ID); ok && (work == 0 || limit < slots/work.Seconds()) {
			s.limitedCapacity += limit * healthy / slots // its free slots can't be used
			continue
		}
		s.slots += healthy
		if work > 0 {
			s.capacity += healthy / work.Seconds()
		}
		used += u.utilization * healthy
		unlimited.add(step, u.utilization, healthy, slots)
	}
	for id, u := range s.upstreams {
		if u.inFlight > 0 {
			kept[id] = u
		}
	}
	s.upstreams = kept
	s.utilization, s.all, s.unlimited = used/max(s.slots, 1), all.nearness(), unlimited.nearness()
	if s.slots == 0 && s.limitedCapacity > 0 {
		s.utilization = 1
	}
}

// utilizationOf returns the fraction of slots in use; 1 if there are none.
func utilizationOf(used, slots float64) float64 {
	if slots == 0 {
		return 1
	}
	return used / slots
}

// limitOf returns how many requests per second may be sent to a limited upstream; false
// if it has no limit.
func limitOf(limits Limits, upstream string) (perSecond float64, limited bool) {
	if limits == nil {
		return 0, false
	}
	return limits.Limit(upstream)
}

// totalCapacity returns the requests per second that all upstreams can serve; 0 if
// unknown.
func (s *service) totalCapacity() float64 {
	if s.capacity == 0 && s.slots > 0 {
		return 0
	}
	return s.capacity*s.correction + s.limitedCapacity
}

// serviceTimeOf returns how long an upstream works on a request; 0 if unknown. A box
// with few samples, as after a start, uses the mean reported by the others.
func (s *service) serviceTimeOf(u *upstream) time.Duration {
	if s.samples < minSamples {
		return cmp.Or(min(s.reportedServiceTime, s.answerTime()), s.serviceTime)
	}
	return cmp.Or(u.serviceTime, s.serviceTime)
}

// report returns the demand to report to other boxes. It includes the service time of
// few samples too, as the receivers take the mean of many boxes.
func (s *service) report(rate float64) demand {
	if s.serviceTime == 0 {
		return demand{requests: rate}
	}
	return demand{requests: rate, timed: rate, busySlots: rate * s.serviceTime.Seconds()}
}

// overloaded reports whether the demand at all boxes exceeds the capacity of the
// upstreams.
func (s *service) overloaded() bool {
	return s.totalCapacity() > 0 && s.totalDemand > overloadThreshold*s.totalCapacity() && s.utilization >= idleUtilization
}

// fields adds the state of the service to a log line.
func (s *service) fields(now time.Time, log *logrus.Entry) *logrus.Entry {
	return log.WithFields(logrus.Fields{
		"service": s.service.Name, "asked": int(s.requests.perSecond(now)), "all_asked": int(s.totalDemand), "can": int(s.capacity), "limited": int(s.limitedCapacity), "rate": int(s.allowedRate), "use_pct": int(100 * s.utilization),
		"correction_pct": int(100 * s.correction), "usual_ms": s.answerTime().Milliseconds(), "waiting": len(s.waiting),
	})
}

// demand returns the requests per second at this box, including queued ones that
// arrived earlier.
func (s *service) demand(now time.Time) float64 {
	return max(s.requests.perSecond(now), float64(len(s.waiting))/rateWindow.Seconds())
}

// overtaken reports whether new requests, which can still be in time, overtake the
// queued ones: where limited upstreams provide most of the capacity, that is small and
// known, and the overload does not end by itself.
func (s *service) overtaken(now time.Time) bool {
	return s.limitedCapacity > s.capacity*s.correction && s.requests.perSecond(now) > s.allowedRate
}

// allocation returns this box's allocation of the upstreams' capacity.
func (s *service) allocation(now time.Time) float64 {
	if s.totalDemand == 0 {
		return s.capacity + s.limitedCapacity
	}
	return max((s.capacity*s.correction+limitedOvercommit*s.limitedCapacity)*s.demand(now)/s.totalDemand, minReportedRate)
}

// recordRequest counts a new request. Further tries of a request are not counted.
func (s *service) recordRequest(now time.Time, req Request) {
	if len(req.Want.Avoid) > 0 {
		return
	}
	s.requests.add(now, 1)
	r, ok := s.byUrgency[req.Urgency]
	if !ok {
		r = &rate{}
		s.byUrgency[req.Urgency] = r
	}
	r.add(now, 1)
}

// skipsQueue reports whether a request is sent at once, because all requests at least
// as urgent fit into this box's allocation; less urgent ones make up for it.
func (s *service) skipsQueue(now time.Time, w *waiter) bool {
	return w.excess <= 0 && s.fits(now, w.request.Urgency) && s.tokens > -maxBurst
}

// fits reports whether all requests at least as urgent fit into this box's allocation.
// Where less urgent ones can make up for it, the request itself is not counted: a
// request that comes after a pause weighs more in the rate than it is, and a box in a
// large fleet may have a single request in many seconds.
func (s *service) fits(now time.Time, urgency int) bool {
	own, others := 0.0, 0.0
	for u, r := range s.byUrgency {
		if u <= urgency {
			own += r.perSecond(now)
		} else {
			others += r.perSecond(now)
		}
	}
	if others > 0 {
		own -= 1 / rateWindow.Seconds()
	}
	return own <= s.allowedRate
}

// refill adds tokens for the time since the last refill.
func (s *service) refill(now time.Time) {
	if !s.overloaded() {
		s.tokens, s.refilledAt = 1, now
		return
	}
	s.tokens = min(s.tokens+s.allowedRate*now.Sub(s.refilledAt).Seconds(), maxBurst)
	s.refilledAt = now
}

// nextToken returns how long it takes until the next request may be sent.
func (s *service) nextToken() time.Duration {
	return seconds((1-min(s.tokens, 1))/s.allowedRate) + time.Microsecond
}

// drainTime returns how long it takes to send all queued requests.
func (s *service) drainTime() time.Duration {
	return seconds(float64(len(s.waiting)+1) / s.allowedRate)
}

// answerTime returns how long an answer takes once a request is sent.
func (s *service) answerTime() time.Duration { return max(s.latency, s.serviceTime) }

// answered adds the time of an answer to the means. The service time is learned only at
// low utilization, once it has been observed for a while, as it would else include
// queueing at the upstream. A service time that was learned in the first moments of an
// overload is corrected by shorter answers: none is shorter than its service time.
func (s *service) answered(u *upstream, took, aim time.Duration) {
	updateMean(&u.latency, took)
	updateMean(&s.latency, took)
	if u.utilization < idleUtilization && s.checkedAt.Sub(s.createdAt) >= utilizationWindow {
		updateMean(&u.serviceTime, took)
		updateMean(&s.serviceTime, took)
		s.samples++
	}
	u.serviceTime, s.serviceTime = min(u.serviceTime, u.latency), min(s.serviceTime, s.latency)
	allowed := max(time.Duration(answerFraction*float64(aim)), time.Duration(maxQueueFactor*float64(s.serviceTime)))
	switch {
	case !s.overloaded():
		s.correction += (1 - s.correction) * learningRate
	case took > allowed:
		s.correction = max(s.correction*decreaseFactor, minCorrection)
	default:
		s.correction = min(s.correction*increaseFactor, maxCorrection)
	}
}

func updateMean(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(float64(took-*mean) * learningRate)
}

// queueWait returns how long a request would be queued.
func (s *service) queueWait(now time.Time, w *waiter) time.Duration {
	ahead := 0
	for _, o := range s.waiting {
		if compare(now, s.answerTime(), o, w) < 0 {
			ahead++
		}
	}
	return seconds(max(float64(ahead)+1-s.tokens, 0) / s.allowedRate)
}

// waiter is a queued request.
type waiter struct {
	request  Request
	service  *service
	excess   float64    // by how much its organisation exceeds its share
	released chan error // nil: it may be sent
}

// compare orders queued requests: those that can still be in time first, then by excess,
// urgency and due time.
func compare(now time.Time, usual time.Duration, a, b *waiter) int {
	inTime := func(w *waiter) bool { return !now.Add(usual).After(w.request.due()) }
	switch {
	case inTime(a) != inTime(b):
		return toInt(inTime(b)) - toInt(inTime(a))
	case a.excess != b.excess:
		return toInt(a.excess > b.excess) - toInt(a.excess < b.excess)
	case a.request.Urgency != b.request.Urgency:
		return a.request.Urgency - b.request.Urgency
	case !inTime(a):
		return a.request.Deadline.Compare(b.request.Deadline)
	}
	return a.request.due().Compare(b.request.due())
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// expired returns the queued requests that could not be answered before their deadline,
// or that newer requests will overtake until then.
func (s *service) expired(now time.Time) []*waiter {
	var list []*waiter
	overtaken := s.overtaken(now)
	for _, w := range s.waiting {
		if now.Add(s.answerTime()).After(w.request.Deadline) || overtaken && !now.Before(w.request.queueUntil()) {
			list = append(list, w)
		}
	}
	return list
}

// nextCheck returns how long it takes until the queue has to be checked again.
func (s *service) nextCheck(now time.Time) time.Duration {
	in := min(s.nextToken(), checkInterval)
	if !s.overtaken(now) {
		return in
	}
	for _, w := range s.waiting {
		in = min(in, max(w.request.queueUntil().Sub(now), time.Microsecond))
	}
	return in
}

func (s *service) releaseFirst(now time.Time) {
	first := slices.MinFunc(s.waiting, func(a, b *waiter) int { return compare(now, s.answerTime(), a, b) })
	s.remove(first)
	first.released <- nil
}

func (s *service) releaseAll() {
	for _, w := range s.waiting {
		w.released <- nil
	}
	s.waiting = nil
}

func (s *service) remove(w *waiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// slowdown returns by what factor an upstream's answers take longer than the mean of
// the service; 1 if they don't.
func (s *service) slowdown(u *upstream) float64 {
	if u.latency == 0 || s.latency == 0 {
		return 1
	}
	return max(float64(u.latency)/float64(s.latency), 1)
}
