package admission

import (
	"math"
	"time"
)

// flow follows how many tokens of prompts go by in a second.
type flow struct {
	span time.Duration // over which it is averaged
	at   time.Time
	sum  float64 // decayed
}

func (f *flow) passed(now time.Time, tokens int) {
	f.sum = f.sum*f.kept(now) + float64(tokens)
	f.at = now
}

func (f *flow) rate(now time.Time) float64 { return f.sum * f.kept(now) / f.span.Seconds() }

func (f *flow) kept(now time.Time) float64 {
	return math.Exp(-now.Sub(f.at).Seconds() / f.span.Seconds())
}
