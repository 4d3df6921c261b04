package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/standin/batch"
)

var start = time.Unix(1_700_000_000, 0)

// run steps an engine until it is idle, and returns the attempts in the order of their ends
// and their numbers of tokens.
func run(c *batch.Core) (ends []string, tokens map[string]int) {
	tokens = map[string]int{}
	token := func(r *batch.Run) { tokens[r.Attempt]++ }
	end := func(r *batch.Run) { ends = append(ends, r.Attempt) }
	for {
		if c.Step(token, end) == 0 {
			return ends, tokens
		}
	}
}

func small(capacity int) batch.Params {
	p := batch.DefaultParams()
	p.Capacity = capacity
	return p
}

func TestStep(t *testing.T) {
	tests := map[string]struct {
		capacity    int
		jobs        []batch.Job
		ends        []string
		preemptions bool
	}{
		"one generation":               {capacity: 1000, jobs: []batch.Job{{Attempt: "a", Prompt: 100, Length: 50}}, ends: []string{"a"}},
		"concurrent generations":       {capacity: 1000, jobs: []batch.Job{{Attempt: "a", Prompt: 100, Length: 50}, {Attempt: "b", Prompt: 100, Length: 20}}, ends: []string{"b", "a"}},
		"waits for memory":             {capacity: 1000, jobs: []batch.Job{{Attempt: "a", Prompt: 800, Length: 50}, {Attempt: "b", Prompt: 500, Length: 1}}, ends: []string{"a", "b"}},
		"higher priority first":        {capacity: 1000, jobs: []batch.Job{{Attempt: "a", Prompt: 800, Length: 9}, {Attempt: "b", Prompt: 800, Length: 9}, {Attempt: "c", Prompt: 800, Length: 9, Priority: 5}}, ends: []string{"c", "a", "b"}},
		"memory overflow preempts":     {capacity: 1000, jobs: []batch.Job{{Attempt: "a", Prompt: 100, Length: 600}, {Attempt: "b", Prompt: 100, Length: 600}}, ends: []string{"a", "b"}, preemptions: true},
		"lowest priority is preempted": {capacity: 1000, jobs: []batch.Job{{Attempt: "a", Prompt: 100, Length: 600}, {Attempt: "b", Prompt: 100, Length: 600, Priority: 1}}, ends: []string{"b", "a"}, preemptions: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := batch.New(small(tt.capacity))
			for _, j := range tt.jobs {
				c.Submit(start, j)
			}
			ends, tokens := run(c)
			is.Equal(ends, tt.ends)
			for _, j := range tt.jobs {
				is.Equal(tokens[j.Attempt], j.Length) // each token once, preempted or not
			}
			is.Equal(c.Preemptions() > 0, tt.preemptions)
			is.Equal(c.Used(), 0)
		})
	}
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	c := batch.New(small(1000))
	c.Submit(start, batch.Job{Attempt: "a", Prompt: 900, Length: 50})
	c.Submit(start, batch.Job{Attempt: "b", Prompt: 900, Length: 50})
	c.Step(func(*batch.Run) {}, func(*batch.Run) {})
	is.True(c.Cancel("a").Started())
	is.True(!c.Cancel("b").Started())
	is.True(c.Cancel("a") == nil)
	is.Equal(c.Used(), 0)
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	is := is.New(t)
	c := batch.New(batch.DefaultParams())
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	first := c.Submit(start, batch.Job{Attempt: "a", Prompt: 600, Blocks: blocks, Length: 1})
	run(c)
	second := c.Submit(start, batch.Job{Attempt: "b", Prompt: 600, Blocks: blocks, Length: 1})
	run(c)
	is.Equal(first.Cached, 0)
	is.Equal(second.Cached, 512)
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{5, 15, 60} {
		b.Run(fmt.Sprint(n, " running"), func(b *testing.B) {
			c := batch.New(small(1 << 40))
			for i := range n {
				c.Submit(start, batch.Job{Attempt: fmt.Sprint(i), Prompt: 100, Length: 1 << 40})
			}
			for b.Loop() {
				c.Step(func(*batch.Run) {}, func(*batch.Run) {})
			}
		})
	}
}
