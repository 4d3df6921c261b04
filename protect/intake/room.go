package intake

import "time"

// stalledAfter is the time without progress after which a large body gives way to another
// one. A good link retransmits a lost packet well within it.
const stalledAfter = 200 * time.Millisecond

// makeRoom chooses the connections that have to give way, until connections, what is arriving
// and the whole account are within their limits, or nobody is left who would.
func (i *Intake) makeRoom(now time.Time) (ends []end) {
	for i.remaining().connections > i.capacity.Connections() {
		c := i.leastUsed()
		if c == nil {
			break
		}
		ends = append(ends, c.giveWayForConnection(now))
	}
	for i.remaining().arriving > i.capacity.Arriving() {
		c := i.costliest(now, func(c *Conn) int64 { return c.used.arriving })
		if c == nil {
			break
		}
		ends = append(ends, c.giveWay(ReasonMemory, c.stage == stageBody))
	}
	for i.excess() > 0 {
		c := i.costliest(now, func(c *Conn) int64 { return c.used.arriving + c.used.large })
		if c == nil {
			c = i.leastUsed()
		}
		if c == nil {
			break
		}
		ends = append(ends, c.giveWay(ReasonMemory, c.stage == stageBody))
	}
	return ends
}

// makeRoomLarge chooses the large bodies that give way to that of c. It returns false if there
// are not enough; a body that is alone always has room.
func (i *Intake) makeRoomLarge(now time.Time, c *Conn) (ends []end, ok bool) {
	for c.used.large > 0 && i.remaining().large > max(i.capacity.Large(), c.used.large) {
		old := i.stalled(now)
		if old == nil || old == c {
			return ends, false
		}
		ends = append(ends, old.giveWay(ReasonMemory, true))
	}
	return ends, !c.ending
}

// releasing reports whether more is in use than may be, and connections that have to give way
// will release some of it. That takes processor time, but nothing that their clients do.
func (i *Intake) releasing() bool {
	return i.ending.arriving > 0 && i.used.arriving > i.capacity.Arriving() ||
		i.ending.large > 0 && i.used.large > i.capacity.Large() ||
		i.ending.sum() > 0 && i.used.sum()+int64(i.held()) > i.capacity.Memory()
}

// awaitRoom waits for the memory of connections that have to give way, so that those and the ones
// in their place are within the limits together. It returns false if c has to give way itself.
func (c *Conn) awaitRoom() bool {
	if c == nil {
		return true
	}
	i := c.listener.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.releasing() && !c.ending {
		woken := make(chan struct{})
		i.waiting[c] = woken
		i.mu.Unlock()
		<-woken
		i.mu.Lock()
	}
	return !c.ending
}

// wake lets the connections that wait go on if there is room.
func (i *Intake) wake() {
	if len(i.waiting) == 0 || i.releasing() {
		return
	}
	for c := range i.waiting {
		c.stopWaiting()
	}
}

// stopWaiting ends the wait of c, if it waits.
func (c *Conn) stopWaiting() {
	if woken, ok := c.listener.intake.waiting[c]; ok {
		close(woken)
		delete(c.listener.intake.waiting, c)
	}
}

// costliest returns the connection whose request is arriving with the largest product of
// bytes and time.
func (i *Intake) costliest(now time.Time, size func(*Conn) int64) (found *Conn) {
	var maxCost float64
	for _, l := range i.listeners {
		for _, s := range []stage{stageHead, stageBody} {
			for c := l.lists[s].first; c != nil; c = c.next {
				// A connection of this moment still has a cost.
				cost := float64(size(c)) * (now.Sub(c.since) + time.Millisecond).Seconds()
				if !c.ending && cost > maxCost {
					found, maxCost = c, cost
				}
			}
		}
	}
	return found
}

// stalled returns the large body that is arriving and has made no progress for some time, with
// the largest product of bytes and that time.
func (i *Intake) stalled(now time.Time) (found *Conn) {
	var maxCost float64
	for _, l := range i.listeners {
		for c := l.lists[stageBody].first; c != nil; c = c.next {
			stalled := now.Sub(c.progress)
			if cost := float64(c.used.large) * stalled.Seconds(); !c.ending && stalled >= stalledAfter && cost > maxCost {
				found, maxCost = c, cost
			}
		}
	}
	return found
}

// leastUsed returns the connection that gives way to another one, of the listener that has the
// most that would.
func (i *Intake) leastUsed() *Conn {
	var most *Listener
	count := 0
	for _, l := range i.listeners {
		if n := l.open - l.lists[stageServing].count; n > count {
			most, count = l, n
		}
	}
	if most == nil {
		return nil
	}
	return most.leastUsed(nil)
}
