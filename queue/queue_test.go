package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/queue"
)

var start = time.Unix(1_700_000_000, 0)

func item(id string, change func(*queue.Item)) queue.Item {
	it := queue.Item{ID: id, Organisation: "o", Weight: 1, Cost: 100, Arrived: start, Deadline: start.Add(time.Hour)}
	if change != nil {
		change(&it)
	}
	return it
}

// TestOrder checks which of two requests goes first.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		items []queue.Item
		usage map[string]float64 // cost granted before, by organisation
		at    time.Duration
		first string
	}{
		"priority":      {items: []queue.Item{item("a", nil), item("b", func(i *queue.Item) { i.Priority = 1 })}, first: "b"},
		"ageing":        {items: []queue.Item{item("a", nil), item("b", func(i *queue.Item) { i.Priority = 1; i.Arrived = start.Add(4 * time.Minute) })}, at: 4 * time.Minute, first: "a"},
		"cheap first":   {items: []queue.Item{item("a", nil), item("b", func(i *queue.Item) { i.Cost = 10 })}, first: "b"},
		"longest wait":  {items: []queue.Item{item("a", func(i *queue.Item) { i.Arrived = start.Add(time.Minute) }), item("b", nil)}, at: 2 * time.Minute, first: "b"},
		"fair share":    {items: []queue.Item{item("a", nil), item("b", func(i *queue.Item) { i.Organisation = "p" })}, usage: map[string]float64{"o": 1000, "p": 10}, first: "b"},
		"heavier share": {items: []queue.Item{item("a", func(i *queue.Item) { i.Weight = 100 }), item("b", func(i *queue.Item) { i.Organisation = "p" })}, usage: map[string]float64{"o": 1000, "p": 50}, first: "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := queue.New(10)
			for organisation, cost := range tt.usage {
				weight := 1
				if name == "heavier share" && organisation == "o" {
					weight = 100
				}
				q.Granted(start, queue.Item{ID: "x", Organisation: organisation, Weight: weight, Cost: cost})
			}
			for _, it := range tt.items {
				is.True(q.Push(it))
			}
			is.Equal(q.Order(start.Add(tt.at))[0].ID, tt.first)
		})
	}
}

// TestBounds checks the maximal length and the deadlines.
func TestBounds(t *testing.T) {
	is := is.New(t)
	q := queue.New(1)
	is.True(q.Push(item("a", func(i *queue.Item) { i.Deadline = start.Add(time.Second) })))
	is.True(!q.Push(item("b", nil))) // full
	is.Equal(len(q.Expired(start)), 0)
	is.Equal(len(q.Expired(start.Add(2*time.Second))), 1)
	is.Equal(q.Len(), 0)
	is.True(!q.Remove("a"))
}

// BenchmarkOrder measures ordering by the number of waiting requests.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n, " waiting"), func(b *testing.B) {
			q := queue.New(n)
			for i := range n {
				q.Push(item(fmt.Sprint(i), func(it *queue.Item) { it.Organisation = fmt.Sprint("o", i%10); it.Cost = float64(i * 7 % 100) }))
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Order(start)
			}
		})
	}
}
