package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Waiting beyond firstTokenBound or gapBound counts as stall.
	firstTokenBound = 440 * time.Millisecond
	gapBound        = 200 * time.Millisecond

	histogramMax    = int64(20 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Result holds the measurements of one run.
type Result struct {
	Policy      string
	Requests    int
	Done        int
	Tokens      int // of completed generations
	Preemptions int
	StallMid    float64 // seconds per request
	StallAll    float64 // seconds per request, including the wait for the first token
	ShortFirst  float64 // p99 of the time to first token of checks and lookups, seconds
	Gap99       float64 // seconds
	Gap999      float64 // seconds
	Fairness    float64 // Jain's index over the organisations' served fractions
	Refused     map[string]int
	Retried     map[string]int
	Messages    int // control messages between boxes
	Bytes       int // of control messages, estimated from their encoding
}

type recorder struct {
	gaps, shortFirst *hdrhistogram.Histogram
	result           Result
	stallMid         time.Duration
	stallFirst       time.Duration
	wanted           [organisations]float64
	served           [organisations]float64
}

func newRecorder(policy string) *recorder {
	return &recorder{
		gaps:       hdrhistogram.New(1, histogramMax, histogramDigits),
		shortFirst: hdrhistogram.New(1, histogramMax, histogramDigits),
		result:     Result{Policy: policy, Refused: map[string]int{}, Retried: map[string]int{}},
	}
}

func (r *recorder) recordFirstToken(q *request, wait time.Duration) {
	r.stallFirst += max(wait-firstTokenBound, 0)
	if q.class != draft {
		_ = r.shortFirst.RecordValue(wait.Microseconds())
	}
}

func (r *recorder) recordGap(d time.Duration) {
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
	res.ShortFirst = seconds(r.shortFirst.ValueAtQuantile(99))
	res.Gap99 = seconds(r.gaps.ValueAtQuantile(99))
	res.Gap999 = seconds(r.gaps.ValueAtQuantile(99.9))
	res.Fairness = r.jainIndex()
	return res
}

// jainIndex returns Jain's fairness index over the fraction of its tokens that each
// organisation got.
func (r *recorder) jainIndex() float64 {
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

func seconds(v int64) float64 { return float64(v) / 1e6 }
