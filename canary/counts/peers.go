package counts

import (
	"fmt"
	"time"

	"petrelstep/wire"
)

const (
	// recentAge is how long a box that reports counts as in touch: several intervals of
	// reports.
	recentAge = 1500 * time.Millisecond
	// maxPeerRows bounds the rows of other boxes, of all services.
	maxPeerRows = 16384
	// maxPeers bounds the boxes that are remembered by the time of their last report.
	maxPeers = 4096
)

func (p peer) recent(now time.Time) bool { return now.Sub(p.at) <= recentAge }

// DroppedError says that rows of another box were not counted.
type DroppedError struct {
	Box     string
	Invalid int // counts that are impossible
	Unknown int // of a service that is not counted
	Excess  int // more rows than are kept
}

// Error returns the numbers of dropped rows.
func (e *DroppedError) Error() string {
	return fmt.Sprintf("counts of box %s: dropped %d invalid rows, %d of unknown services, %d over the limit", e.Box, e.Invalid, e.Unknown, e.Excess)
}

// Update applies the rows of another box, or of a hub for the boxes that report to it,
// and returns a DroppedError if some were not counted. A report without rows confirms
// the earlier ones. Exclusive says that the box reports to this one only.
//
// Rows of another order than the active one are ignored. A row whose counts fall begins
// again after a restart of the box, and adds to what was counted before.
func (c *Counts) Update(now time.Time, box string, rows []wire.ReleaseCounts, exclusive bool) error {
	if c.active.Load() == 0 && len(rows) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen(now, box, exclusive)
	dropped := DroppedError{Box: box}
	for _, w := range rows {
		c.update(box, w, exclusive, &dropped)
	}
	if dropped.Invalid+dropped.Unknown+dropped.Excess > 0 {
		return &dropped
	}
	return nil
}

func (c *Counts) seen(now time.Time, box string, exclusive bool) {
	if _, known := c.peers[box]; !known && len(c.peers) >= maxPeers {
		for name, p := range c.peers {
			if !p.recent(now) {
				delete(c.peers, name)
			}
		}
		if len(c.peers) >= maxPeers {
			return
		}
	}
	c.peers[box] = peer{at: now, exclusive: exclusive}
}

func (c *Counts) update(box string, w wire.ReleaseCounts, exclusive bool, dropped *DroppedError) {
	s, ok := c.services[w.Service]
	switch {
	case !valid(w):
		dropped.Invalid++
		return
	case !ok:
		dropped.Unknown++
		return
	case w.Order != s.order:
		return
	}
	k, t := keyOf(w), tallyOf(w)
	last, known := s.others[box][k]
	if !known && c.rows >= maxPeerRows {
		dropped.Excess++
		return
	}
	added, applies := progress(last, t)
	if !applies {
		return
	}
	if !known {
		c.rows++
	}
	if s.others[box] == nil {
		s.others[box] = map[key]tally{}
	}
	s.others[box][k] = t
	s.total[k] = s.total[k].plus(added)
	if exclusive {
		added.running = 0
		s.exclusive[k] = s.exclusive[k].plus(added)
	}
}

// progress returns what a row adds to the one before it. One that is below it in part
// comes from a restarted box, if it is not an earlier report that was delayed.
func progress(last, t tally) (added tally, applies bool) {
	below, above := t.compare(last)
	switch {
	case !below:
		return t.minus(last), true
	case above, 2*t.sent < last.sent:
		restarted := t
		restarted.running -= last.running
		return restarted, true
	}
	return tally{}, false
}

// Sum returns the rows of a service over this box and all others, also those that are
// silent now.
func (c *Counts) Sum(name string) []wire.ReleaseCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		return nil
	}
	all := make(map[key]tally, len(s.own)+len(s.total))
	for k, t := range s.total {
		all[k] = t
	}
	for k, t := range s.own {
		all[k] = all[k].plus(t)
	}
	return s.appendRows(nil, all)
}

// Running returns how many requests run at the baseline of a service over all boxes that
// reported recently, and the number of these boxes, this one included.
func (c *Counts) Running(now time.Time, name string) (baseline, reporting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reporting = 1
	s, ok := c.services[name]
	if ok {
		s.countOverdue(now)
		baseline = runningBaseline(s.own)
	}
	for box, p := range c.peers {
		if !p.recent(now) {
			continue
		}
		reporting++
		if ok {
			baseline += runningBaseline(s.others[box])
		}
	}
	return baseline, reporting
}

func runningBaseline(rows map[key]tally) int {
	sum := 0
	for k, t := range rows {
		if !k.candidate {
			sum += t.running
		}
	}
	return sum
}
