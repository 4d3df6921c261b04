package quarantine

import (
	"time"

	"petrelstep/fingerprint"
)

// maxRecent bounds the successes that are recorded in one period. Beyond it periods are
// shorter. A box with 100 requests a second has 500 in successWindow.
const maxRecent = 4096

// recentSuccesses records the last success of each request or part, for one to two windows.
type recentSuccesses struct {
	window            time.Duration
	current, previous map[fingerprint.Fingerprint]time.Time
	startedAt         time.Time // of the current period
}

func (r *recentSuccesses) record(now time.Time, fp fingerprint.Fingerprint) {
	if r.current == nil || now.Sub(r.startedAt) > r.window || len(r.current) >= maxRecent {
		r.current, r.previous, r.startedAt = map[fingerprint.Fingerprint]time.Time{}, r.current, now
	}
	r.current[fp] = now
}

// at returns when a request last succeeded.
func (r *recentSuccesses) at(fp fingerprint.Fingerprint) (time.Time, bool) {
	if at, ok := r.current[fp]; ok {
		return at, true
	}
	at, ok := r.previous[fp]
	return at, ok
}
