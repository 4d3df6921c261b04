// Package tasks keeps one task for each peer that a box talks to, as boxes come
// and go.
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

// Tasks is one set of peers.
type Tasks struct {
	timer  Timer
	period time.Duration
	choose func(now time.Time) map[string]members.Box
	task   func(ctx context.Context, b members.Box)
}

// New returns tasks that Run keeps: each period choose names the peers, by
// address; task is run for each until its peer is no longer named.
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
