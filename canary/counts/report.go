package counts

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// reportInterval is the minimum interval between reports of a row that changes with
	// each request.
	reportInterval = time.Second
	// rowsPerInterval is the number of rows from which on the interval grows with it, as
	// for a hub in a large fleet, most of whose rows change all the time.
	rowsPerInterval = 64
	// maxUrgentRows bounds the rows that are reported sooner, in one reportInterval. New
	// failures are exempt.
	maxUrgentRows = 6
	// repeatDelay is after which time without a change a row is reported once more: a
	// receiver that did not count for the order yet dropped it.
	repeatDelay = 3 * time.Second
	// maxReceivers bounds the receivers that are remembered, by far more than the hubs
	// that a box reports to.
	maxReceivers = 64
)

// receiver is another box to which this one reports.
type receiver struct {
	rows      map[key]reported
	exclusive map[key]tally // delivered while it was the only one
	usedAt    time.Time
	urgentAt  time.Time // begin of the interval in which urgent rows are counted
	urgent    int
}

// reported is a row as last acknowledged by a receiver.
type reported struct {
	tally    tally
	at       time.Time
	repeated bool
}

// Report returns the rows that changed since a receiver acknowledged them, and the
// function to call once it has answered. The receiver is named by its incarnation.
// Exclusive says that this box reports to no other one at present: what it delivers then
// reaches others by way of the receiver.
//
// The counts of boxes that report exclusively to this one are included. New failures are
// reported at once, and so are requests to the candidate up to a limit; other rows at
// most once a second.
func (c *Counts) Report(now time.Time, to string, exclusive bool) (rows []wire.ReleaseCounts, acknowledged func()) {
	if c.active.Load() == 0 {
		return nil, func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sorted() {
		s.countOverdue(now)
		rows = append(rows, c.reportOf(now, s, to)...)
	}
	return rows, func() { c.acknowledge(now, to, exclusive, rows) }
}

func (c *Counts) reportOf(now time.Time, s *service, to string) []wire.ReleaseCounts {
	r := s.receiver(now, to)
	if now.Sub(r.urgentAt) >= reportInterval {
		r.urgentAt, r.urgent = now, 0
	}
	all := c.forwarded(now, s)
	interval := reportInterval * time.Duration(max(len(all), rowsPerInterval)) / rowsPerInterval
	var rows []wire.ReleaseCounts
	for _, k := range slices.SortedFunc(maps.Keys(all), compareKeys) {
		t := all[k]
		elsewhere := s.delivered[k].minus(r.exclusive[k])
		elsewhere.running = 0
		t = t.minus(elsewhere)
		if r.due(now, k, t, interval) {
			rows = append(rows, t.row(s.name, s.order, k))
		}
	}
	return rows
}

// forwarded returns the counts of this box and of those that report to it only.
func (c *Counts) forwarded(now time.Time, s *service) map[key]tally {
	all := maps.Clone(s.own)
	for k, t := range s.exclusive {
		all[k] = all[k].plus(t)
	}
	for box, p := range c.peers {
		if !p.exclusive || !p.recent(now) {
			continue
		}
		for k, t := range s.others[box] {
			sum := all[k]
			sum.running += t.running
			all[k] = sum
		}
	}
	return all
}

// Exclusive returns the sum of this box's counts and of those of the boxes that report to
// it only.
func (c *Counts) Exclusive(now time.Time) []wire.ReleaseCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []wire.ReleaseCounts
	for _, s := range c.sorted() {
		rows = s.appendRows(rows, c.forwarded(now, s))
	}
	return rows
}

// receiver returns the state of a receiver; the one unused for longest makes room for it.
func (s *service) receiver(now time.Time, to string) *receiver {
	r, ok := s.receivers[to]
	if !ok {
		if len(s.receivers) >= maxReceivers {
			delete(s.receivers, slices.MinFunc(slices.Sorted(maps.Keys(s.receivers)), func(a, b string) int {
				return cmp.Or(s.receivers[a].usedAt.Compare(s.receivers[b].usedAt), cmp.Compare(a, b))
			}))
		}
		r = &receiver{rows: map[key]reported{}, exclusive: map[key]tally{}}
		s.receivers[to] = r
	}
	r.usedAt = now
	return r
}

// due reports whether a row has to be in this report.
func (r *receiver) due(now time.Time, k key, t tally, interval time.Duration) bool {
	last, known := r.rows[k]
	waited := now.Sub(last.at)
	switch {
	case t.equal(last.tally):
		return known && !last.repeated && waited >= repeatDelay
	case t.failed != last.tally.failed, (t.running == 0) != (last.tally.running == 0) && !k.candidate:
		return true
	case !known, waited >= interval:
		return true
	case k.candidate && r.urgent < maxUrgentRows:
		r.urgent++
		return true
	}
	return false
}

// acknowledge records that a receiver has rows.
func (c *Counts) acknowledge(now time.Time, to string, exclusive bool, rows []wire.ReleaseCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range rows {
		s, ok := c.services[w.Service]
		if !ok || s.order != w.Order {
			continue
		}
		r, ok := s.receivers[to]
		if !ok {
			continue
		}
		k, t := keyOf(w), tallyOf(w)
		last := r.rows[k]
		if exclusive {
			added := t.minus(last.tally)
			added.running = 0
			r.exclusive[k] = r.exclusive[k].plus(added)
			s.delivered[k] = s.delivered[k].plus(added)
		}
		r.rows[k] = reported{tally: t, at: now, repeated: t.equal(last.tally)}
	}
}
