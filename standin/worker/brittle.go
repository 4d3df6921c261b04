package worker

import (
	"net/http"
	"strconv"
	"time"
)

// Brittleness is how few rejections a worker bears.
type Brittleness struct {
	PerSecond int       // more rejections in a second crash it
	Slots     int       // requests that it accepts at once, once it lets none wait
	From      time.Time // from when it lets none wait, and rejections crash it
	Down      time.Duration
}

// Fall is a crash by rejections.
type Fall struct {
	At       time.Time
	Rejected []string // ids of the requests rejected in the second before
}

// rejection is a request that was rejected for want of a slot.
type rejection struct {
	id string
	at time.Time
}

// SetBrittle makes the worker announce that it bears few rejections, and crash for some time if it
// has to make more. With nil it bears any number.
func (w *Worker) SetBrittle(b *Brittleness) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brittle, w.rejections = b, nil
}

// Falls returns the crashes by rejections.
func (w *Worker) Falls() []Fall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Fall(nil), w.falls...)
}

// takeSlot accepts a request or rejects it; down reports that the worker has crashed.
func (w *Worker) takeSlot(id string) (accepted, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, b := time.Now(), w.brittle
	switch {
	case now.Before(w.downUntil):
		return false, true
	case b == nil || now.Before(b.From) || w.inSlots < b.Slots:
		w.inSlots++
		return true, false
	}
	w.rejections = append(w.rejections, rejection{id, now})
	for now.Sub(w.rejections[0].at) >= time.Second {
		w.rejections = w.rejections[1:]
	}
	if len(w.rejections) > b.PerSecond {
		fall := Fall{At: now}
		for _, r := range w.rejections {
			fall.Rejected = append(fall.Rejected, r.id)
		}
		w.falls, w.rejections, w.downUntil = append(w.falls, fall), nil, now.Add(b.Down)
	}
	return false, false
}

func (w *Worker) returnSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inSlots--
}

// rejectBrittle rejects a request for want of a slot, and reports whether it did. Otherwise the
// caller has to call returnSlot at the end of the response.
func (w *Worker) rejectBrittle(out http.ResponseWriter, id string) bool {
	accepted, down := w.takeSlot(id)
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case accepted:
		return false
	}
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// announceBrittle sets the header that announces how few rejections the worker bears; the lock is
// held.
func (w *Worker) announceBrittle(out http.ResponseWriter) {
	if w.brittle != nil {
		out.Header().Set("Server-Brittle", strconv.Itoa(w.brittle.PerSecond))
	}
}
