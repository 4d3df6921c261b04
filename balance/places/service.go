package places

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/picker"
	"petrelstep/route"
)

const (
	// lookEvery is how old what is known of upstreams may be: less than the period
	// in which boxes hear of each other.
	lookEvery = 100 * time.Millisecond
	// useOver is over how long the use of places is averaged: several times as long
	// as the news of it takes, else all boxes swing from one upstream to the next.
	useOver = time.Second
	// crowdedFrom is from which part of what upstreams can do on requests wait at
	// the box: below it lines at upstreams end by themselves, and all boxes share them.
	crowdedFrom = 1.0
	// idleBelow is below which use of places nobody waits at a box, whatever was
	// reckoned: an upstream that could have served is worse than a short line there.
	idleBelow = 0.5
	// learnPart is the part of what is known that each answer replaces: some ten
	// answers, so that one slow answer is no verdict.
	learnPart = 1.0 / 16
	// metLeast is from how many answers on a box's own mean is better than the others'
	// word: then a tenth is left of how far off the first one was, one of 16 or less.
	metLeast = 32
	// answerPart is the part of the aim that answers may take in a crowd; the rest is
	// for the wait at the box and the way. Work that is longer may take lineMost times
	// as long as it does alone.
	answerPart = 0.5
	lineMost   = 1.5
	// moreEach and lessEach are by how much each answer corrects what upstreams can do
	// that took less than it may, or more: a box with five answers a second then
	// corrects a fifth in a second, more slowly than lines at upstreams fill.
	moreEach = 1.04
	lessEach = 0.96
	// leastCorrection and mostCorrection bound that: the time of an answer is up to a
	// half longer than its work, and work may take longer in a crowd.
	leastCorrection = 0.7
	mostCorrection  = 1.5
	// goMore is how many times what limited upstreams take is let go to them: what is too
	// much is refused by who gives it out. A box that finds nothing at one upstream does
	// not know which other has something.
	goMore = 2
	// saved is how many requests a box may send at once after a pause: with fewer, what
	// a box is not asked for in one moment could not be made up for in the next.
	saved = 5.0
)

// upstream is what this box knows of one.
type upstream struct {
	own   int           // of this box that run there
	use   float64       // mean share of its places that are taken
	takes time.Duration // for an answer, in the mean of late; 0 if not known
	work  time.Duration // the same while few of its places were taken
	press float64       // how many times what its limit gives this box asks there
}

// service is what this box knows of the upstreams of a service.
type service struct {
	service    route.Service
	upstreams  map[string]*upstream
	began      time.Time // to be known
	looked     time.Time
	known      bool          // use was looked at before
	use        float64       // mean share of all places that are taken
	near       float64       // of those of the box's own hall
	nearFree   float64       // of these, but those that name a limit
	slots      float64       // that can be counted on
	can        float64       // requests a second that those can do that name no limit below it; 0 if not known
	limited    float64       // requests a second that the others take
	work       time.Duration // met by this box; 0 if not known
	met        int           // answers that it was learned from
	toldWork   time.Duration // by the other boxes; 0 if not known
	takes      time.Duration // for an answer, in the mean of late
	asked      rate          // of this box
	ranks      map[int]*rate // the same by urgency
	all        float64       // requests a second that all boxes are asked for
	correction float64
	rate       float64 // this box's part, in requests a second
	tokens     float64 // that may be sent now
	filled     time.Time
	waiting    []*waiter
	timer      bool // one is set
	wasCrowded bool // as was logged last
}

func newService(now time.Time, r route.Service) *service {
	return &service{service: r, upstreams: map[string]*upstream{}, ranks: map[int]*rate{}, correction: 1, filled: now, began: now}
}

func (s *service) upstream(id string) *upstream {
	u, ok := s.upstreams[id]
	if !ok {
		u = &upstream{press: pressFirst}
		s.upstreams[id] = u
	}
	return u
}

