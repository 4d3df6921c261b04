package edge

import (
	"time"

	"petrelstep/wire"
)

// ownPlaces returns what this box is asked for of plain services.
func (e *Edge) ownPlaces(now time.Time) []wire.ServicePlaces {
	if e.places == nil {
		return nil
	}
	return e.places.Own(now)
}

// partPlaces returns what this box and those that tell it alone are asked for.
func (e *Edge) partPlaces(now time.Time) []wire.ServicePlaces {
	if e.places == nil {
		return nil
	}
	return e.places.Part(now)
}

// coversPlaces notes, before a box's word is taken, whether it tells this box alone.
func (e *Edge) coversPlaces(box string, only bool) {
	if e.places != nil {
		e.places.SetCoverage(box, only)
	}
}

// placesWithout returns what all boxes but one are asked for, for that one.
func (e *Edge) placesWithout(now time.Time, box string) []wire.ServicePlaces {
	if e.places == nil {
		return nil
	}
	return e.places.Without(now, box)
}

// toldPlaces takes another box's word of what it is asked for.
func (e *Edge) toldPlaces(now time.Time, box string, list []wire.ServicePlaces) {
	if e.places != nil {
		e.places.Update(now, box, list)
	}
}

// toldPlacesSum takes a hub's word of what all other boxes are asked for.
func (e *Edge) toldPlacesSum(now time.Time, list []wire.ServicePlaces) {
	if e.places != nil {
		e.places.UpdateSum(now, list)
	}
}

// viewPlaces returns what this box believes of plain services.
func (e *Edge) viewPlaces(now time.Time) []wire.PlacesView {
	if e.places == nil {
		return []wire.PlacesView{}
	}
	return e.places.View(now)
}
