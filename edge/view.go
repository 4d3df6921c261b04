package edge

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fleet"
	"petrelstep/wire"
)

// unknownAge stands for an unknown age in views.
const unknownAge = -1

// View returns the box's role in the fleet, its state and the age of its data.
func (e *Edge) View() wire.BoxView {
	now := time.Now()
	v := wire.BoxView{
		Box: e.config.Box, Hall: e.config.Hall, Hub: e.IsHub(), Reads: e.IsReader(), Keeps: e.ownedQueues(), Hubs: []string{}, Asks: []string{},
		Nearest: e.members.PrimaryHub(now).Name, Boxes: e.members.Count(now), Leaving: e.members.CountLeaving(), Told: e.loads.Boxes(now),
		ConfigurationAgeMs: unknownAge, UpstreamsAgeMs: unknownAge, StoreSilentMs: unknownAge, LoadsAgeMs: unknownAge,
		Upstreams: e.fleet.CountOpen(), Waiting: e.admission.Waiting(), Serving: int(e.serving.Load()), Stopping: e.draining.Load(),
		Halls: e.evacuations(now), Rollouts: e.rollouts.view(now), Places: e.viewPlaces(now), Quarantine: e.quarantine.View(now), Limits: e.limiter.View(now),
		RejectionLimits: e.slots.View(now), CutLinks: e.links.View(now), Tunnels: e.tunnels.Count(), Rests: e.backoff.View(now), LeavingUpstreams: e.leavingUpstreams(now),
	}
	for _, b := range e.members.HubsToCall(now) {
		v.Asks = append(v.Asks, b.Name)
	}
	_, v.Tells = e.loads.Exclusive(now)
	for _, b := range e.members.Hubs(now) {
		v.Hubs = append(v.Hubs, b.Name)
	}
	if table, age, _ := e.routes.Current(now); table != nil {
		for _, service := range table.Engines() {
			v.Speeds = append(v.Speeds, e.speeds.Beliefs(now, service)...)
		}
		v.Version, v.ConfigurationAgeMs = table.Version(), int(age.Milliseconds())
	}
	if age, known := e.fleet.Age(now); known {
		v.UpstreamsAgeMs = int(age.Milliseconds())
	}
	if age := e.storeAge(now); age < int(neverAge.Milliseconds()) {
		v.StoreSilentMs = age
	}
	if age := e.loads.SumAge(now); age < neverAge {
		v.LoadsAgeMs = int(age.Milliseconds())
	}
	return v
}

// leavingUpstreams returns the leaving upstreams, which get no new requests.
func (e *Edge) leavingUpstreams(now time.Time) []wire.LeavingView {
	list := []wire.LeavingView{}
	e.fleet.EachLeaving(now, func(u fleet.Upstream, since time.Duration) {
		list = append(list, wire.LeavingView{Upstream: u.ID, SinceMs: int(since.Milliseconds()), Said: u.Announced})
	})
	slices.SortFunc(list, func(a, b wire.LeavingView) int { return strings.Compare(a.Upstream, b.Upstream) })
	return list
}

// ownedQueues returns the services whose queue this box owns, as seen by this box.
func (e *Edge) ownedQueues() []string {
	owned := []string{}
	table, _, _ := e.routes.Current(time.Now())
	if table == nil {
		return owned
	}
	for _, service := range table.Engines() {
		if e.QueueOwner(service) == e.config.Box {
			owned = append(owned, service)
		}
	}
	return owned
}

// serveView serves this box's view to operators.
func (e *Edge) serveView(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.View()); err != nil {
		e.log.WithError(err).Info("view_not_sent")
	}
}

// logRole logs this box's role in the fleet when it has changed.
func (e *Edge) logRole() {
	now := time.Now()
	role := logrus.Fields{
		"hub": e.IsHub(), "reads": e.IsReader(), "keeps": strings.Join(e.ownedQueues(), ","), "nearest": e.members.PrimaryHub(now).Name, "crowd": e.IsLargeFleet(),
	}
	if maps.Equal(e.role, role) {
		return
	}
	e.role = role
	_, aggregated := e.loads.Exclusive(now)
	e.log.WithFields(role).WithFields(logrus.Fields{"boxes": e.members.Count(now), "tells": aggregated, "loads_age_ms": min(e.loads.SumAge(now), neverAge).Milliseconds()}).Info("role")
}
