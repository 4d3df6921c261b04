package plan

import (
	"math"
	"time"
)

// runsWindow is the time constant of the mean of the requests that run at the baseline. What runs
// at one moment says little of what will run at the cutover.
const runsWindow = 2 * time.Second

// Runs is the mean number of requests that run at the baseline. Values are immutable; the zero value
// knows none.
type Runs struct {
	mean float64
	at   time.Time
}

// With returns the mean with the number of a time.
func (r Runs) With(now time.Time, running int) Runs {
	if r.at.IsZero() {
		return Runs{mean: float64(running), at: now}
	}
	weight := 1 - math.Exp(-now.Sub(r.at).Seconds()/runsWindow.Seconds())
	return Runs{mean: r.mean + weight*(float64(running)-r.mean), at: now}
}

// Mean returns the mean, rounded up.
func (r Runs) Mean() int { return int(math.Ceil(r.mean - roundingError)) }

// roundingError is what a sum of floating-point numbers may exceed a whole one by.
const roundingError = 1e-6