// look takes how much the upstreams are used into the means.
func (s *service) look(now time.Time, list []picker.Choice, hall string, failing func(time.Time, string) float64, limits Limits) {
	part := 1.0
	if s.known {
		part = 1 - fade(now.Sub(s.looked), useOver)
	}
	s.looked, s.known = now, true
	var use, near, nearSlots, nearFree, nearFreeSlots float64
	s.slots, s.can, s.limited = 0, 0, 0
	kept := map[string]*upstream{}
	for _, c := range list {
		u, slots := s.upstream(c.Upstream.ID), float64(max(c.Upstream.Slots, 1))
		kept[c.Upstream.ID] = u
		u.use += (float64(c.Running.Requests)/slots - u.use) * part
		sound := slots * (1 - failing(now, c.Upstream.ID))
		if c.Upstream.Hall == hall {
			near += u.use * sound
			nearSlots += sound
		}
		work := s.workOf(u)
		if limit, ok := limitOf(limits, c.Upstream.ID); ok && (work == 0 || limit < slots/work.Seconds()) {
			s.limited += limit * sound / slots // its places are free, and yet not to be had
			continue
		}
		s.slots += sound
		if work > 0 {
			s.can += sound / work.Seconds()
		}
		use += u.use * sound
		if c.Upstream.Hall == hall {
			nearFree += u.use * sound
			nearFreeSlots += sound
		}
	}
	for id, u := range s.upstreams {
		if u.own > 0 {
			kept[id] = u
		}
	}
	s.upstreams = kept
	s.use, s.near, s.nearFree = use/max(s.slots, 1), over(near, nearSlots), over(nearFree, nearFreeSlots)
	if s.slots == 0 && s.limited > 0 {
		s.use = 1
	}
}

// over returns a part of some places; all, where there is none.
func over(used, slots float64) float64 {
	if slots == 0 {
		return 1
	}
	return used / slots
}

// limitOf returns how much is given out of what an upstream takes; false if it takes all.
func limitOf(limits Limits, upstream string) (perSecond float64, limited bool) {
	if limits == nil {
		return 0, false
	}
	return limits.Limit(upstream)
}

// total is how many requests a second the upstreams can do and take; 0 if not known.
func (s *service) total() float64 {
	if s.can == 0 && s.slots > 0 {
		return 0
	}
	return s.can*s.correction + s.limited
}

// workOf returns how long an upstream works on a request; 0 if not known. A box that
// has met few answers, as it has just started, takes the others' word.
func (s *service) workOf(u *upstream) time.Duration {
	if s.met < metLeast {
		return cmp.Or(min(s.toldWork, s.usual()), s.work)
	}
	return cmp.Or(u.work, s.work)
}

// word is what this box tells of what it is asked for. Of few answers it tells too: the
// mean of many boxes is taken.
func (s *service) word(asked float64) demand {
	if s.work == 0 {
		return demand{asked: asked}
	}
	return demand{asked: asked, known: asked, busy: asked * s.work.Seconds()}
}

// crowded tells whether the boxes are asked for more than the upstreams can do.
func (s *service) crowded() bool {
	return s.total() > 0 && s.all > crowdedFrom*s.total() && s.use >= idleBelow
}

// fields adds what is believed of the service to a log line.
func (s *service) fields(now time.Time, log *logrus.Entry) *logrus.Entry {
	return log.WithFields(logrus.Fields{
		"service": s.service.Name, "asked": int(s.asked.a(now)), "all_asked": int(s.all), "can": int(s.can), "limited": int(s.limited), "rate": int(s.rate), "use_pct": int(100 * s.use),
		"correction_pct": int(100 * s.correction), "usual_ms": s.usual().Milliseconds(), "waiting": len(s.waiting),
	})
}

// demand is what this box is asked for, in requests a second: no less than those who
// wait, who may have come some time ago.
func (s *service) demand(now time.Time) float64 {
	return max(s.asked.a(now), float64(len(s.waiting))/rateOver.Seconds())
}

// passes tells whether who waits at this box is passed by those who come, who can be in
// time: where limits are most of what there is, it is little and known, and no crowd
// that ends by itself.
func (s *service) passes(now time.Time) bool {
	return s.limited > s.can*s.correction && s.asked.a(now) > s.rate
}

// part returns this box's part of what the upstreams can do.
func (s *service) part(now time.Time) float64 {
	if s.all == 0 {
		return s.can + s.limited
	}
	return max((s.can*s.correction+goMore*s.limited)*s.demand(now)/s.all, tellFrom)
}

// ask notes one more request. Further tries of one are not asked for anew.
func (s *service) ask(now time.Time, a Request) {
	if len(a.Want.Avoid) > 0 {
		return
	}
	s.asked.add(now, 1)
	r, ok := s.ranks[a.Urgency]
	if !ok {
		r = &rate{}
		s.ranks[a.Urgency] = r
	}
	r.add(now, 1)
}

// goesFirst tells whether all that is as urgent as a request fits into this box's
// part: then it need not wait, and what is less urgent makes up for it.
func (s *service) goesFirst(now time.Time, w *waiter) bool {
	return w.over <= 0 && s.fits(now, w.ask.Urgency) && s.tokens > -saved
}

