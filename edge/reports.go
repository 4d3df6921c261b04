package edge

import (
	"time"

	"petrelstep/peerstate"
	"petrelstep/wire"
)

// report is the additive state that boxes exchange. Disabled lists are empty.
type report struct {
	tallies    []wire.UpstreamTally
	failures   []wire.UpstreamFailures
	uses       []wire.OrganisationUse
	places     []wire.ServicePlaces
	speeds     []wire.UpstreamSpeed
	withSpeeds bool // speeds are included, once a second
}

// ownReport returns this box's report.
func (e *Edge) ownReport(now time.Time, withSpeeds bool) report {
	r := report{
		tallies:    e.loadsWithStart(e.loads.Own()),
		failures:   e.failuresWithStart(e.reliability.Own(now)),
		uses:       e.sharing.own(now),
		places:     e.ownPlaces(now),
		withSpeeds: withSpeeds,
	}
	if withSpeeds {
		r.speeds = e.speeds.Own(now)
	}
	return r
}

// aggregatedReport returns the sum of this box's report and those of the boxes that
// report only to it, and its coverage.
func (e *Edge) aggregatedReport(now time.Time, withSpeeds bool) (r report, coverage peerstate.Coverage) {
	tallies, boxes := e.loads.Exclusive(now)
	r = report{
		tallies:    e.loadsWithStart(tallies),
		failures:   e.failuresWithStart(e.reliability.PartialSum(now)),
		uses:       e.sharing.aggregated(now),
		places:     e.aggregatedPlaces(now),
		withSpeeds: withSpeeds,
	}
	if withSpeeds {
		r.speeds = e.speeds.Part(now)
	}
	return r, peerstate.Coverage{Boxes: boxes, Recent: e.loads.RecentExclusive(now, reachHopMaxAge)}
}

// reportWithout returns the sum over all boxes but one, to be sent to that box.
func (e *Edge) reportWithout(now time.Time, box string, withSpeeds bool) report {
	r := report{
		tallies:    e.loadsWithStart(e.loads.Without(now, box)),
		failures:   e.failuresWithStart(e.reliability.Without(now, box)),
		uses:       e.sharing.without(now, box),
		places:     e.placesWithout(now, box),
		withSpeeds: withSpeeds,
	}
	if withSpeeds {
		r.speeds = e.speeds.Without(now, box)
	}
	return r
}

// receiveReport applies another box's report. exclusive means that the box reports only to
// this one; coverage are the other boxes included.
func (e *Edge) receiveReport(now time.Time, box string, r report, exclusive bool, coverage peerstate.Coverage) {
	e.loads.SetCoverage(box, exclusive, coverage)
	e.reliability.SetCoverage(box, exclusive)
	e.sharing.setCoverage(box, exclusive)
	e.setPlacesCoverage(box, exclusive)
	e.loads.Update(now, box, e.currentLoads(r.tallies))
	e.reliability.Update(now, box, e.currentFailures(r.failures))
	e.sharing.update(now, box, r.uses)
	e.updatePlaces(now, box, r.places)
	if r.withSpeeds {
		e.speeds.SetCoverage(box, exclusive)
		e.speeds.Update(now, box, r.speeds)
	}
}

// receiveSums applies a hub's sums over all other boxes.
func (e *Edge) receiveSums(now time.Time, r report) {
	e.loads.UpdateSum(now, e.currentLoads(r.tallies))
	e.reliability.UpdateSum(now, e.currentFailures(r.failures))
	e.sharing.updateSum(now, r.uses)
	e.updatePlacesSum(now, r.places)
	if r.withSpeeds {
		e.speeds.UpdateSum(now, r.speeds)
	}
}

func gossipReport(g wire.Gossip) report {
	return report{tallies: g.Tallies, failures: g.Failures, uses: g.Uses, places: g.Places, speeds: g.Speeds, withSpeeds: g.WantsSpeeds}
}

func answerReport(a wire.GossipAnswer) report {
	return report{tallies: a.Tallies, failures: a.Failures, uses: a.Uses, places: a.Places, speeds: a.Speeds, withSpeeds: len(a.Speeds) > 0}
}

// fillGossip sets the report's fields in a request.
func (r report) fillGossip(g *wire.Gossip) {
	g.Tallies, g.Failures, g.Uses, g.Places, g.Speeds = r.tallies, r.failures, r.uses, r.places, r.speeds
	g.WantsSpeeds = r.withSpeeds
}

// fillAnswer sets the report's fields in an answer.
func (r report) fillAnswer(a *wire.GossipAnswer) {
	a.Tallies, a.Failures, a.Uses, a.Places, a.Speeds = r.tallies, r.failures, r.uses, r.places, r.speeds
}
