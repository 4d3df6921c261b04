package edge

import (
	"time"

	"petrelstep/wire"
)

// ownPlaces returns this box's demand for plain services.
func (e *Edge) ownPlaces(now time.Time) []wire.ServicePlaces {
	if e.places == nil {
		return nil
	}
	return e.places.Own(now)
}

// aggregatedPlaces returns the demand at this box and at those that report only to it.
func (e *Edge) aggregatedPlaces(now time.Time) []wire.ServicePlaces {
	if e.places == nil {
		return nil
	}
	return e.places.Part(now)
}

// setPlacesCoverage records, before a report is applied, whether the box reports only
// to this one.
func (e *Edge) setPlacesCoverage(box string, exclusive bool) {
	if e.places != nil {
		e.places.SetCoverage(box, exclusive)
	}
}

// placesWithout returns the demand at all boxes but one, to be sent to that box.
func (e *Edge) placesWithout(now time.Time, box string) []wire.ServicePlaces {
	if e.places == nil {
		return nil
	}
	return e.places.Without(now, box)
}

// updatePlaces applies another box's report of its demand.
func (e *Edge) updatePlaces(now time.Time, box string, list []wire.ServicePlaces) {
	if e.places != nil {
		e.places.Update(now, box, list)
	}
}

// updatePlacesSum applies a hub's sum of the demand at all other boxes.
func (e *Edge) updatePlacesSum(now time.Time, list []wire.ServicePlaces) {
	if e.places != nil {
		e.places.UpdateSum(now, list)
	}
}

// viewPlaces returns the state of plain services.
func (e *Edge) viewPlaces(now time.Time) []wire.PlacesView {
	if e.places == nil {
		return []wire.PlacesView{}
	}
	return e.places.View(now)
}