// fits tells whether all that is as urgent fits into this box's part. One that comes
// after a while counts for more than it is, and is left out where others make up for it:
// of 77 boxes before limited upstreams each has one in ten seconds.
func (s *service) fits(now time.Time, urgency int) bool {
	asked, others := 0.0, 0.0
	for of, r := range s.ranks {
		if of <= urgency {
			asked += r.a(now)
		} else {
			others += r.a(now)
		}
	}
	if others > 0 {
		asked -= 1 / rateOver.Seconds()
	}
	return asked <= s.rate
}

// refill adds what may be sent by now.
func (s *service) refill(now time.Time) {
	if !s.crowded() {
		s.tokens, s.filled = 1, now
		return
	}
	s.tokens = min(s.tokens+s.rate*now.Sub(s.filled).Seconds(), saved)
	s.filled = now
}

// next returns when the next may be sent.
func (s *service) next() time.Duration {
	return seconds((1-min(s.tokens, 1))/s.rate) + time.Microsecond
}

// clears returns how long it takes to serve all who wait.
func (s *service) clears() time.Duration { return seconds(float64(len(s.waiting)+1) / s.rate) }

// usual is how long an answer takes once a request is sent.
func (s *service) usual() time.Duration { return max(s.takes, s.work) }

// answered takes how long an answer took into the means. Work is learned while few
// places are taken, as far as the box has had time to know: else it would be the line
// that is learned. What was learned in the first moment of a crowd, before it was known,
// is mended by answers that take less: none takes less than its work.
func (s *service) answered(u *upstream, took, aim time.Duration) {
	learn(&u.takes, took)
	learn(&s.takes, took)
	if u.use < idleBelow && s.looked.Sub(s.began) >= useOver {
		learn(&u.work, took)
		learn(&s.work, took)
		s.met++
	}
	u.work, s.work = min(u.work, u.takes), min(s.work, s.takes)
	may := max(time.Duration(answerPart*float64(aim)), time.Duration(lineMost*float64(s.work)))
	switch {
	case !s.crowded():
		s.correction += (1 - s.correction) * learnPart
	case took > may:
		s.correction = max(s.correction*lessEach, leastCorrection)
	default:
		s.correction = min(s.correction*moreEach, mostCorrection)
	}
}

func learn(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(float64(took-*mean) * learnPart)
}

// waitOf returns how long a request would wait in line.
func (s *service) waitOf(now time.Time, w *waiter) time.Duration {
	ahead := 0
	for _, o := range s.waiting {
		if before(now, s.usual(), o, w) < 0 {
			ahead++
		}
	}
	return seconds(max(float64(ahead)+1-s.tokens, 0) / s.rate)
}

// waiter is a request in line.
type waiter struct {
	ask      Request
	service  *service
	over     float64    // by how much its organisation is over its share
	released chan error // nil: it may go
}

// before orders those in line.
func before(now time.Time, usual time.Duration, a, b *waiter) int {
	inTime := func(w *waiter) bool { return !now.Add(usual).After(w.ask.aimAt()) }
	switch {
	case inTime(a) != inTime(b):
		return truth(inTime(b)) - truth(inTime(a))
	case a.over != b.over:
		return truth(a.over > b.over) - truth(a.over < b.over)
	case a.ask.Urgency != b.ask.Urgency:
		return a.ask.Urgency - b.ask.Urgency
	case !inTime(a):
		return a.ask.Deadline.Compare(b.ask.Deadline)
	}
	return a.ask.aimAt().Compare(b.ask.aimAt())
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hopeless returns those in line who could not be answered before their callers
// leave, or are passed by newer ones until then.
func (s *service) hopeless(now time.Time) []*waiter {
	var list []*waiter
	passed := s.passes(now)
	for _, w := range s.waiting {
		if now.Add(s.usual()).After(w.ask.Deadline) || passed && !now.Before(w.ask.lineUntil()) {
			list = append(list, w)
		}
	}
	return list
}

// lookIn returns in how long those in line are to be looked at again.
func (s *service) lookIn(now time.Time) time.Duration {
	in := min(s.next(), lookEvery)
	if !s.passes(now) {
		return in
	}
	for _, w := range s.waiting {
		in = min(in, max(w.ask.lineUntil().Sub(now), time.Microsecond))
	}
	return in
}

func (s *service) releaseFirst(now time.Time) {
	first := slices.MinFunc(s.waiting, func(a, b *waiter) int { return before(now, s.usual(), a, b) })
	s.leave(first)
	first.released <- nil
}

func (s *service) releaseAll() {
	for _, w := range s.waiting {
		w.released <- nil
	}
	s.waiting = nil
}

func (s *service) leave(w *waiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// slower returns how much an upstream's answers take longer than all answers do.
func (s *service) slower(u *upstream) float64 {
	if u.takes == 0 || s.takes == 0 {
		return 1
	}
	return max(float64(u.takes)/float64(s.takes), 1)
}
