package admission

import "time"

// demand is the rate of prompt tokens of new requests. A request counts once, although its
// box repeats the call while it waits.
type demand struct {
	tokenRate
	seen     map[string]time.Time // when each request was counted, by ID
	prunedAt time.Time
}

func newDemand() *demand {
	return &demand{tokenRate: tokenRate{window: demandWindow}, seen: map[string]time.Time{}}
}

// arrived counts a new request.
func (d *demand) arrived(now time.Time, req Request) {
	d.prune(now)
	if _, counted := d.seen[req.ID]; counted {
		return
	}
	d.seen[req.ID] = now
	d.add(now, req.Prompt)
}

// prune drops old requests that are no longer repeated.
func (d *demand) prune(now time.Time) {
	if now.Sub(d.prunedAt) < demandWindow {
		return
	}
	d.prunedAt = now
	for id, at := range d.seen {
		if now.Sub(at) > retention {
			delete(d.seen, id)
		}
	}
}
