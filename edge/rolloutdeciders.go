package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
	"petrelstep/storecontact"
)

// mayDecide reports whether a box may decide about orders, if it is in touch: a reader, or a standby
// while the store answers no reader.
func (r *rolloutControl) mayDecide(now time.Time, box string) bool {
	return r.members.IsReaderBox(now, box) || r.readersTurnedAway(now) && r.members.IsStandbyBox(now, box)
}

// decidesNow reports whether this box may decide. A standby that the store does not answer either makes
// no further calls.
func (r *rolloutControl) decidesNow(now time.Time) bool {
	return r.IsReader() || r.mayDecide(now, r.config.Box) && r.isServed(now)
}

// isServed reports whether the store answers this box about the orders.
func (r *rolloutControl) isServed(now time.Time) bool {
	at, ok := r.contact.Own(storecontact.Configuration)
	return ok && now.Sub(at) <= deciderMaxAge
}

// logStandby logs when this box may decide in place of the readers, and when it no longer may.
func (r *rolloutControl) logStandby(now time.Time) {
	decides := !r.IsReader() && r.decidesNow(now)
	r.mu.Lock()
	changed := decides != r.standbyDecides
	r.standbyDecides = decides
	r.mu.Unlock()
	if !changed {
		return
	}
	silence, _ := r.contact.ReaderSilence(now, storecontact.Configuration)
	r.log.WithFields(logrus.Fields{"decides": decides, "reads": r.IsReader(), "silent_ms": min(silence, neverAge).Milliseconds()}).Info("rollout_standby")
}

// readersTurnedAway reports whether the store has answered no reader about the orders for so long that
// none decides.
func (r *rolloutControl) readersTurnedAway(now time.Time) bool {
	silence, known := r.contact.ReaderSilence(now, storecontact.Configuration)
	return known && silence > deciderMaxAge
}

// isFirstReader reports whether this box is first in the rendezvous order of a service among the boxes
// in touch that may decide and that the store answers, without one that decided and is lost. While no
// standby is served either, it is a reader.
func (r *rolloutControl) isFirstReader(now time.Time, service, lost string) bool {
	inTouch := func(name string) bool { return name != lost && r.heardWithin(now, name, deciderMaxAge) }
	if r.readersTurnedAway(now) {
		first, found := r.members.StandbyOwner(now, rolloutOwnerKey+service, func(b members.Box) bool {
			return b.Name == r.config.Box || inTouch(b.Name) && r.isServedStandby(now, b.Name)
		})
		if found {
			return first.Name == r.config.Box
		}
	}
	first, found := r.members.ReachableOwner(now, rolloutOwnerKey+service, func(name string) bool {
		return r.members.IsReaderBox(now, name) && inTouch(name) && !r.isTurnedAway(now, name)
	})
	return found && first.Name == r.config.Box
}

// isTurnedAway reports whether a reader has reported that the store does not answer it about the
// orders.
func (r *rolloutControl) isTurnedAway(now time.Time, reader string) bool {
	silence, reported := r.contact.BoxSilence(now, storecontact.Configuration, reader)
	return reported && silence > deciderMaxAge
}

// isServedStandby reports whether a standby has reported that the store answers it about the orders.
func (r *rolloutControl) isServedStandby(now time.Time, standby string) bool {
	silence, reported := r.contact.OtherSilence(now, storecontact.Configuration, standby)
	return reported && silence <= deciderMaxAge
}
