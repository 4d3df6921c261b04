package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"petrelstep/members"
	"petrelstep/platform/manifest"
	"petrelstep/wire"
)

const (
	// joinTime bounds a call that writes rows of boxes; a slow store takes 0.3 s.
	joinTime = 1500 * time.Millisecond
	// joinEvery is the wait after a call that failed, in the mean, and joinAgain after the
	// first: where all start at once the store refuses connections for some 0.1 s.
	joinEvery = time.Second
	joinAgain = 200 * time.Millisecond
	// settleTime is how long after its start a box that takes itself for a hub
	// reads the table again: all start within 0.3 s, and their programs within 1 s.
	settleTime = 2 * time.Second
	// strongFirst is how long, and up to twice as long, boxes that are not fit to be hubs
	// let those that are write their rows first, where all start for the first time.
	strongFirst = 400 * time.Millisecond
	// registerSettles is how long after that all boxes of a crowd that started at once
	// stand in the table: hubs write a hundred rows in each registerEvery.
	registerSettles = 4 * time.Second
)

// join puts this box into the table of boxes and reads who else is there. A box
// that starts later finds this one, and tells it of itself. All boxes may start
// at once: one that takes itself for a hub, as it found few others, reads again
// once all must have joined; at a cold start nothing else is read before. In a crowd
// hubs read once more when they have put the boxes into the table that could not
// do so themselves.
//
// A box of a crowd that is not fit to be a hub, and restarts, reads only which boxes are:
// the table of all is read by hubs.
//
// Any other that restarts lists the others before it writes, which takes a second where
// many do: that tells how many may have restarted with it. Where its own row of before
// is among them, those who join meanwhile find it: it need not list again, nor write
// what stands there already.
func (e *Edge) join(ctx context.Context) {
	if !e.config.Edge.ColdStart && !e.record.Strong && e.ofCrowd(ctx) {
		return
	}
	var before []wire.BoxRecord
	if !e.config.Edge.ColdStart {
		list := func(ctx context.Context) (err error) { before, err = e.boxes.List(ctx); return err }
		if !e.insist(ctx, list) {
			return
		}
		e.restarts(before)
	}
	if e.config.Edge.ColdStart && !e.record.Strong {
		e.timer.Sleep(ctx, strongFirst+rand.N(strongFirst))
	}
	switch at := slices.IndexFunc(before, e.isOwn); {
	case at < 0:
		if !e.enter(ctx) {
			return
		}
	case !sameRow(before[at], e.record) && !e.insist(ctx, e.write):
		return
	default:
		e.listed(before)
	}
	if !e.config.Edge.ColdStart {
		e.joined.Store(true)
	}
	e.timer.Sleep(ctx, settleTime)
	e.readAsHub(ctx)
	e.joined.Store(true)
	if e.members.LargeFleetCounts(time.Now()) != nil {
		e.timer.Sleep(ctx, registerSettles)
		e.readAsHub(ctx)
		e.countHall(ctx)
	}
}

// ofCrowd joins a box that is not fit to be a hub, where the boxes that are, and that they
// are a crowd's, stand in the store. Its hub writes its row if there is none.
func (e *Edge) ofCrowd(ctx context.Context) bool {
	var hubs []wire.BoxRecord
	var halls []wire.HallBoxes
	read := func(ctx context.Context) (err error) { hubs, halls, err = e.boxes.Hubs(ctx); return err }
	if !e.insist(ctx, read) || len(hubs) == 0 || boxesOf(halls) <= members.MaxSmallFleet {
		return false
	}
	for _, h := range halls {
		e.members.UpdateHallCount(time.Now(), h.Hall, h.Boxes)
	}
	e.leaveRow(hubs)
	e.others.Store(true)
	e.joined.Store(true)
	return true
}

func boxesOf(halls []wire.HallBoxes) int {
	all := 0
	for _, h := range halls {
		all += h.Boxes
	}
	return all
}

// leavesRow reads the boxes that are fit to be hubs, where there are any, and leaves it to
// them to write this one's row.
func (e *Edge) leavesRow(ctx context.Context) bool {
	var hubs []wire.BoxRecord
	read := func(ctx context.Context) (err error) { hubs, _, err = e.boxes.Hubs(ctx); return err }
	if e.once(ctx, read) != nil || len(hubs) == 0 {
		return false
	}
	e.leaveRow(hubs)
	return true
}

// leaveRow takes the boxes that are fit to be hubs for all that there are to be known here.
func (e *Edge) leaveRow(hubs []wire.BoxRecord) {
	e.members.SetHubsOnly()
	e.listed(hubs)
	e.unlisted.Store(true)
}

// countHall writes how many boxes this one's hall has, where it is a hub of a crowd.
func (e *Edge) countHall(ctx context.Context) {
	if halls := e.ownHall(); e.IsHub() && len(halls) > 0 {
		e.insist(ctx, func(ctx context.Context) error { return e.writeRows(ctx, halls) })
	}
}

