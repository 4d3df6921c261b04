package fleet

import "time"

// historyRetention is how far back ChangeAt can answer. It is longer than the time
// between updates of a serving box.
const historyRetention = 10 * time.Second

// checkpoint is the number of the last change at a time.
type checkpoint struct {
	at     time.Time
	change int
}

// recordHistory adds a checkpoint if there were changes, and removes expired ones.
func (f *Fleet) recordHistory(now time.Time) {
	if n := len(f.history); n > 0 && f.history[n-1].change == f.changes {
		return
	}
	f.history = append(f.history, checkpoint{now, f.changes})
	for len(f.history) > 1 && now.Sub(f.history[1].at) > historyRetention {
		f.history = f.history[1:]
	}
}

// ChangeAt returns the number of the last change at a time; false if that is before the
// history begins.
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
