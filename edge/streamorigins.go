package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/members"
	"petrelstep/metrics"
	"petrelstep/origins"
	"petrelstep/peer"
	"petrelstep/relay"
	"petrelstep/wire"
)

const (
	// originOwners is the number of hubs that record the origin of a stream, so that it is
	// known after all but one of them are lost together with the box that served it.
	originOwners = 3
	// originCallTimeout bounds a call to one of them.
	originCallTimeout = 400 * time.Millisecond
	// originAckWait bounds how long the first event of a stream is held back until one of
	// them has its origin.
	originAckWait = 100 * time.Millisecond
	// singleMaxAge is the age of the fleet up to which a service's only release is taken for
	// that of its streams without asking others: readers of the store poll within that time.
	singleMaxAge = 2 * time.Second
	// maxOriginsPerCall bounds the records in a call.
	maxOriginsPerCall = 500
	streamKeyPrefix   = "stream/"
)

// streamOrigins implements relay.Origins. The releases of streams are recorded at some hubs
// while a service may have several releases.
type streamOrigins struct{ *Edge }

func (e *Edge) newStreamOrigins() streamOrigins { return streamOrigins{e} }

// Began implements relay.Origins.
func (s streamOrigins) Began(ctx context.Context, r origins.Record) {
	now := time.Now()
	if _, _, uniform := s.fleet.Uniform(r.Origin.Service); uniform {
		s.origins.AddUnsent(now, r)
		return
	}
	s.origins.Add(now, r)
	owners := s.originOwnersOf(now, r.Stream)
	acknowledged := make(chan bool, len(owners))
	for _, owner := range owners {
		go func() {
			acknowledged <- s.sendOrigins(context.WithoutCancel(ctx), owner, []origins.Record{r})
		}()
	}
	s.metrics.OriginRecorded(awaitAcknowledgement(ctx, acknowledged, len(owners)))
}

// awaitAcknowledgement waits for the first of some calls that succeeds, and returns the outcome.
func awaitAcknowledgement(ctx context.Context, acknowledged <-chan bool, calls int) (outcome string) {
	timeout := time.NewTimer(originAckWait)
	defer timeout.Stop()
	for range calls {
		select {
		case ok := <-acknowledged:
			if ok {
				return metrics.OriginAcknowledged
			}
		case <-timeout.C:
			return metrics.OriginLate
		case <-ctx.Done():
			return metrics.OriginLate
		}
	}
	return metrics.OriginUnacknowledged
}

// originOwnersOf returns the other boxes that record the origin of a stream.
func (s streamOrigins) originOwnersOf(now time.Time, stream fingerprint.Fingerprint) (owners []members.Box) {
	for _, b := range s.members.Owners(now, streamKeyPrefix+stream.String(), originOwners) {
		if b.Name != s.config.Box {
			owners = append(owners, b)
		}
	}
	return owners
}

// sendOrigins records origins at another box; false if it did not acknowledge them.
func (s streamOrigins) sendOrigins(ctx context.Context, to members.Box, list []origins.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	call := wire.StreamOrigins{Box: s.config.Box}
	for _, r := range list {
		call.Origins = append(call.Origins, wire.StreamOrigin{Stream: r.Stream.String(), Service: r.Origin.Service, Release: r.Origin.Release})
	}
	var answer wire.Nothing
	if err := s.peers.CallIdempotent(ctx, to.Address, peer.RecordOrigins, call, &answer); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"peer": to.Name, "streams": len(list)}).Warn("origin_not_recorded")
		return false
	}
	return true
}

// sendUnsent records at other boxes the origins of streams that began while their service
// had one release, unless it has had no other for long.
func (s streamOrigins) sendUnsent(now time.Time) {
	wanted := map[string]bool{}
	list := s.origins.TakeUnsent(now, func(service string) bool {
		if _, asked := wanted[service]; !asked {
			_, single := s.singleRelease(now, service)
			wanted[service] = !single
		}
		return wanted[service]
	})
	byOwner := map[members.Box][]origins.Record{}
	for _, r := range list {
		for _, owner := range s.originOwnersOf(now, r.Stream) {
			byOwner[owner] = append(byOwner[owner], r)
		}
	}
	for owner, records := range byOwner {
		go func() {
			for len(records) > 0 {
				n := min(len(records), maxOriginsPerCall)
				s.sendOrigins(context.Background(), owner, records[:n])
				records = records[n:]
			}
		}()
	}
	if len(list) > 0 {
		s.log.WithFields(logrus.Fields{"streams": len(list), "peers": len(byOwner)}).Info("origins_sent")
	}
}

