package fleet

import "time"

// historyFor is how far back it is known which changes came when: longer than any
// box that still serves goes without news of the upstreams.
const historyFor = 10 * time.Second

// point is the number of the last change at a time.
type point struct {
	at     time.Time
	change int
}

// note keeps the number of the last change, and forgets what is older than needed.
func (f *Fleet) note(now time.Time) {
	if n := len(f.history); n > 0 && f.history[n-1].change == f.changes {
		return
	}
	f.history = append(f.history, point{now, f.changes})
	for len(f.history) > 1 && now.Sub(f.history[1].at) > historyFor {
		f.history = f.history[1:]
	}
}

// ChangeAt returns the number of a change after which all came that became known since a
// time; false where that is too long ago.
func (f *Fleet) ChangeAt(t time.Time) (change int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.history) - 1; i >= 0; i-- {
		if !f.history[i].at.After(t) {
			return f.history[i].change, true
		}
	}
	return 0, false
}
