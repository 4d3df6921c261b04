package roundtrip_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/peer/roundtrip"
)

func TestTimeout(t *testing.T) {
	const ms = time.Millisecond
	repeat := func(n int, d time.Duration) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = d
		}
		return list
	}
	tests := map[string]struct {
		samples      []time.Duration
		later        time.Duration // time since the last sample
		atLeast, max time.Duration
		unknown      bool
	}{
		"no sample":               {unknown: true},
		"first sample":            {samples: repeat(1, 60*ms), atLeast: 180 * ms, max: 180 * ms}, // R + 4 * R/2
		"second sample":           {samples: repeat(2, 60*ms), atLeast: 150 * ms, max: 150 * ms}, // the deviation falls to 3/4
		"steady, near":            {samples: repeat(40, ms), atLeast: ms, max: 2 * ms},
		"steady, far":             {samples: repeat(40, 60*ms), atLeast: 60 * ms, max: 61 * ms},
		"the link becomes longer": {samples: append(repeat(40, ms), repeat(10, 60*ms)...), atLeast: 100 * ms, max: 200 * ms},
		"one slow call":           {samples: append(repeat(40, 60*ms), 5*time.Second), atLeast: 300 * ms, max: 300 * ms},
		"some time after it":      {samples: append(append(repeat(40, 60*ms), 5*time.Second), repeat(20, 60*ms)...), atLeast: 60 * ms, max: 100 * ms},
		"not called for long":     {samples: repeat(40, 60*ms), later: 2 * time.Minute, unknown: true},
		"negative":                {samples: []time.Duration{-ms}, atLeast: 0, max: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1, 0)
			e := roundtrip.New()
			for _, d := range tt.samples {
				now = now.Add(250 * ms)
				e.Record(now, "far:1", d)
			}
			timeout, known := e.Timeout(now.Add(tt.later), "far:1")
			is.Equal(known, !tt.unknown)
			is.True(timeout >= tt.atLeast && timeout <= tt.max)
			smoothed, known := e.Smoothed(now.Add(tt.later), "far:1")
			is.Equal(known, !tt.unknown)
			is.True(smoothed <= timeout)
			_, known = e.Timeout(now, "other:1")
			is.True(!known)
		})
	}
}

// TestRandomRoundTrips checks that few calls of a varying length exceed the estimate.
func TestRandomRoundTrips(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1, 0)
	e := roundtrip.New()
	const calls = 10000
	exceeded := 0
	for range calls {
		now = now.Add(250 * time.Millisecond)
		took := 60*time.Millisecond + time.Duration(random.NormFloat64()*float64(5*time.Millisecond))
		if timeout, known := e.Timeout(now, "far:1"); known && took > timeout {
			exceeded++
		}
		e.Record(now, "far:1", took)
	}
	is.True(exceeded < calls/100)
}
