package daemon

import (
	"sort"
	"time"

	"petrelstep/members"
	"petrelstep/resource"
	"petrelstep/rollout"
	"petrelstep/wire"
)

// status returns the state of the fleet as this box sees it: the declared resources
// compared with the engines' reports and the revisions of the boxes.
func (d *Daemon) status() wire.Status {
	now := time.Now()
	view := d.resources.View()
	s := wire.Status{Revision: view.Revision, Halls: []wire.HallStatus{}, Boxes: []wire.BoxStatus{}}
	s.Boxes = d.boxStatuses(now, view.Revision)
	for hall := range view.Halls {
		s.Halls = append(s.Halls, d.hallStatus(now, hall))
	}
	sort.Slice(s.Halls, func(i, j int) bool { return s.Halls[i].Hall < s.Halls[j].Hall })
	return s
}

// boxStatuses returns the state of each box; revision is that of this one.
func (d *Daemon) boxStatuses(now time.Time, revision int) []wire.BoxStatus {
	own := d.unserved.List(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []wire.BoxStatus
	for _, b := range d.members.All(now) {
		s := wire.BoxStatus{Box: b.Name, Hall: b.Hall, Revision: b.Revision, State: wire.BoxStatusState(b.State), Unserved: d.peersUnserved[b.Name]}
		if b.Name == d.config.Box {
			s.Revision, s.Unserved = revision, own
		}
		all = append(all, s)
	}
	return all
}

func (d *Daemon) hallStatus(now time.Time, hall string) wire.HallStatus {
	view := d.resources.View()
	h := wire.HallStatus{Hall: hall, Placements: []wire.PlacementStatus{}}
	for _, b := range d.members.All(now) {
		if b.Hall != hall || b.State == members.Gone {
			continue
		}
		h.Boxes++
		if b.Name == d.config.Box || isCurrent(b, view) {
			h.BoxesCurrent++
		}
	}
	fresh := map[string]wire.EngineLoad{}
	for _, name := range view.Engines(hall) {
		if l, ok := d.loads.Fresh(now, name, maxStatusAge); ok {
			fresh[name] = l
		}
	}
	h.Placements = append(h.Placements, rollout.New(view, hall, fresh).Status...)
	for i := range h.Placements {
		h.Placements[i].SinceMs = d.stateDurationMs(now, hall, h.Placements[i])
	}
	return h
}

// isCurrent reports whether a box has a configuration, or a newer one. A box that reports no era
// is taken for one of the same era.
func isCurrent(b members.Box, view *resource.View) bool {
	at := resource.Position{Era: b.Era, Revision: b.Revision}
	if at.Era == 0 {
		at.Era = view.Era
	}
	return !view.Position().After(at)
}

// maxStatusAge is the age up to which a load report is used for the status.
const maxStatusAge = reportedSilence

// stateDurationMs returns how long a placement has been met or short.
func (d *Daemon) stateDurationMs(now time.Time, hall string, p wire.PlacementStatus) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := hall + "/" + p.Placement
	state := "met"
	if p.Actual < p.Desired {
		state = "short"
	}
	other := map[string]string{"met": "short", "short": "met"}[state]
	delete(d.placementSince, key+"/"+other)
	began, ok := d.placementSince[key+"/"+state]
	if !ok {
		began = now
		d.placementSince[key+"/"+state] = now
	}
	return int(now.Sub(began).Milliseconds())
}

// KnownEngines returns the number of declared engines with a fresh load report.
func (d *Daemon) KnownEngines() int {
	n := 0
	for _, name := range d.resources.View().Engines("") {
		if _, ok := d.loads.Fresh(time.Now(), name, maxStatusAge); ok {
			n++
		}
	}
	return n
}

// Revision returns the revision of the configuration that this box uses.
func (d *Daemon) Revision() int { return d.resources.View().Revision }

// InFlight returns the number of generations that this box has in flight.
func (d *Daemon) InFlight() int { return d.flights.Len() }

// Draining reports whether the planned stop has begun.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Waiting returns the number of requests that wait at this box for a grant.
func (d *Daemon) Waiting() int { return d.grants.Waiting() }