// singleRelease returns the release of a service that has had no other for as long as
// streams can be resumed; false if it may have had one. The time limits of routes say nothing about
// that: they may have been longer before, and a caller's tries together take longer.
func (e *Edge) singleRelease(now time.Time, service string) (release string, single bool) {
	release, since, uniform := e.fleet.Uniform(service)
	return release, uniform && now.Sub(since) >= origins.Retention
}

// Find implements relay.Origins.
func (s streamOrigins) Find(ctx context.Context, stream fingerprint.Fingerprint, service string) relay.FoundOrigin {
	now := time.Now()
	if o, known := s.origins.Get(stream); known {
		return relay.FoundOrigin{Origin: o, Source: relay.OriginRecorded, Peer: s.config.Box}
	}
	release, single := s.singleRelease(now, service)
	only := relay.FoundOrigin{Origin: origins.Origin{Service: service, Release: release}, Source: relay.OriginOnlyRelease, Peer: s.config.Box}
	if single && s.isFleetCurrent(now) {
		return only
	}
	found := s.askOwners(ctx, now, stream, service)
	if found.Source == relay.OriginUnknown && found.Answers > 0 && single && s.storeIsSilent(now) {
		only.Answers = found.Answers
		return only
	}
	return found
}

// isFleetCurrent reports whether the upstreams are known as of a short time ago.
func (e *Edge) isFleetCurrent(now time.Time) bool {
	age, known := e.fleet.Age(now)
	return known && age <= singleMaxAge
}

// storeIsSilent reports whether no box can have learned of new upstreams lately: the store has
// answered no box, as reported by a majority of them.
func (e *Edge) storeIsSilent(now time.Time) bool {
	age, known := e.fleet.Age(now)
	reached, all := e.members.CountReachable(now)
	return known && e.fleetStoreSilence()+singleMaxAge >= age && 2*reached > all
}

// askOwners asks the boxes that record the origin of a stream, and returns the first origin
// that one of them knows.
func (s streamOrigins) askOwners(ctx context.Context, now time.Time, stream fingerprint.Fingerprint, service string) relay.FoundOrigin {
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	owners := s.originOwnersOf(now, stream)
	results := make(chan relay.FoundOrigin, len(owners))
	for _, owner := range owners {
		go func() { results <- s.askOwner(ctx, owner, stream, service) }()
	}
	best := relay.FoundOrigin{Source: relay.OriginUnknown}
	answers := 0
	for range owners {
		found := <-results
		answers += found.Answers
		if found.Source == relay.OriginRecorded {
			found.Answers = answers
			return found
		}
		if found.Source == relay.OriginOnlyRelease {
			best = found
		}
	}
	best.Answers = answers
	return best
}

// askOwner asks one box for the origin of a stream.
func (s streamOrigins) askOwner(ctx context.Context, owner members.Box, stream fingerprint.Fingerprint, service string) relay.FoundOrigin {
	var answer wire.StreamOriginAnswer
	err := s.peers.CallIdempotent(ctx, owner.Address, peer.StreamOrigin, wire.StreamOriginAsk{Box: s.config.Box, Stream: stream.String(), Service: service}, &answer)
	found := relay.FoundOrigin{Origin: origins.Origin{Service: answer.Service, Release: answer.Release}, Source: relay.OriginUnknown, Peer: owner.Name, Answers: 1}
	switch {
	case err != nil:
		if ctx.Err() == nil {
			s.log.WithError(err).WithField("peer", owner.Name).Warn("origin_not_asked")
		}
		found.Answers = 0
	case answer.Known:
		found.Source = relay.OriginRecorded
	case answer.Single:
		found.Source = relay.OriginOnlyRelease
	}
	return found
}

// RecordOriginsFor implements edgerpc.Box.
func (e *Edge) RecordOriginsFor(list wire.StreamOrigins) {
	now := time.Now()
	for _, r := range list.Origins {
		stream, err := fingerprint.Parse(r.Stream)
		if err != nil {
			e.log.WithError(err).WithField("peer", list.Box).Warn("origin_skipped")
			continue
		}
		e.origins.Add(now, origins.Record{Stream: stream, Origin: origins.Origin{Service: r.Service, Release: r.Release}})
	}
}

// StreamOriginFor implements edgerpc.Box.
func (e *Edge) StreamOriginFor(ask wire.StreamOriginAsk) wire.StreamOriginAnswer {
	e.timer.Check()
	now := time.Now()
	if stream, err := fingerprint.Parse(ask.Stream); err == nil {
		if o, known := e.origins.Get(stream); known {
			return wire.StreamOriginAnswer{Known: true, Service: o.Service, Release: o.Release}
		}
	}
	release, single := e.singleRelease(now, ask.Service)
	if !single || !e.isFleetCurrent(now) {
		return wire.StreamOriginAnswer{}
	}
	return wire.StreamOriginAnswer{Service: ask.Service, Release: release, Single: true}
}
