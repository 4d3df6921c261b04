package experiment

import (
	"container/heap"
	"time"
)

// events is a queue of events in virtual time. Events of equal time run in the order of
// insertion, so that runs are deterministic.
type events struct {
	heap eventHeap
	seq  uint64
	now  time.Time
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (e *events) after(d time.Duration, do func()) {
	e.seq++
	heap.Push(&e.heap, event{at: e.now.Add(d), seq: e.seq, do: do})
}

func (e *events) every(d time.Duration, do func()) {
	e.after(d, func() {
		do()
		e.every(d, do)
	})
}

func (e *events) runUntil(end time.Time) {
	for len(e.heap) > 0 && !e.heap[0].at.After(end) {
		next := heap.Pop(&e.heap).(event)
		e.now = next.at
		next.do()
	}
	e.now = end
}
