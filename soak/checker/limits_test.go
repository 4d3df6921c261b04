package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

// TestLimited shows what counts against a worker's limit.
func TestLimited(t *testing.T) {
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	span := func(from, until float64) checker.Span { return checker.Span{From: at(from), Until: at(until)} }
	named := []checker.Limit{{At: began, PerSecond: 1}} // 11 are allowed in a window
	tests := map[string]struct {
		runs   int // a tenth of a second apart
		from   float64
		life   int64
		named  []checker.Limit
		struck []checker.Span
		broken int
	}{
		"as many as are allowed":         {11, 4, 7, named, nil, 0},
		"one more":                       {12, 4, 7, named, nil, 1},
		"before boxes must have heard":   {12, 1, 7, named, nil, 0},
		"of another life":                {12, 4, 8, named, nil, 0},
		"from a box that was struck":     {12, 4, 7, named, []checker.Span{span(3, 4)}, 0},
		"from one that was, long before": {12, 4, 7, named, []checker.Span{span(-9, -8)}, 1},
		"a higher limit until just now":  {12, 6, 7, []checker.Limit{{At: began, PerSecond: 3}, {At: at(5), PerSecond: 1}}, nil, 0},
		"a higher limit until long ago":  {12, 10, 7, []checker.Limit{{At: began, PerSecond: 3}, {At: at(5), PerSecond: 1}}, nil, 1},
		"no word that is a limit":        {99, 4, 7, nil, nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			attempts := []checker.Attempt{{ID: "first", Box: "b"}}
			ran := []checker.Execution{{Worker: "w", Incarnation: 7, Run: worker.Run{ID: "first", At: at(0.1)}}}
			for i := range tt.runs {
				id := fmt.Sprint(i)
				attempts = append(attempts, checker.Attempt{ID: id, Box: "b"})
				ran = append(ran, checker.Execution{Worker: "w", Incarnation: tt.life, Run: worker.Run{ID: id, At: at(tt.from + float64(i)/10)}})
			}
			need := checker.LimitPeriod{Worker: "w", Incarnation: 7, Span: span(0, 30), Limits: tt.named}
			broken, _ := checker.New(0, 0, 0).CheckLimits(attempts, ran, []checker.LimitPeriod{need}, map[string][]checker.Span{"b": tt.struck})
			is.New(t).Equal(len(broken), tt.broken)
		})
	}
}
