package counts_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/counts"
	"petrelstep/fleet"
	"petrelstep/wire"
)

const (
	service = "engines"
	route   = "draft"
)

var (
	start     = time.Unix(1000, 0)
	baseline  = fleet.Upstream{ID: "a1", Release: "v1"}
	candidate = fleet.Upstream{ID: "b1", Release: "v2"}
)

func begun() *counts.Counts {
	c := counts.New()
	c.Begin(service, 5, "v2")
	return c
}

// row returns a row of the active order.
func row(w wire.ReleaseCounts) wire.ReleaseCounts {
	w.Service, w.Order, w.Route = service, 5, route
	return w
}

// TestResults checks what a request counts for, by how it ended.
func TestResults(t *testing.T) {
	second := counts.Result{First: time.Second}
	tests := map[string]struct {
		u       fleet.Upstream
		results []counts.Result // of one request
		want    wire.ReleaseCounts
	}{
		"runs":                     {u: baseline, want: wire.ReleaseCounts{Sent: 1, Running: 1}},
		"answered by the baseline": {u: baseline, results: []counts.Result{{First: 2 * time.Millisecond}}, want: wire.ReleaseCounts{Sent: 1, Answered: 1, First: []int{0, 0, 1}}},
		"answered by the candidate": {
			u: candidate, results: []counts.Result{{First: time.Millisecond, Pace: 3 * time.Millisecond}},
			want: wire.ReleaseCounts{Candidate: true, Upstream: "b1", Sent: 1, Answered: 1, First: []int{1}, Pace: []int{0, 0, 0, 1}},
		},
		"failed":   {u: candidate, results: []counts.Result{{Failed: true, First: time.Second}}, want: wire.ReleaseCounts{Candidate: true, Upstream: "b1", Sent: 1, Failed: 1}},
		"canceled": {u: candidate, results: []counts.Result{{Canceled: true, First: time.Second}}, want: wire.ReleaseCounts{Candidate: true, Upstream: "b1", Sent: 1}},
		"cold":     {u: candidate, results: []counts.Result{{Cold: true, First: time.Second, Pace: time.Second}}, want: wire.ReleaseCounts{Candidate: true, Upstream: "b1", Sent: 1, Answered: 1}},
		"failed while cold": {
			u: candidate, results: []counts.Result{{Cold: true, Failed: true}},
			want: wire.ReleaseCounts{Candidate: true, Upstream: "b1", Sent: 1, Failed: 1},
		},
		"resumed from a copy": {u: candidate, results: []counts.Result{{Pace: 3 * time.Millisecond}}, want: wire.ReleaseCounts{Candidate: true, Upstream: "b1", Sent: 1, Answered: 1, Pace: []int{0, 0, 0, 1}}},
		"ended twice":         {u: baseline, results: []counts.Result{{Failed: true}, {Failed: true}, second}, want: wire.ReleaseCounts{Sent: 1, Failed: 1}},
		"first event of a stream": {
			u: baseline, results: []counts.Result{{Streaming: true, First: time.Millisecond}},
			want: wire.ReleaseCounts{Sent: 1, Answered: 1, Running: 1, First: []int{1}},
		},
		"stream that ended": {
			u: baseline, results: []counts.Result{{Streaming: true, First: time.Millisecond}, {First: time.Millisecond, Pace: time.Millisecond}},
			want: wire.ReleaseCounts{Sent: 1, Answered: 1, First: []int{1}, Pace: []int{1}},
		},
		"pace of a stream that goes on": {
			u: baseline, results: []counts.Result{{Streaming: true, First: time.Millisecond}, {Streaming: true, Pace: time.Millisecond}, {Pace: time.Second}},
			want: wire.ReleaseCounts{Sent: 1, Answered: 1, First: []int{1}, Pace: []int{1}},
		},
		"stream that was cut off": {
			u: baseline, results: []counts.Result{{Streaming: true, First: time.Millisecond}, {Failed: true}},
			want: wire.ReleaseCounts{Sent: 1, Failed: 1, Answered: 1, Cut: 1, First: []int{1}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := begun()
			ended := c.Sent(start, service, route, tt.u)
			for _, r := range tt.results {
				ended(start, r)
			}
			is.Equal(c.Own(), []wire.ReleaseCounts{row(tt.want)})
			is.Equal(c.Sum(service), c.Own())
		})
	}
}

// TestOrders checks which order is counted for.
func TestOrders(t *testing.T) {
	tests := map[string]struct {
		then  func(c *counts.Counts)
		want  int // requests counted
		order int
		same  bool // as the order before, though not by its number
	}{
		"same order again": {then: func(c *counts.Counts) { c.Begin(service, 5, "v2") }, want: 1, order: 5},
		"newer order":      {then: func(c *counts.Counts) { c.Begin(service, 6, "v3") }, want: 0, order: 6},
		"older order":      {then: func(c *counts.Counts) { c.Begin(service, 4, "v0") }, want: 1, order: 5},
		"another number":   {then: func(c *counts.Counts) { c.Continue(service, 9); c.Continue("lookups", 9); c.Begin(service, 9, "v2") }, want: 1, order: 9, same: true},
		"ended":            {then: func(c *counts.Counts) { c.End(service) }},
		"another service":  {then: func(c *counts.Counts) { c.Begin("lookups", 9, "v2"); c.End("lookups") }, want: 1, order: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := begun()
			ended := c.Sent(start, service, route, candidate)
			tt.then(c)
			ended(start, counts.Result{Failed: true})
			is.Equal(c.Active(service), tt.order > 0)
			rows := c.Own()
			is.Equal(len(rows), tt.want)
			if tt.want > 0 {
				is.Equal(rows[0].Failed, 1) // the result of the same order
			}
			again := c.Sent(start, service, route, candidate)
			is.Equal(again != nil, tt.order > 0)
			if again != nil {
				is.Equal(c.Own()[0].Order, tt.order)
				is.Equal(c.Own()[0].Candidate, tt.order == 5 || tt.same) // v2 is not the target of the newer one
			}
		})
	}
}

// TestUpstreamsBounded checks that requests to very many upstreams are all counted in a
// bounded number of rows.
func TestUpstreamsBounded(t *testing.T) {
	is := is.New(t)
	c := begun()
	for i := range 1000 {
		c.Sent(start, service, route, fleet.Upstream{ID: string(rune('a' + i)), Release: "v2"})
	}
	rows, sent := c.Own(), 0
	for _, w := range rows {
		sent += w.Sent
	}
	is.True(len(rows) <= 257)
	is.Equal(sent, 1000)
}

// TestConcurrent counts from several goroutines, beside reports and orders, for the race
// detector.
func TestConcurrent(t *testing.T) {
	is := is.New(t)
	c := begun()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for range 500 {
				ended := c.Sent(start, service, route, candidate)
				rows, acknowledged := c.Report(start, "hub", i%2 == 0)
				_ = c.Update(start, "other", rows, true)
				c.Running(start, service)
				acknowledged()
				ended(start, counts.Result{First: time.Second})
			}
		})
	}
	wg.Wait()
	rows := c.Own()
	is.Equal(rows[0].Sent, 2000)
	is.Equal(rows[0].Running, 0)
}

func BenchmarkSent(b *testing.B) {
	for name, c := range map[string]*counts.Counts{"inactive": counts.New(), "active": begun()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if ended := c.Sent(start, service, route, candidate); ended != nil {
					ended(start, counts.Result{First: 30 * time.Millisecond})
				}
			}
		})
	}
}
