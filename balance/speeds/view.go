package speeds

import (
	"math"
	"sync"
	"time"

	"petrelstep/fleet"
)

const (
	// defaultConcurrentRatio is how many times as long a gap is during a prefill, until
	// engines of the service have been observed; it counts as one engine.
	defaultConcurrentRatio = 3.0
	// minKnownWeight is the minimum weight of an engine's record to be used for
	// forecasts of others.
	minKnownWeight = 0.5
	// maxPrefillRatio bounds the prefill ratio of an engine, as single measurements may
	// include a wait for others.
	maxPrefillRatio = 3.0
)

// engineEstimate is the estimate of one engine.
type engineEstimate struct {
	key string
	estimate
}

// view is the estimates of a service's engines at a time.
type view struct {
	at      time.Time
	keys    []string         // sorted: rounded sums depend on the order
	speeds  map[string]Speed // by key
	known   bool             // there is an estimate of any engine
	prefill forecast         // mean time of the service's engines to prefill a token

	mu    sync.Mutex
	byGap map[time.Duration]risks
}

// risks are the risks of a service's engines for one maximum gap.
type risks struct {
	engines map[string]risk // by id
	typical risk            // mean risk, for engines without an estimate
}

func (r risks) of(u fleet.Upstream) risk {
	if known, ok := r.engines[u.ID]; ok {
		return known
	}
	return r.typical
}

// risks returns the risks for a maximum gap. They are computed once for each view.
func (v *view) risks(gap time.Duration) risks {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.byGap[gap]; ok {
		return r
	}
	r := risks{typical: risk{prefillRatio: 1}, engines: make(map[string]risk, len(v.speeds))}
	for _, key := range v.keys {
		if s := v.speeds[key]; s.known() {
			known := s.risk(gap)
			known.prefillRatio = v.prefillRatio(s)
			id, _ := splitKey(key)
			r.engines[id] = known
			r.typical.alone += known.alone
			r.typical.concurrent += known.concurrent
		}
	}
	if n := float64(len(r.engines)); n > 0 {
		r.typical.alone /= n
		r.typical.concurrent /= n
	}
	v.byGap[gap] = r
	return r
}

// newView forecasts the times of each engine from its own observations and those of the
// service's other engines.
func newView(now time.Time, list []engineEstimate, margin float64) *view {
	v := &view{at: now, speeds: make(map[string]Speed, len(list)), byGap: map[time.Duration]risks{}}
	concurrentRatio := ratio(list, func(r record) (x, y sum) { return r.alone, r.concurrent }).combine(forecast{math.Log(defaultConcurrentRatio), 1})
	aloneRatio := ratio(list, func(r record) (x, y sum) { return r.prefill, r.alone })
	for _, e := range list {
		s := Speed{lastSeen: e.lastSeen, margin: margin, prefill: forecastOf(e.prefill), alone: forecastOf(e.alone)}
		s.alone = s.alone.combine(s.prefill.scaledBy(aloneRatio))
		s.concurrent = forecastOf(e.concurrent).combine(s.alone.scaledBy(concurrentRatio))
		v.keys = append(v.keys, e.key)
		v.speeds[e.key] = s
		if s.prefill.weight > 0 {
			v.prefill = v.prefill.combine(forecast{s.prefill.log, 1})
		}
		v.known = v.known || s.known()
	}
	return v
}

func forecastOf(s sum) forecast {
	if s.weight < minWeight {
		return forecast{}
	}
	return forecast{s.mean(), s.weight}
}

// scaledBy forecasts another kind of time by its ratio to this one.
func (f forecast) scaledBy(ratio forecast) forecast {
	if f.weight == 0 || ratio.weight == 0 {
		return forecast{}
	}
	return forecast{f.log + ratio.log, crossWeight * f.weight}
}

// ratio returns the ratio of two kinds of times, as a logarithm, as the mean of the
// engines of which both are known.
func ratio(list []engineEstimate, kinds func(record) (x, y sum)) forecast {
	f := forecast{}
	for _, e := range list {
		if x, y := kinds(e.record); x.weight >= minKnownWeight && y.weight >= minKnownWeight {
			f = f.combine(forecast{y.mean() - x.mean(), 1})
		}
	}
	return f
}

// prefillRatio returns an engine's prefill time relative to the service's engines.
func (v *view) prefillRatio(s Speed) float64 {
	if s.prefill.weight == 0 {
		return 1
	}
	return min(max(math.Exp(s.prefill.log-v.prefill.log), 1/maxPrefillRatio), maxPrefillRatio)
}
