package relay

import (
	"context"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/fingerprint"
	"petrelstep/fleet"
	"petrelstep/origins"
	"petrelstep/quarantine"
	"petrelstep/refusal"
)

// maxResumesBytes bounds the id of the request that a caller names as the one that began its
// stream.
const maxResumesBytes = 200

// Origins knows which releases began the streams of all boxes.
type Origins interface {
	// Began records which release began a stream, before its first event is forwarded. It
	// returns when another box has it, or after a short time.
	Began(ctx context.Context, r origins.Record)
	// Find returns which release began a stream that a caller resumes. service is that of
	// its route.
	Find(ctx context.Context, stream fingerprint.Fingerprint, service string) FoundOrigin
}

// OriginSource says how the origin of a stream is known.
type OriginSource string

// The sources.
const (
	OriginRecorded    OriginSource = "recorded"     // a box recorded it
	OriginOnlyRelease OriginSource = "only_release" // the service has had no other release while the stream can have begun
	OriginUnknown     OriginSource = "unknown"
)

// FoundOrigin is what is known of a stream's origin. Values are immutable.
type FoundOrigin struct {
	origins.Origin
	Source  OriginSource
	Peer    string // the box that knows it
	Answers int    // boxes that answered
}

// ReleaseError says that an upstream is of another release than the one that began the
// stream.
type ReleaseError struct{ Upstream, Release, Expected string }

// Error implements error.
func (e *ReleaseError) Error() string {
	return "upstream " + e.Upstream + " is of release " + e.Release + "; the stream began at release " + e.Expected
}

// origin is the release that wrote the events of a stream that the caller has. Releases
// write streams differently, so that a stream goes on at its own only. The zero value is
// that of a stream without events, which any release may begin.
type origin struct {
	begun   bool
	release string // empty if it is unknown
}

// bindRelease records which release writes a stream, before its first event is forwarded.
func (r *Relay) bindRelease(ctx context.Context, j *job, u fleet.Upstream) {
	if j.origin.begun {
		return
	}
	j.origin = origin{begun: true, release: u.Release}
	if known, ok := r.Fleet.Get(u.ID); ok && known.Release != u.Release { // its entry changed while it ran the request
		j.origin.release = ""
	}
	if r.Origins != nil && j.route.Resumable {
		r.Origins.Began(ctx, origins.Record{Stream: origins.KeyOf(j.organisation, j.req.ID), Origin: origins.Origin{Service: u.Service, Release: j.origin.release}})
	}
}

// findOrigin finds out which release began the stream that a caller resumes, and binds the
// request to it. The error is a refusal: what is not known is not guessed, as no upstream
// would notice that it goes on with another release's events.
func (r *Relay) findOrigin(ctx context.Context, j *job) error {
	if r.Origins == nil || j.req.After == exchange.NoEvent {
		return nil
	}
	found := r.Origins.Find(ctx, origins.KeyOf(j.organisation, j.resumedID()), j.service.Name)
	r.Metrics.OriginFound(string(found.Source))
	j.log = j.log.WithFields(logrus.Fields{"origin": found.Source, "origin_service": found.Service, "origin_release": found.Release, "origin_peer": found.Peer})
	if found.Source == OriginUnknown {
		j.log.WithField("answers", found.Answers).Info("origin_unknown")
		refused := refusal.New(refusal.StreamReleaseUnknown, "it is not known which release began the stream")
		if found.Answers == 0 { // another box may reach those that know it
			refused = refused.WithRetryAfter(retryAfterOtherBox)
		}
		return refused
	}
	j.origin = origin{begun: true, release: found.Release}
	return r.useService(j, found.Service)
}

// resumedID returns the id of the request that began the stream which a request resumes;
// empty if the caller names none, or none that can be.
func (j *job) resumedID() string {
	if len(j.req.Resumes) > maxResumesBytes || j.req.Resumes == j.req.ID {
		return ""
	}
	return j.req.Resumes
}

// useService makes a resumption go to the service that began the stream, if the route still
// leads there.
func (r *Relay) useService(j *job, name string) error {
	if name == j.service.Name {
		return nil
	}
	service, ok := j.table.Service(name)
	if !ok || !j.route.LeadsTo(name) {
		return refusal.New(refusal.StreamReleaseGone, "the route no longer leads to the service that began the stream")
	}
	j.service = service
	j.parts = quarantine.PartsOf(service.Name, j.req.Model, j.req.SharedParts())
	return nil
}

// continuesAt reports whether a stream may go on at an upstream. A stream of unknown
// release may if the service has no other.
func (r *Relay) continuesAt(j *job, u fleet.Upstream) bool {
	switch known, ok := r.Fleet.Get(u.ID); {
	case !j.origin.begun:
		return true
	case ok && known.Release != u.Release:
		return false
	case j.origin.release != "":
		return u.Release == j.origin.release
	}
	release, _, uniform := r.Fleet.Uniform(j.service.Name)
	return uniform && release == ""
}

// releaseServes reports whether an upstream that was not tried yet may take the stream up.
func (r *Relay) releaseServes(j *job) bool {
	return !j.origin.begun || r.Fleet.Continues(j.service.Name, j.origin.release, j.avoid()...)
}

// checkRelease refuses a stream at once if no upstream may take it up.
func (r *Relay) checkRelease(j *job) error {
	if r.releaseServes(j) {
		return nil
	}
	j.log.WithFields(logrus.Fields{"origin_release": j.origin.release, "tried": len(j.tried)}).Info("release_gone")
	return refusal.New(refusal.StreamReleaseGone, "no upstream of the release that began the stream takes requests")
}
