package admission

import "time"

const (
	// briefSpan and longSpan are over what the room that was given is averaged; the
	// higher rate counts. The brief one follows a crowd that has just come, the long
	// one spans the 3 to 4 s in which engines are away by turns, where the brief one
	// dips.
	briefSpan = time.Second
	longSpan  = 4 * time.Second
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

// forecast tells how long a request will wait: what goes before it, by the rate
// at which room is given to its rank and those behind it, as whatever is more
// urgent goes on coming.
//
// The pieces of room that engines have, and the time to read what is in line there,
// say too little under a lasting shortage: what has been given says more.
type forecast struct {
	given map[rank]*given
	began time.Time // room was given for the first time
}

func newForecast() *forecast {
	return &forecast{given: map[rank]*given{}}
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

// young tells whether too little was given yet to go by.
func (f *forecast) young(now time.Time) bool {
	return f.began.IsZero() || now.Sub(f.began) < longSpan
}

// expects returns how long a request waits behind so many tokens, where its rank is
// given leaves tokens a second at least, and it has a part of that.
func (f *forecast) expects(now time.Time, r rank, tokens int, leaves, part float64) time.Duration {
	rate := part * max(f.rate(now, r), leaves)
	return min(seconds(float64(tokens)/max(rate, 1)), comeMost)
}
