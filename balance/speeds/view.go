package speeds

import (
	"math"
	"sync"
	"time"

	"petrelstep/fleet"
)

const (
	// besideGuess is how many times as long an event takes beside a prompt that is
	// read, until engines of the service were seen to do so; it counts as one engine.
	besideGuess = 3.0
	// enough is the weight from which on what was seen of an engine tells of its like.
	enough = 0.5
	// readingMost bounds how much faster or slower than usual an engine is taken to
	// read by few prompts, each of which may have waited for others.
	readingMost = 3.0
)

// believed is what is believed of one engine.
type believed struct {
	key string
	belief
}

// view is what is believed of the engines of a service at a time.
type view struct {
	at     time.Time
	keys   []string         // in the order of the fleet: sums that are rounded differ by order
	speeds map[string]Speed // by key
	known  bool             // anything is, of any
	read   forecast         // how long the service's engines take for a token, in the mean

	mu    sync.Mutex
	byGap map[time.Duration]risks
}

// risks are the chances that engines break a pause.
type risks struct {
	engines map[string]risk // by id
	like    risk            // of one that nothing is known of: as its like
}

func (r risks) of(u fleet.Upstream) risk {
	if known, ok := r.engines[u.ID]; ok {
		return known
	}
	return r.like
}

// risks returns the chances for a pause; they are made once for each view.
func (v *view) risks(gap time.Duration) risks {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.byGap[gap]; ok {
		return r
	}
	r := risks{like: risk{reading: 1}, engines: make(map[string]risk, len(v.speeds))}
	for _, key := range v.keys {
		if s := v.speeds[key]; s.known() {
			one := s.risk(gap)
			one.reading = v.reading(s)
			id, _ := split(key)
			r.engines[id] = one
			r.like.alone += one.alone
			r.like.beside += one.beside
		}
	}
	if n := float64(len(r.engines)); n > 0 {
		r.like.alone /= n
		r.like.beside /= n
	}
	v.byGap[gap] = r
	return r
}

// newView forecasts what each engine does by what was seen of it and its like.
func newView(now time.Time, list []believed, margin float64) *view {
	v := &view{at: now, speeds: make(map[string]Speed, len(list)), byGap: map[time.Duration]risks{}}
	aloneBeside := ratio(list, func(r record) (x, y sum) { return r.alone, r.beside }).and(forecast{math.Log(besideGuess), 1})
	readAlone := ratio(list, func(r record) (x, y sum) { return r.read, r.alone })
	for _, b := range list {
		s := Speed{seen: b.seen, margin: margin, read: own(b.read), alone: own(b.alone)}
		s.alone = s.alone.and(s.read.by(readAlone))
		s.beside = own(b.beside).and(s.alone.by(aloneBeside))
		v.keys = append(v.keys, b.key)
		v.speeds[b.key] = s
		if s.read.weight > 0 {
			v.read = v.read.and(forecast{s.read.log, 1})
		}
		v.known = v.known || s.known()
	}
	return v
}

func own(s sum) forecast {
	if s.weight < forgotten {
		return forecast{}
	}
	return forecast{s.mean(), s.weight}
}

// by forecasts another kind of time by how many times as long that is.
func (f forecast) by(ratio forecast) forecast {
	if f.weight == 0 || ratio.weight == 0 {
		return forecast{}
	}
	return forecast{f.log + ratio.log, other * f.weight}
}

// ratio returns how many times as long one kind of time is as another, as a
// logarithm, in the mean of the engines of which both are known.
func ratio(list []believed, kinds func(record) (x, y sum)) forecast {
	f := forecast{}
	for _, b := range list {
		if x, y := kinds(b.record); x.weight >= enough && y.weight >= enough {
			f = f.and(forecast{y.mean() - x.mean(), 1})
		}
	}
	return f
}

// reading returns how many times as long as usual an engine takes to read a prompt.
func (v *view) reading(s Speed) float64 {
	if s.read.weight == 0 {
		return 1
	}
	return min(max(math.Exp(s.read.log-v.read.log), 1/readingMost), readingMost)
}
