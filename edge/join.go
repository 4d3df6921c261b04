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
	// joinTimeout bounds a call that writes rows of boxes; a slow store takes 0.3 s.
	joinTimeout = 1500 * time.Millisecond
	// joinRetryInterval is the mean wait after repeated failures, and firstJoinRetry
	// after the first: when all boxes start at once the store refuses connections for
	// 0.1 s.
	joinRetryInterval = time.Second
	firstJoinRetry    = 200 * time.Millisecond
	// settleTime is when a box that considers itself a hub rereads the table after its
	// start. Boxes started together are up within 1.3 s.
	settleTime = 2 * time.Second
	// hubHeadStart is the minimum delay, randomized up to twice that, by which boxes
	// that aren't hub-eligible write their rows later than those that are, at a cold
	// start.
	hubHeadStart = 400 * time.Millisecond
	// registrationTime is how long after that the hubs have written the rows of all
	// boxes of a large fleet: a hundred in each registerInterval.
	registrationTime = 4 * time.Second
)

// join adds this box to the table of boxes and reads the others. A box that starts
// later finds this one in the table and calls it. When all boxes start at once, each
// may find few others: one that considers itself a hub therefore reads again after
// settleTime. At a cold start nothing is read before that. In a large fleet hubs read a
// third time, after they have written the rows of the boxes that couldn't.
//
// A restarting box of a large fleet that isn't hub-eligible reads only which boxes are;
// the hubs read the full table.
//
// Any other restarting box lists the others before it writes, which takes a second when
// many do: the list shows how many may be restarting with it. If its own row is still
// there, boxes that join meanwhile find it, and it neither lists again nor rewrites an
// unchanged row.
func (e *Edge) join(ctx context.Context) {
	if !e.config.Edge.ColdStart && !e.record.Strong && e.joinLargeFleet(ctx) {
		return
	}
	var previous []wire.BoxRecord
	if !e.config.Edge.ColdStart {
		list := func(ctx context.Context) (err error) { previous, err = e.boxes.List(ctx); return err }
		if !e.retry(ctx, list) {
			return
		}
		e.setPreviousBoxes(previous)
	}
	if e.config.Edge.ColdStart && !e.record.Strong {
		e.timer.Sleep(ctx, hubHeadStart+rand.N(hubHeadStart))
	}
	switch at := slices.IndexFunc(previous, e.isSelf); {
	case at < 0:
		if !e.writeAndList(ctx) {
			return
		}
	case !sameRow(previous[at], e.record) && !e.retry(ctx, e.writeOwnRow):
		return
	default:
		e.setBoxes(previous)
	}
	if !e.config.Edge.ColdStart {
		e.joined.Store(true)
	}
	e.timer.Sleep(ctx, settleTime)
	e.readBoxesIfHub(ctx)
	e.joined.Store(true)
	if e.members.LargeFleetCounts(time.Now()) != nil {
		e.timer.Sleep(ctx, registrationTime)
		e.readBoxesIfHub(ctx)
		e.writeHallSize(ctx)
	}
}

// joinLargeFleet joins a box that isn't hub-eligible if the store lists the
// hub-eligible boxes of a large fleet. Its hub writes its row if there is none.
func (e *Edge) joinLargeFleet(ctx context.Context) bool {
	var hubs []wire.BoxRecord
	var halls []wire.HallBoxes
	read := func(ctx context.Context) (err error) { hubs, halls, err = e.boxes.Hubs(ctx); return err }
	if !e.retry(ctx, read) || len(hubs) == 0 || totalBoxes(halls) <= members.MaxSmallFleet {
		return false
	}
	for _, h := range halls {
		e.members.UpdateHallCount(time.Now(), h.Hall, h.Boxes)
	}
	e.useHubsOnly(hubs)
	e.peersListed.Store(true)
	e.joined.Store(true)
	return true
}

func totalBoxes(halls []wire.HallBoxes) int {
	all := 0
	for _, h := range halls {
		all += h.Boxes
	}
	return all
}

// tryHubsOnly reads the hub-eligible boxes and, if there are any, leaves writing this
// box's row to them.
func (e *Edge) tryHubsOnly(ctx context.Context) bool {
	var hubs []wire.BoxRecord
	read := func(ctx context.Context) (err error) { hubs, _, err = e.boxes.Hubs(ctx); return err }
	if e.attempt(ctx, read) != nil || len(hubs) == 0 {
		return false
	}
	e.useHubsOnly(hubs)
	return true
}

