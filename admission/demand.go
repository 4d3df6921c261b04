package admission

import "time"

// demand is what newcomers ask for. A box asks anew while a request waits, which
// counts once.
type demand struct {
	flow
	known  map[string]time.Time // requests that were counted, and when
	pruned time.Time
}

func newDemand() *demand {
	return &demand{flow: flow{span: demandSpan}, known: map[string]time.Time{}}
}

// came notes a request that has come just now.
func (d *demand) came(now time.Time, ask Request) {
	d.prune(now)
	if _, counted := d.known[ask.ID]; counted {
		return
	}
	d.known[ask.ID] = now
	d.passed(now, ask.Prompt)
}

// prune forgets requests that are asked for no more as newcomers.
func (d *demand) prune(now time.Time) {
	if now.Sub(d.pruned) < demandSpan {
		return
	}
	d.pruned = now
	for id, at := range d.known {
		if now.Sub(at) > keptFor {
			delete(d.known, id)
		}
	}
}
