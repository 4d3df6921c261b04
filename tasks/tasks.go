// Package tasks runs one task for each peer of a box, as peers are added and
// removed.
package tasks

import (
	"context"
	"sync"
	"time"

	"petrelstep/members"
)

// Timer calls a function each period.
type Timer interface {
	Every(ctx context.Context, name string, period time.Duration, f func(now time.Time))
}

// Tasks runs the tasks for one set of peers.
type Tasks struct {
	timer  Timer
	period time.Duration
	choose func(now time.Time) map[string]members.Box
	task   func(ctx context.Context, b members.Box)
}

// New returns tasks for Run. Each period choose returns the peers by address; task
// runs for each peer until choose no longer returns it.
func New(t Timer, period time.Duration, choose func(now time.Time) map[string]members.Box, task func(ctx context.Context, b members.Box)) *Tasks {
	return &Tasks{timer: t, period: period, choose: choose, task: task}
}

// Run starts and stops tasks until ctx ends, and waits for them.
func (t *Tasks) Run(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	var all sync.WaitGroup
	t.timer.Every(ctx, "peers", t.period, func(now time.Time) {
		chosen := t.choose(now)
		for address, stop := range running {
			if _, ok := chosen[address]; !ok {
				stop()
				delete(running, address)
			}
		}
		for address, b := range chosen {
			if _, ok := running[address]; ok {
				continue
			}
			task, stop := context.WithCancel(ctx)
			running[address] = stop
			all.Go(func() { t.task(task, b) })
		}
	})
	for _, stop := range running {
		stop()
	}
	all.Wait()
}
