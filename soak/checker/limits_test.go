package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

// TestCheckLimits checks which requests count against a worker's limit.
func TestCheckLimits(t *testing.T) {
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	span := func(from, until float64) checker.Span { return checker.Span{From: at(from), Until: at(until)} }
	limits := []checker.Limit{{At: began, PerSecond: 1}} // allows 11 in a window
	tests := map[string]struct {
		runs        int // 100 ms apart
		from        float64
		incarnation int64
		limits      []checker.Limit
		disrupted   []checker.Span
		violations  int
	}{
		"at the limit":                         {11, 4, 7, limits, nil, 0},
		"one above the limit":                  {12, 4, 7, limits, nil, 1},
		"before all boxes must know the limit": {12, 1, 7, limits, nil, 0},
		"other incarnation":                    {12, 4, 8, limits, nil, 0},
		"box recently disrupted":               {12, 4, 7, limits, []checker.Span{span(3, 4)}, 0},
		"box disrupted long before":            {12, 4, 7, limits, []checker.Span{span(-9, -8)}, 1},
		"higher limit until recently":          {12, 6, 7, []checker.Limit{{At: began, PerSecond: 3}, {At: at(5), PerSecond: 1}}, nil, 0},
		"higher limit until long ago":          {12, 10, 7, []checker.Limit{{At: began, PerSecond: 3}, {At: at(5), PerSecond: 1}}, nil, 1},
		"no valid limit announced":             {99, 4, 7, nil, nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			attempts := []checker.Attempt{{ID: "first", Box: "b"}}
			ran := []checker.Execution{{Worker: "w", Incarnation: 7, Run: worker.Run{ID: "first", At: at(0.1)}}}
			for i := range tt.runs {
				id := fmt.Sprint(i)
				attempts = append(attempts, checker.Attempt{ID: id, Box: "b"})
				ran = append(ran, checker.Execution{Worker: "w", Incarnation: tt.incarnation, Run: worker.Run{ID: id, At: at(tt.from + float64(i)/10)}})
			}
			period := checker.LimitPeriod{Worker: "w", Incarnation: 7, Span: span(0, 30), Limits: tt.limits}
			violations, _ := checker.New(0, 0, 0).CheckLimits(attempts, ran, []checker.LimitPeriod{period}, map[string][]checker.Span{"b": tt.disrupted})
			is.New(t).Equal(len(violations), tt.violations)
		})
	}
}
