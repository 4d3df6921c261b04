package tasks_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/members"
	"petrelstep/tasks"
	"petrelstep/timer"
)

// TestRun checks that one task runs for each chosen peer, and that all tasks have
// ended when Run returns.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		chosen := map[string]members.Box{"a:1": {Name: "a"}, "b:1": {Name: "b"}}
		running := map[string]int{}
		count := func(name string, n int) {
			mu.Lock()
			defer mu.Unlock()
			running[name] += n
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			tasks.New(timer.New(), time.Second, func(time.Time) map[string]members.Box {
				mu.Lock()
				defer mu.Unlock()
				return chosen
			}, func(ctx context.Context, b members.Box) {
				count(b.Name, 1)
				<-ctx.Done()
				count(b.Name, -1)
			}).Run(ctx)
		}()
		expectRunning := func(a, b, c int) {
			t.Helper()
			time.Sleep(3 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			is.Equal([]int{running["a"], running["b"], running["c"]}, []int{a, b, c})
		}
		expectRunning(1, 1, 0)
		mu.Lock()
		chosen = map[string]members.Box{"b:1": {Name: "b"}, "c:1": {Name: "c"}}
		mu.Unlock()
		expectRunning(0, 1, 1)
		cancel()
		<-ended
		expectRunning(0, 0, 0)
	})
}
