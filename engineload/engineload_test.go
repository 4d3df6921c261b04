package engineload_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/engineload"
	"petrelstep/standin/heapsize"
	"petrelstep/wire"
)

var start = time.UnixMilli(1_700_000_000_000)

func report(engine string, at time.Time, used int) wire.EngineLoad {
	return wire.EngineLoad{Engine: engine, Incarnation: 1, AtMs: int(at.UnixMilli()), Capacity: 60000, Used: used, Running: 3, Ready: true}
}

// TestView checks that a view adds to a report only the dispatches since.
func TestView(t *testing.T) {
	tests := map[string]struct {
		action func(l *engineload.Tracker)
		at     time.Duration
		used   int
	}{
		"report alone":     {func(*engineload.Tracker) {}, time.Second, 100},
		"dispatched since": {func(l *engineload.Tracker) { l.Dispatched(start.Add(time.Second), "e", 50) }, 2 * time.Second, 150},
		"seen in a newer report": {func(l *engineload.Tracker) {
			l.Dispatched(start.Add(time.Second), "e", 50)
			l.Report(start, report("e", start.Add(2*time.Second), 170))
		}, 3 * time.Second, 170},
		"older report": {func(l *engineload.Tracker) { l.Report(start, report("e", start.Add(-time.Second), 900)) }, time.Second, 100},
		"long ago":     {func(l *engineload.Tracker) { l.Dispatched(start.Add(time.Second), "e", 50) }, time.Minute, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := engineload.New()
			l.Report(start, report("e", start, 100))
			tt.action(l)
			v, ok := l.View(start.Add(tt.at), "e")
			is.True(ok)
			is.Equal(v.Used, tt.used)
		})
	}
}

// BenchmarkMemory measures the memory of the state, by the number of engines.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 170, 2200} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			before := heapsize.Used()
			l := engineload.New()
			for i := range n {
				l.Report(start, report(fmt.Sprint("engine-", i), start, 100))
			}
			used := float64(heapsize.Used() - before)
			runtime.KeepAlive(l)
			for b.Loop() {
			}
			b.ReportMetric(used, "heap-bytes")
		})
	}
}
