package edge

import (
	"time"

	"petrelstep/peerstate"
	"petrelstep/wire"
)

// words are what boxes tell each other to be added up. A list that is off is empty.
type words struct {
	tallies  []wire.UpstreamTally
	failures []wire.UpstreamFailures
	uses     []wire.OrganisationUse
	places   []wire.ServicePlaces
	speeds   []wire.UpstreamSpeed
	paced    bool // speeds are told too: once a second
}

// ownWords returns this box's words, with speeds where they are due.
func (e *Edge) ownWords(now time.Time, paced bool) words {
	w := words{
		tallies:  e.bornLoads(e.tally.Own()),
		failures: e.bornFailures(e.reliability.Own(now)),
		uses:     e.sharing.own(now),
		places:   e.ownPlaces(now),
		paced:    paced,
	}
	if paced {
		w.speeds = e.speeds.Own(now)
	}
	return w
}

// partWords returns those of this box and of the boxes that tell it alone, for those
// that do not hear them, and how many such boxes there are.
func (e *Edge) partWords(now time.Time, paced bool) (w words, covers peerstate.Coverage) {
	tallies, boxes := e.tally.Exclusive(now)
	w = words{
		tallies:  e.bornLoads(tallies),
		failures: e.bornFailures(e.reliability.PartialSum(now)),
		uses:     e.sharing.part(now),
		places:   e.partPlaces(now),
		paced:    paced,
	}
	if paced {
		w.speeds = e.speeds.Part(now)
	}
	return w, peerstate.Coverage{Boxes: boxes, Recent: e.tally.RecentExclusive(now, reachLeg)}
}

// wordsWithout returns those of all boxes but one, for that one.
func (e *Edge) wordsWithout(now time.Time, box string, paced bool) words {
	w := words{
		tallies:  e.bornLoads(e.tally.Without(now, box)),
		failures: e.bornFailures(e.reliability.Without(now, box)),
		uses:     e.sharing.without(now, box),
		places:   e.placesWithout(now, box),
		paced:    paced,
	}
	if paced {
		w.speeds = e.speeds.Without(now, box)
	}
	return w
}

// hearWords takes another box's words. only tells that the box tells this one alone,
// covers whom besides it the words are of.
func (e *Edge) hearWords(now time.Time, box string, w words, only bool, covers peerstate.Coverage) {
	e.tally.SetCoverage(box, only, covers)
	e.reliability.SetCoverage(box, only)
	e.sharing.covers(box, only)
	e.coversPlaces(box, only)
	e.tally.Update(now, box, e.currentLoads(w.tallies))
	e.reliability.Update(now, box, e.currentFailures(w.failures))
	e.sharing.told(now, box, w.uses)
	e.toldPlaces(now, box, w.places)
	if w.paced {
		e.speeds.SetCoverage(box, only)
		e.speeds.Update(now, box, w.speeds)
	}
}

// hearSums takes a hub's words of what all other boxes told.
func (e *Edge) hearSums(now time.Time, w words) {
	e.tally.UpdateSum(now, e.currentLoads(w.tallies))
	e.reliability.UpdateSum(now, e.currentFailures(w.failures))
	e.sharing.toldSum(now, w.uses)
	e.toldPlacesSum(now, w.places)
	if w.paced {
		e.speeds.UpdateSum(now, w.speeds)
	}
}

func wordsOf(g wire.Gossip) words {
	return words{tallies: g.Tallies, failures: g.Failures, uses: g.Uses, places: g.Places, speeds: g.Speeds, paced: g.WantsSpeeds}
}

func wordsOfAnswer(a wire.GossipAnswer) words {
	return words{tallies: a.Tallies, failures: a.Failures, uses: a.Uses, places: a.Places, speeds: a.Speeds, paced: len(a.Speeds) > 0}
}

// say puts the words into a call.
func (w words) say(g *wire.Gossip) {
	g.Tallies, g.Failures, g.Uses, g.Places, g.Speeds = w.tallies, w.failures, w.uses, w.places, w.speeds
	g.WantsSpeeds = w.paced
}

// answer puts the words into an answer.
func (w words) answer(a *wire.GossipAnswer) {
	a.Tallies, a.Failures, a.Uses, a.Places, a.Speeds = w.tallies, w.failures, w.uses, w.places, w.speeds
}