// ownHall returns how many boxes of a crowd this one's hall has; nothing where there is none.
func (e *Edge) ownHall() []wire.HallBoxes {
	boxes, crowd := e.members.LargeFleetCounts(time.Now())[e.config.Hall]
	if !crowd {
		return nil
	}
	return []wire.HallBoxes{{Hall: e.config.Hall, Boxes: boxes}}
}

func (e *Edge) isOwn(r wire.BoxRecord) bool { return r.Box == e.config.Box }

// sameRow tells whether a row would tell others the same of a box.
func sameRow(a, b wire.BoxRecord) bool {
	return a.Hall == b.Hall && a.Address == b.Address && a.Strong == b.Strong
}

func (e *Edge) write(ctx context.Context) error { return e.writeRows(ctx, nil, e.record) }

// writeRows puts rows of boxes and halls into the table.
func (e *Edge) writeRows(ctx context.Context, halls []wire.HallBoxes, boxes ...wire.BoxRecord) error {
	limited, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	return e.boxes.Join(limited, halls, boxes...)
}

// readAsHub reads the table of boxes where this box is a hub.
func (e *Edge) readAsHub(ctx context.Context) {
	if e.IsHub() {
		e.insist(ctx, e.readBoxes)
	}
}

// enter writes this box's row and reads who else is there. The store takes 200 rows a
// second, one after the other: where so many start that it refuses more, a box that
// finds boxes fit to be hubs leaves its row to them, which write up to a hundred by a
// call, and reads no others; those fit to be hubs try on, as the others look for them.
func (e *Edge) enter(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := e.once(ctx, e.write)
		if err == nil {
			return e.insist(ctx, e.readBoxes)
		}
		if manifest.Busy(err) && !e.record.Strong {
			e.timer.Sleep(ctx, joinEvery/4+rand.N(joinEvery/4)) // those that find none would all write again
			if e.leavesRow(ctx) {
				return true
			}
		}
		e.timer.Sleep(ctx, joinEvery/2+rand.N(joinEvery)) // not all at once again
	}
	return false
}

// restarts takes who the others were when this box started. A crowd is known at once,
// whose boxes are not to read all together; fewer boxes when this one has joined: hubs
// that restart with it would be called before they are up, and passed by for 3 s.
func (e *Edge) restarts(before []wire.BoxRecord) {
	if len(before) > members.MaxSmallFleet {
		e.listed(before)
	}
	e.others.Store(true)
}

// insist makes a call until it succeeds; it reports false if ctx ended first.
func (e *Edge) insist(ctx context.Context, call func(context.Context) error) bool {
	wait := joinAgain
	for ctx.Err() == nil {
		if e.once(ctx, call) == nil {
			return true
		}
		e.timer.Sleep(ctx, wait/2+rand.N(wait)) // not all at once again
		wait = min(2*wait, joinEvery)
	}
	return false
}

// once makes a call.
func (e *Edge) once(ctx context.Context, call func(context.Context) error) error {
	err := call(ctx)
	e.turnedAway.Store(err != nil)
	if err != nil {
		e.log.WithError(err).Warn("boxes_not_read")
	}
	return err
}

func (e *Edge) readBoxes(ctx context.Context) error {
	list, err := e.boxes.List(ctx)
	if err == nil {
		e.listed(list)
	}
	return err
}

func (e *Edge) listed(list []wire.BoxRecord) {
	known := make([]wire.Member, 0, len(list))
	for _, r := range list {
		known = append(known, wire.Member{Box: r.Box, Hall: r.Hall, Address: r.Address, State: wire.MemberStateLive, Strong: r.Strong})
	}
	e.members.ApplyList(time.Now(), known)
	e.log.WithField("boxes", len(known)).Info("boxes_listed")
}

// Joined implements readpolicy.Boxes.
func (e *Edge) Joined() bool { return e.joined.Load() }

// Listed implements readpolicy.Boxes.
func (e *Edge) Listed() bool { return e.others.Load() }

// Rejected implements readpolicy.Boxes.
func (e *Edge) Rejected() bool { return e.turnedAway.Load() }

// IsHub tells whether this box knows for others.
func (e *Edge) IsHub() bool {
	_, is := e.members.IsHub(time.Now())
	return is
}

// IsReader implements readpolicy.Boxes.
func (e *Edge) IsReader() bool { return e.members.IsReader(time.Now()) }

// Count implements readpolicy.Boxes.
func (e *Edge) Count() int { return e.members.Count(time.Now()) }

// IsLargeFleet implements readpolicy.Boxes.
func (e *Edge) IsLargeFleet() bool { return e.members.LargeFleetCounts(time.Now()) != nil }

// AllReaders implements readpolicy.Boxes.
func (e *Edge) AllReaders() bool {
	count := e.Count()
	return count <= members.MaxReaders && len(e.members.Hubs(time.Now())) == count
}

// LastHubAnswer implements readpolicy.Boxes.
func (e *Edge) LastHubAnswer() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hubHeard
}

// LastPromised implements readpolicy.Boxes.
func (e *Edge) LastPromised() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promised
}
