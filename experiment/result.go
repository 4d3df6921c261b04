package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// firstBound and gapBound are the bounds beyond which waiting is stall.
	firstBound = 440 * time.Millisecond
	gapBound   = 200 * time.Millisecond

	histogramMost   = int64(20 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Result is what one run measured.
type Result struct {
	Policy      string
	Requests    int
	Done        int
	Tokens      int // of generations that were whole at the end
	Preemptions int
	StallMid    float64 // seconds a request
	StallAll    float64 // seconds a request, the wait for the first token included
	ShortFirst  float64 // p99 of short calls' first token, seconds
	Gap99       float64 // seconds
	Gap999      float64 // seconds
	Fairness    float64 // Jain's index over organisations' served part
	Refused     map[string]int
	Retried     map[string]int
	Messages    int // between boxes, for control
	Bytes       int // of them, estimated from their encoding
}

type recorder struct {
	gaps, shorts *hdrhistogram.Histogram
	result       Result
	stallMid     time.Duration
	stallFirst   time.Duration
	wanted       [organisations]float64
	served       [organisations]float64
}

func newRecorder(policy string) *recorder {
	return &recorder{
		gaps:   hdrhistogram.New(1, histogramMost, histogramDigits),
		shorts: hdrhistogram.New(1, histogramMost, histogramDigits),
		result: Result{Policy: policy, Refused: map[string]int{}, Retried: map[string]int{}},
	}
}

func (r *recorder) first(q *request, wait time.Duration) {
	r.stallFirst += max(wait-firstBound, 0)
	if q.class != draft {
		_ = r.shorts.RecordValue(wait.Microseconds())
	}
}

func (r *recorder) gap(d time.Duration) {
	_ = r.gaps.RecordValue(d.Microseconds())
	if d > gapBound {
		r.stallMid += d - gapBound
	}
}

func (r *recorder) finish(requests int) Result {
	res := r.result
	res.Requests = requests
	n := float64(max(requests, 1))
	res.StallMid = r.stallMid.Seconds() / n
	res.StallAll = (r.stallMid + r.stallFirst).Seconds() / n
	res.ShortFirst = micros(r.shorts.ValueAtQuantile(99))
	res.Gap99 = micros(r.gaps.ValueAtQuantile(99))
	res.Gap999 = micros(r.gaps.ValueAtQuantile(99.9))
	res.Fairness = r.jain()
	return res
}

// jain returns Jain's index of the part of its tokens that each organisation got.
func (r *recorder) jain() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i, wanted := range r.wanted {
		if wanted == 0 {
			continue
		}
		x := r.served[i] / wanted
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

func micros(v int64) float64 { return float64(v) / 1e6 }
