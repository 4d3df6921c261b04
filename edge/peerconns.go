package edge

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/members"
)

// peerConnections implements peer.Observer.
type peerConnections struct{ *Edge }

// ConnectionRetired implements peer.Observer.
func (c peerConnections) ConnectionRetired(address string, silent time.Duration, waiting int) {
	c.metrics.PeerConnectionRetired()
	log := c.log.WithFields(logrus.Fields{"address": address, "silent_ms": silent.Milliseconds(), "waiting": waiting})
	peers := c.members.Peers(time.Now())
	if i := slices.IndexFunc(peers, func(b members.Box) bool { return b.Address == address }); i >= 0 {
		log = log.WithField("peer", peers[i].Name)
	}
	log.Warn("connection_retired")
}
