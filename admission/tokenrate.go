package admission

import (
	"math"
	"time"
)

// tokenRate is an exponentially decaying average of prompt tokens per second.
type tokenRate struct {
	window time.Duration // time constant of the average
	at     time.Time
	sum    float64 // decayed number of tokens, as of at
}

func (r *tokenRate) add(now time.Time, tokens int) {
	r.sum = r.sum*r.decay(now) + float64(tokens)
	r.at = now
}

func (r *tokenRate) rate(now time.Time) float64 { return r.sum * r.decay(now) / r.window.Seconds() }

func (r *tokenRate) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(r.at).Seconds() / r.window.Seconds())
}