// useHubsOnly makes the hub-eligible boxes the only ones known here.
func (e *Edge) useHubsOnly(hubs []wire.BoxRecord) {
	e.members.SetHubsOnly()
	e.setBoxes(hubs)
	e.unlisted.Store(true)
}

// writeHallSize stores the number of boxes in this box's hall if it is a hub of a large
// fleet.
func (e *Edge) writeHallSize(ctx context.Context) {
	if halls := e.ownHallSize(); e.IsHub() && len(halls) > 0 {
		e.retry(ctx, func(ctx context.Context) error { return e.writeRows(ctx, halls) })
	}
}

// ownHallSize returns the number of boxes in this box's hall, or nothing unless the
// fleet is large.
func (e *Edge) ownHallSize() []wire.HallBoxes {
	boxes, large := e.members.LargeFleetCounts(time.Now())[e.config.Hall]
	if !large {
		return nil
	}
	return []wire.HallBoxes{{Hall: e.config.Hall, Boxes: boxes}}
}

func (e *Edge) isSelf(r wire.BoxRecord) bool { return r.Box == e.config.Box }

// sameRow reports whether two rows describe a box alike.
func sameRow(a, b wire.BoxRecord) bool {
	return a.Hall == b.Hall && a.Address == b.Address && a.Strong == b.Strong
}

func (e *Edge) writeOwnRow(ctx context.Context) error { return e.writeRows(ctx, nil, e.record) }

// writeRows writes rows of boxes and halls to the store.
func (e *Edge) writeRows(ctx context.Context, halls []wire.HallBoxes, boxes ...wire.BoxRecord) error {
	limited, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return e.boxes.Join(limited, halls, boxes...)
}

// readBoxesIfHub reads the table of boxes if this box is a hub.
func (e *Edge) readBoxesIfHub(ctx context.Context) {
	if e.IsHub() {
		e.retry(ctx, e.readBoxes)
	}
}

// writeAndList writes this box's row and reads the others. The store takes 200 rows a
// second, one after the other. When it refuses more, a box that finds hub-eligible
// boxes leaves its row to them, which write up to a hundred per call, and reads no
// other boxes. Hub-eligible boxes keep trying, as the others depend on their rows.
func (e *Edge) writeAndList(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := e.attempt(ctx, e.writeOwnRow)
		if err == nil {
			return e.retry(ctx, e.readBoxes)
		}
		if manifest.Busy(err) && !e.record.Strong {
			e.timer.Sleep(ctx, joinRetryInterval/4+rand.N(joinRetryInterval/4)) // boxes that find no hub would otherwise all write again at once
			if e.tryHubsOnly(ctx) {
				return true
			}
		}
		e.timer.Sleep(ctx, joinRetryInterval/2+rand.N(joinRetryInterval)) // spread out the retries
	}
	return false
}

// setPreviousBoxes records the boxes listed before this one wrote its row. A large
// fleet is used at once, so that its boxes don't all read the store. Fewer boxes are
// used only after joining: hubs that restart with this box would be called before they
// are up and then skipped for 3 s.
func (e *Edge) setPreviousBoxes(previous []wire.BoxRecord) {
	if len(previous) > members.MaxSmallFleet {
		e.setBoxes(previous)
	}
	e.peersListed.Store(true)
}

// retry calls call until it succeeds; it returns false if ctx ended first.
func (e *Edge) retry(ctx context.Context, call func(context.Context) error) bool {
	wait := firstJoinRetry
	for ctx.Err() == nil {
		if e.attempt(ctx, call) == nil {
			return true
		}
		e.timer.Sleep(ctx, wait/2+rand.N(wait)) // spread out the retries
		wait = min(2*wait, joinRetryInterval)
	}
	return false
}

// attempt makes a call once and records whether it failed.
func (e *Edge) attempt(ctx context.Context, call func(context.Context) error) error {
	err := call(ctx)
	e.storeRefused.Store(err != nil)
	if err != nil {
		e.log.WithError(err).Warn("boxes_not_read")
	}
	return err
}

func (e *Edge) readBoxes(ctx context.Context) error {
	list, err := e.boxes.List(ctx)
	if err == nil {
		e.setBoxes(list)
	}
	return err
}

func (e *Edge) setBoxes(list []wire.BoxRecord) {
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
func (e *Edge) Listed() bool { return e.peersListed.Load() }

// Rejected implements readpolicy.Boxes.
func (e *Edge) Rejected() bool { return e.storeRefused.Load() }

// IsHub reports whether this box aggregates the reports of others.
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
	return e.hubLastSeen
}

// LastPromised implements readpolicy.Boxes.
func (e *Edge) LastPromised() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleetDeferredAt
}
