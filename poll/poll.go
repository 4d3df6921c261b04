// Package poll reads the load reports of the engines that this box is home
// of, one task for each engine, so that each engine is asked by one box only.
package poll

import (
	"context"
	"strconv"
	"sync"
	"time"

	"petrelstep/wire"
)

const (
	period   = 500 * time.Millisecond
	readTime = time.Second
	// cacheEvery is how many load reports pass between reads of cache events.
	cacheEvery = 4
)

// Engine names one to poll.
type Engine struct {
	Name    string
	Address string
}

// Client reads from engines.
type Client interface {
	Load(ctx context.Context, address string) (wire.EngineLoad, error)
	CacheEvents(ctx context.Context, address string, after int) (wire.CacheEvents, error)
}

// Sink takes what was read.
type Sink interface {
	Loaded(load wire.EngineLoad)
	Cached(engine string, seq int, stored bool, block uint64)
}

// Timer calls a function each period.
type Timer interface {
	Every(ctx context.Context, name string, period time.Duration, f func(now time.Time))
}

// Poll is one box's.
type Poll struct {
	client Client
	sink   Sink
	timer  Timer
	which  func() []Engine
}

// New returns a poll of the engines that which names at each time.
func New(c Client, s Sink, t Timer, which func() []Engine) *Poll {
	return &Poll{client: c, sink: s, timer: t, which: which}
}

// Run starts and stops the tasks of engines until ctx ends.
func (p *Poll) Run(ctx context.Context) {
	tasks := map[Engine]context.CancelFunc{}
	var all sync.WaitGroup
	p.timer.Every(ctx, "poll", period/2, func(time.Time) {
		wanted := map[Engine]bool{}
		for _, e := range p.which() {
			wanted[e] = true
			if _, ok := tasks[e]; ok {
				continue
			}
			task, stop := context.WithCancel(ctx)
			tasks[e] = stop
			all.Go(func() { p.one(task, e) })
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

func (p *Poll) one(ctx context.Context, e Engine) {
	n, seq := 0, 0
	p.timer.Every(ctx, e.Name, period, func(time.Time) {
		read, cancel := context.WithTimeout(ctx, readTime)
		defer cancel()
		load, err := p.client.Load(read, e.Address)
		if err != nil {
			return // silence is what health goes by
		}
		load.Engine = e.Name // the name it is declared by
		p.sink.Loaded(load)
		n++
		if n%cacheEvery == 0 {
			seq = p.cache(read, e, seq)
		}
	})
}

func (p *Poll) cache(ctx context.Context, e Engine, seq int) int {
	events, err := p.client.CacheEvents(ctx, e.Address, seq)
	if err != nil {
		return seq
	}
	for _, c := range events.Events {
		for _, b := range c.Blocks {
			block, err := strconv.ParseUint(b, 16, 64)
			if err != nil {
				continue // one bad hash costs one guess
			}
			p.sink.Cached(e.Name, c.Seq, c.Stored, block)
		}
		seq = max(seq, c.Seq)
	}
	return seq
}
