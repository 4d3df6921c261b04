package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/plan"
	"petrelstep/canary/share"
)

var bounds = share.Bounds{Share: 0.1, Slack: 50}

// TestCutover checks that the cutover is as long as the bound allows, at most a quarter of a
// short order.
func TestCutover(t *testing.T) {
	tests := map[string]struct {
		duration time.Duration
		plain    bool
		rate     float64
		running  int
		want     time.Duration
	}{
		"a second":               {duration: time.Second, want: 250 * time.Millisecond},
		"four seconds":           {duration: 4 * time.Second, want: time.Second},
		"twelve seconds":         {duration: 12 * time.Second, want: 3 * time.Second},
		"an hour":                {duration: time.Hour, want: 3 * time.Second},
		"an hour, plain":         {duration: time.Hour, plain: true, want: 2500 * time.Millisecond},
		"few requests":           {duration: 12 * time.Second, rate: 5, want: 3 * time.Second},
		"many requests":          {duration: 12 * time.Second, rate: 400, want: 1500 * time.Millisecond},
		"many requests, plain":   {duration: 12 * time.Second, rate: 400, plain: true, want: time.Second},
		"many runs":              {duration: 12 * time.Second, rate: 10, running: 100, want: 1500 * time.Millisecond},
		"what the trial leaves":  {duration: 12 * time.Second, rate: 20, running: 1, plain: true, want: 1430 * time.Millisecond},
		"many requests, 4 s":     {duration: 4 * time.Second, rate: 400, want: time.Second},
		"many requests, an hour": {duration: time.Hour, rate: 400, want: 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := plan.New(plan.Order{Bounds: bounds, Duration: tt.duration, Left: tt.duration, Engines: !tt.plain, Rate: tt.rate, Running: tt.running})
			is.New(t).Equal(p.Cutover, tt.want)
		})
	}
}

// TestMargin checks that the trial leaves room for a cutover that sends more than expected,
// unless it would have too few requests itself.
func TestMargin(t *testing.T) {
	tests := map[string]struct {
		rate    float64
		plain   bool
		running int
		least   float64 // of the bound that is left by trial and cutover
	}{
		"27 a second, plain": {rate: 27, plain: true, running: 1, least: 6},
		"14 a second":        {rate: 14, running: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := plan.Order{Bounds: bounds, Duration: 12 * time.Second, Left: 3 * time.Second, Engines: !tt.plain, Rate: tt.rate, Running: tt.running, Sent: int(9 * tt.rate)}
			p := plan.New(o)
			is.True(p.Fits)
			is.True(p.Trial >= 25)
			is.True(bounds.Limit(int(12*tt.rate))-p.Trial-p.Reserve >= tt.least)
		})
	}
}

// TestBoundDivided checks at many rates and durations that trial and cutover together are
// within the bound, and that Fits is false where they are not.
func TestBoundDivided(t *testing.T) {
	for _, duration := range []time.Duration{6 * time.Second, 8 * time.Second, 12 * time.Second, 40 * time.Second} {
		for _, rate := range []float64{1, 5, 15, 30, 60, 120, 400, 2000} {
			for _, plain := range []bool{false, true} {
				t.Run(fmt.Sprint(duration, ", ", rate, " a second, plain: ", plain), func(t *testing.T) {
					checkDivided(t, plan.Order{Bounds: bounds, Duration: duration, Engines: !plain, Rate: rate, Running: int(rate)})
				})
			}
		}
	}
}

func checkDivided(t *testing.T, o plan.Order) {
	const least, most = 0.3, 0.6 // of the bound by now, for the trial
	is := is.New(t)
	total := bounds.Limit(int(o.Rate * o.Duration.Seconds()))
	shortest := min(time.Second, o.Duration/4)
	if o.Engines {
		shortest = min(1500*time.Millisecond, o.Duration/4)
	}
	canFit := o.Rate*shortest.Seconds()+float64(o.Running) <= (1-least)*total
	for at := time.Duration(0); at < o.Duration; at += 500 * time.Millisecond {
		o.Left, o.Sent = o.Duration-at, int(o.Rate*at.Seconds())
		p := plan.New(o)
		sum := p.Trial + p.Reserve
		is.True(p.Trial > 0)
		is.True(p.Trial <= most*bounds.Limit(o.Sent)+1e-6)
		is.Equal(p.Fits, sum <= bounds.Limit(o.Sent+int(o.Rate*o.Left.Seconds())))
		is.True(!canFit || sum <= total+1)
	}
}
