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

// unknownAge is the age of what is not known at all.
const unknownAge = -1

// View returns what this box is to the others, and how old what it knows is.
func (e *Edge) View() wire.BoxView {
	now := time.Now()
	v := wire.BoxView{
		Box: e.config.Box, Hall: e.config.Hall, Hub: e.IsHub(), Reads: e.Reads(), Keeps: e.keeps(), Hubs: []string{}, Asks: []string{},
		Nearest: e.members.Nearest(now).Name, Boxes: e.members.Count(now), Leaving: e.members.Leaving(), Told: e.tally.Boxes(now),
		ConfigurationAgeMs: unknownAge, UpstreamsAgeMs: unknownAge, StoreSilentMs: unknownAge, LoadsAgeMs: unknownAge,
		Upstreams: e.fleet.Open(), Waiting: e.admission.Waiting(), Serving: int(e.serving.Load()), Stopping: e.draining.Load(),
		Halls: e.hallWords(now), Places: e.viewPlaces(now), Quarantine: e.quarantine.View(now), Limits: e.limiter.View(now),
		Rests: e.rest.View(now), LeavingUpstreams: e.leavingUpstreams(now),
	}
	for _, b := range e.members.Asks(now) {
		v.Asks = append(v.Asks, b.Name)
	}
	_, v.Tells = e.tally.Part(now)
	for _, b := range e.members.Hubs(now) {
		v.Hubs = append(v.Hubs, b.Name)
	}
	if table, age, _ := e.belief.Now(now); table != nil {
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
	if age := e.tally.SumAge(now); age < neverAge {
		v.LoadsAgeMs = int(age.Milliseconds())
	}
	return v
}

// leavingUpstreams returns the upstreams to which this box sends nothing new as they leave.
func (e *Edge) leavingUpstreams(now time.Time) []wire.LeavingView {
	list := []wire.LeavingView{}
	e.fleet.EachLeaving(now, func(u fleet.Upstream, since time.Duration) {
		list = append(list, wire.LeavingView{Upstream: u.ID, SinceMs: int(since.Milliseconds()), Said: u.Said})
	})
	slices.SortFunc(list, func(a, b wire.LeavingView) int { return strings.Compare(a.Upstream, b.Upstream) })
	return list
}

// keeps returns the services whose queue this box keeps, as it sees it.
func (e *Edge) keeps() []string {
	keeps := []string{}
	table, _, _ := e.belief.Now(time.Now())
	if table == nil {
		return keeps
	}
	for _, service := range table.Engines() {
		if e.QueueOwner(service) == e.config.Box {
			keeps = append(keeps, service)
		}
	}
	return keeps
}

// serveView answers operators with this box's view.
func (e *Edge) serveView(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.View()); err != nil {
		e.log.WithError(err).Info("view_not_sent")
	}
}

// noteRole logs what this box is to the others where that has changed.
func (e *Edge) noteRole() {
	now := time.Now()
	role := logrus.Fields{
		"hub": e.IsHub(), "reads": e.Reads(), "keeps": strings.Join(e.keeps(), ","), "nearest": e.members.Nearest(now).Name, "crowd": e.Crowded(),
	}
	if maps.Equal(e.role, role) {
		return
	}
	e.role = role
	_, tells := e.tally.Part(now)
	e.log.WithFields(role).WithFields(logrus.Fields{"boxes": e.members.Count(now), "tells": tells, "loads_age_ms": min(e.tally.SumAge(now), neverAge).Milliseconds()}).Info("role")
}
