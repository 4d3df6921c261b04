package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"petrelstep/members"
	"petrelstep/wire"
)

const (
	// joinTime bounds a call for the table of boxes; a slow store takes 0.3 s.
	joinTime = 1500 * time.Millisecond
	// joinEvery is the wait after a call that failed, in the mean.
	joinEvery = time.Second
	// settleTime is how long after its start a box that takes itself for a hub
	// reads the table again: all start within 0.3 s, and their programs within 1 s.
	settleTime = 2 * time.Second
)

// join puts this box into the table of boxes and reads who else is there. A box
// that starts later finds this one, and tells it of itself. All boxes may start
// at once: one that takes itself for a hub, as it found few others, reads again
// once all must have joined; at a cold start nothing else is read before.
//
// A box that restarts lists the others before it writes, which takes a second where
// many do: that tells how many may have restarted with it. Where its own row of before
// is among them, those who join meanwhile find it, and it need not list again.
func (e *Edge) join(ctx context.Context) {
	var before []wire.BoxRecord
	if !e.config.Edge.ColdStart {
		list := func(ctx context.Context) (err error) { before, err = e.boxes.List(ctx); return err }
		if !e.insist(ctx, list) {
			return
		}
		e.restarts(before)
	}
	write := func(ctx context.Context) error { return e.boxes.Join(ctx, e.record) }
	if !e.insist(ctx, write) {
		return
	}
	if slices.ContainsFunc(before, func(r wire.BoxRecord) bool { return r.Box == e.config.Box }) {
		e.listed(before)
	} else if !e.insist(ctx, e.readBoxes) {
		return
	}
	if !e.config.Edge.ColdStart {
		e.joined.Store(true)
	}
	e.timer.Sleep(ctx, settleTime)
	defer e.joined.Store(true)
	if e.IsHub() {
		e.insist(ctx, e.readBoxes)
	}
}

// restarts takes who the others were when this box started. A crowd is known at once,
// whose boxes are not to read all together; fewer boxes when this one has joined: hubs
// that restart with it would be called before they are up, and passed by for 3 s.
func (e *Edge) restarts(before []wire.BoxRecord) {
	if len(before) > members.StarMost {
		e.listed(before)
	}
	e.others.Store(true)
}

// insist makes a call until it succeeds; it reports false if ctx ended first.
func (e *Edge) insist(ctx context.Context, call func(context.Context) error) bool {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, joinTime)
		err := call(limited)
		cancel()
		if err == nil {
			return true
		}
		e.log.WithError(err).Warn("boxes_not_read")
		e.timer.Sleep(ctx, joinEvery/2+rand.N(joinEvery)) // not all at once again
	}
	return false
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
	e.members.Listed(time.Now(), known)
	e.log.WithField("boxes", len(known)).Info("boxes_listed")
}

// Known implements reading.Boxes.
func (e *Edge) Known() bool { return e.joined.Load() }

// Listed implements reading.Boxes.
func (e *Edge) Listed() bool { return e.others.Load() }

// IsHub tells whether this box knows for others.
func (e *Edge) IsHub() bool {
	_, is := e.members.IsHub(time.Now())
	return is
}

// Reads implements reading.Boxes.
func (e *Edge) Reads() bool { return e.members.Reads(time.Now()) }

// Count implements reading.Boxes.
func (e *Edge) Count() int { return e.members.Count() }

// Crowded implements reading.Boxes.
func (e *Edge) Crowded() bool { return e.members.Crowd(time.Now()) != nil }

// AllRead implements reading.Boxes.
func (e *Edge) AllRead() bool {
	count := e.members.Count()
	return count <= members.ReadersMost && len(e.members.Hubs(time.Now())) == count
}

// HubHeard implements reading.Boxes.
func (e *Edge) HubHeard() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hubHeard
}

// Promised implements reading.Boxes.
func (e *Edge) Promised() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promised
}
