// Package poll polls the load reports of the engines whose home box this box is,
// with one task for each engine, so that only one box polls each engine.
package poll

import (
	"context"
	"strconv"
	"sync"
	"time"

	"petrelstep/wire"
)

const (
	period      = 500 * time.Millisecond // of load reports
	readTimeout = time.Second
	// cacheEvery is the number of load reports per read of cache events.
	cacheEvery = 4
)

// Engine identifies an engine to poll.
type Engine struct {
	Name    string
	Address string
}

// Client reads from engines.
type Client interface {
	Load(ctx context.Context, address string) (wire.EngineLoad, error)
	CacheEvents(ctx context.Context, address string, after int) (wire.CacheEvents, error)
}

// Sink receives the load reports and cache events.
type Sink interface {
	HandleLoad(load wire.EngineLoad)
	HandleCacheEvent(engine string, seq int, stored bool, block uint64)
}

// Timer calls a function each period.
type Timer interface {
	Every(ctx context.Context, name string, period time.Duration, f func(now time.Time))
}

// Poll polls the engines of one box.
type Poll struct {
	client  Client
	sink    Sink
	timer   Timer
	engines func() []Engine
}

// New returns a poll of the engines that engines returns.
func New(c Client, s Sink, t Timer, engines func() []Engine) *Poll {
	return &Poll{client: c, sink: s, timer: t, engines: engines}
}

// Run starts and stops the tasks of engines until ctx ends.
func (p *Poll) Run(ctx context.Context) {
	tasks := map[Engine]context.CancelFunc{}
	var all sync.WaitGroup
	p.timer.Every(ctx, "poll", period/2, func(time.Time) {
		wanted := map[Engine]bool{}
		for _, e := range p.engines() {
			wanted[e] = true
			if _, ok := tasks[e]; ok {
				continue
			}
			task, stop := context.WithCancel(ctx)
			tasks[e] = stop
			all.Go(func() { p.pollEngine(task, e) })
		}
		for e, stop := range tasks {
			if !wanted[e] {
				stop()
				delete(tasks, e)
			}
		}
	})
	for _, stop := range tasks {
		stop()
	}
	all.Wait()
}

func (p *Poll) pollEngine(ctx context.Context, e Engine) {
	n, seq := 0, 0
	p.timer.Every(ctx, e.Name, period, func(time.Time) {
		read, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		load, err := p.client.Load(read, e.Address)
		if err != nil {
			return // health checks go by missing reports
		}
		load.Engine = e.Name // the declared name
		p.sink.HandleLoad(load)
		n++
		if n%cacheEvery == 0 {
			seq = p.readCacheEvents(read, e, seq)
		}
	})
}

func (p *Poll) readCacheEvents(ctx context.Context, e Engine, seq int) int {
	events, err := p.client.CacheEvents(ctx, e.Address, seq)
	if err != nil {
		return seq
	}
	for _, c := range events.Events {
		for _, b := range c.Blocks {
			block, err := strconv.ParseUint(b, 16, 64)
			if err != nil {
				continue // only degrades the estimate
			}
			p.sink.HandleCacheEvent(e.Name, c.Seq, c.Stored, block)
		}
		seq = max(seq, c.Seq)
	}
	return seq
}
