package admission

import "time"

const (
	// shortWindow and longWindow are the periods over which granted capacity is averaged; the
	// higher rate counts. The short one follows a burst, the long one bridges the 3 to 4 s
	// during which engines are being replaced.
	shortWindow = time.Second
	longWindow  = 4 * time.Second
)

// rank is a request's class in the order of the queue, apart from the time left.
type rank struct {
	urgency int
	short   bool
}

func (r rank) before(o rank) bool {
	return r.urgency < o.urgency || r.urgency == o.urgency && r.short && !o.short
}

// rankRates are the rates at which one rank was granted capacity.
type rankRates struct{ short, long tokenRate }

// forecast estimates how long a request will wait: the prompt tokens ahead of it, divided
// by the rate at which its rank and those behind it are granted capacity. More urgent
// requests are assumed to keep arriving. Past grants predict waits better than the free
// memory of engines, which says little during a lasting shortage.
type forecast struct {
	rates     map[rank]*rankRates
	startedAt time.Time // the first grant
}

func newForecast() *forecast {
	return &forecast{rates: map[rank]*rankRates{}}
}

// granted records that a request of a rank was admitted.
func (f *forecast) granted(now time.Time, r rank, tokens int) {
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	g, ok := f.rates[r]
	if !ok {
		g = &rankRates{short: tokenRate{window: shortWindow}, long: tokenRate{window: longWindow}}
		f.rates[r] = g
	}
	g.short.add(now, tokens)
	g.long.add(now, tokens)
}

// rate returns the tokens per second granted to a rank and those behind it.
func (f *forecast) rate(now time.Time, r rank) float64 {
	short, long := 0.0, 0.0
	for o, g := range f.rates {
		if !o.before(r) {
			short += g.short.rate(now)
			long += g.long.rate(now)
		}
	}
	return max(short, long)
}

// warmingUp reports whether there are too few grants for a forecast yet.
func (f *forecast) warmingUp(now time.Time) bool {
	return f.startedAt.IsZero() || now.Sub(f.startedAt) < longWindow
}

// wait returns the expected wait behind the given tokens. Freed is the minimal rate of its
// rank in tokens per second, and share the request's share of the rate.
func (f *forecast) wait(now time.Time, r rank, tokens int, freed, share float64) time.Duration {
	rate := share * max(f.rate(now, r), freed)
	return min(seconds(float64(tokens)/max(rate, 1)), maxRetryAfter)
}
