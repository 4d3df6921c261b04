package admission

import (
	"time"
)

const (
	// briefSpan and longSpan are over what the room that was given is averaged; the
	// higher rate counts. The brief one follows a crowd that has just come, the long
	// one spans the seconds in which engines are away by turns: by the brief one
	// alone, which dips in between, half of those sent off would have had room.
	briefSpan = time.Second
	longSpan  = 4 * time.Second
	// horizonLeast and horizonMost bound the horizon. Below the least, so few wait
	// that room that is freed finds nobody; at the most, one waits that is expected
	// to take twice the time that it has.
	horizonLeast = 0.25
	horizonMost  = 2.0
	// horizonUp is added for one that waited for long and had room in time;
	// horizonDown is multiplied for one that waited in vain. They balance at one
	// in five in vain of those near the horizon: one that waits in vain earns its
	// caller a sixth, one that is told at once and comes back three fifths, so that
	// as few as that must fail for waiting to be the better choice of both.
	horizonUp   = 0.05
	horizonDown = 0.8
	// waitsKept is how long one that was let wait is remembered whose caller left.
	waitsKept = 20 * time.Second
)

// rank is what goes before what, apart from the time that is left.
type rank struct {
	urgency int
	short   bool
}

func (r rank) before(o rank) bool {
	return r.urgency < o.urgency || r.urgency == o.urgency && r.short && !o.short
}

// given is the room that one rank was given.
type given struct{ brief, long flow }

// wait is that of a request that was let wait.
type wait struct {
	began    time.Time
	expected time.Duration // wait
	near     bool          // to the horizon
}

// forecast tells how long a request will wait: what goes before it, by the rate
// at which room is given to its rank and those behind it, as whatever is more
// urgent goes on coming. It finds out by itself how far it may be trusted: its
// horizon is the part of the time that a request has left within which its wait
// must be expected to end, and follows what became of those that were let wait.
//
// By the pieces of room that engines have, and the time to read what is in line
// there, as many as a fifth of all drafts were told to come back while others
// waited 0.3 s: under a lasting shortage this forecast earns 0.05 to 0.1 of a
// day's worth.
type forecast struct {
	given   map[rank]*given
	began   time.Time // room was given for the first time
	horizon float64
	waits   map[string]wait // by request
	swept   time.Time
}

func newForecast() *forecast {
	return &forecast{given: map[rank]*given{}, horizon: 1, waits: map[string]wait{}}
}

// gave notes that a request of a rank had room.
func (f *forecast) gave(now time.Time, r rank, tokens int) {
	if f.began.IsZero() {
		f.began = now
	}
	g, ok := f.given[r]
	if !ok {
		g = &given{brief: flow{span: briefSpan}, long: flow{span: longSpan}}
		f.given[r] = g
	}
	g.brief.passed(now, tokens)
	g.long.passed(now, tokens)
}

// rate returns the tokens that a rank and those behind it are given in a second.
func (f *forecast) rate(now time.Time, r rank) float64 {
	brief, long := 0.0, 0.0
	for o, g := range f.given {
		if !o.before(r) {
			brief += g.brief.rate(now)
			long += g.long.rate(now)
		}
	}
	return max(brief, long)
}

// expects returns how long a request waits behind so many tokens. A box that has
// only begun to keep the queue goes by the tokens that engines free in a second.
func (f *forecast) expects(now time.Time, r rank, tokens int, leaves float64) time.Duration {
	rate := f.rate(now, r)
	if f.began.IsZero() || now.Sub(f.began) < longSpan {
		rate = max(rate, leaves)
	}
	return min(seconds(float64(tokens)/max(rate, 1)), comeMost)
}

// lets decides whether a request waits that has so much time left.
func (f *forecast) lets(now time.Time, request string, expected, left time.Duration) bool {
	within := time.Duration(f.horizon * float64(left))
	if expected > within {
		return false
	}
	f.sweep(now)
	f.waits[request] = wait{began: now, expected: expected, near: expected > within/2}
	return true
}

// waited returns the wait that a request was let have; false if none.
func (f *forecast) waited(request string) (wait, bool) {
	w, ok := f.waits[request]
	return w, ok
}

// ended notes whether one that was let wait had room in time.
func (f *forecast) ended(request string, inTime bool) {
	w, ok := f.waits[request]
	delete(f.waits, request)
	switch {
	case !ok:
	case !inTime:
		f.horizon = max(f.horizon*horizonDown, horizonLeast)
	case w.near:
		f.horizon = min(f.horizon+horizonUp, horizonMost)
	}
}

// sweep forgets those whose callers left.
func (f *forecast) sweep(now time.Time) {
	if now.Sub(f.swept) < waitsKept {
		return
	}
	f.swept = now
	for request, w := range f.waits {
		if now.Sub(w.began) > waitsKept {
			delete(f.waits, request)
		}
	}
}
