package fleet

import (
	"slices"
	"time"
)

// Releases says which releases of a service's upstreams take requests. Values are
// immutable; the zero value lets all take them.
type Releases struct {
	Only   string   // if not empty, the only release that takes requests
	Except []string // releases that take no requests
	Trial  string   // release that takes only requests drawn for it; not served otherwise
}

// isZero reports whether all releases take requests.
func (r Releases) isZero() bool { return r.Only == "" && r.Trial == "" && len(r.Except) == 0 }

func (r Releases) equal(o Releases) bool {
	return r.Only == o.Only && r.Trial == o.Trial && slices.Equal(r.Except, o.Except)
}

// serves reports whether a release takes requests that are not drawn for it.
func (r Releases) serves(release string) bool {
	switch {
	case r.Only != "":
		return release == r.Only && !slices.Contains(r.Except, release)
	case r.Trial != "" && release == r.Trial:
		return false
	}
	return !slices.Contains(r.Except, release)
}

// tries reports whether a release takes only requests drawn for it.
func (r Releases) tries(release string) bool {
	return r.Trial != "" && release == r.Trial && r.Only != release && !slices.Contains(r.Except, release)
}

// names reports whether an order concerns a release.
func (r Releases) names(release string) bool {
	return release == r.Only || release == r.Trial || slices.Contains(r.Except, release)
}

// policy is the releases of a service that take requests.
type policy struct {
	Releases
	onlySince time.Time // when Only was set
}

// releases is what the fleet knows about the releases of services.
type releases struct {
	policies map[string]policy // by service; none for a service whose releases all take requests
	holdFor  time.Duration     // see HoldNewReleases; 0 for never
	recent   map[string]*entry // upstreams whose release has been known for less than holdFor, by id
	held     map[string]bool   // services and releases, see holdKey; computed when needed
	trial    map[string]*serving
}

func newReleases() releases {
	return releases{policies: map[string]policy{}, recent: map[string]*entry{}, held: map[string]bool{}, trial: map[string]*serving{}}
}

// markChanged invalidates a changed upstream in the cached lists of releases on trial.
func (r *releases) markChanged(before, after Upstream) {
	if len(r.trial) == 0 || before == after {
		return
	}
	for _, service := range []string{before.Service, after.Service} {
		if s, ok := r.trial[service]; ok {
			s.changed[after.ID] = true
		}
	}
}

// SetReleases sets which releases of a service's upstreams take requests.
func (f *Fleet) SetReleases(now time.Time, service string, r Releases) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.releases.policies[service]
	if old.equal(r) {
		return
	}
	r.Except = slices.Clone(r.Except)
	p := policy{Releases: r, onlySince: now}
	if r.Only == old.Only {
		p.onlySince = old.onlySince
	}
	f.releases.policies[service] = p
	if r.isZero() {
		delete(f.releases.policies, service)
	}
	delete(f.index.serving, service)
	delete(f.releases.trial, service)
	clear(f.releases.held)
}

// HoldNewReleases sets for how long a release that no open upstream of its service had
// before is not served, so that an order about it can arrive first; 0 for not at all. It
// is served at once if the service has no other upstream that takes requests. What was
// known before the first Confirm is not new.
func (f *Fleet) HoldNewReleases(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases.holdFor = d
}

// Trial returns the upstreams of a service that take only requests drawn for them, sorted
// by id; nil without a release on trial. The returned slice is shared and must not be
// modified.
func (f *Fleet) Trial(service string) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.releases.policies[service].Trial == "" {
		return nil
	}
	return f.cached(f.releases.trial, service, f.tries)
}

// OtherReleases returns the upstreams of a service that are not leaving and not of a
// release, sorted by id.
func (f *Fleet) OtherReleases(service, release string) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list(func(e *entry) bool {
		return e.upstream.Service == service && e.upstream.Release != release && e.upstream.State != Leaving
	})
}

// Serves reports whether an upstream takes requests that are not drawn for its release:
// whether Serving lists it.
func (f *Fleet) Serves(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[id]
	return ok && f.serves(e.upstream)
}

// IsVacated reports whether the runs of an upstream are to be moved off: it is leaving, no
// longer known, or of a release that takes no requests.
func (f *Fleet) IsVacated(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.all[id]
	if !ok || e.upstream.State == Leaving {
		return true
	}
	p, ok := f.releases.policies[e.upstream.Service]
	return ok && !p.serves(e.upstream.Release) && !p.tries(e.upstream.Release)
}

// serves reports whether an upstream takes requests that are not drawn for its release.
func (f *Fleet) serves(u Upstream) bool {
	if !f.acceptsWork(u) {
		return false
	}
	if len(f.releases.policies) > 0 {
		if p, ok := f.releases.policies[u.Service]; ok && !p.serves(u.Release) {
			return false
		}
	}
	return len(f.releases.recent) == 0 || f.releases.recent[u.ID] == nil || !f.isHeld(u.Service, u.Release)
}

// tries reports whether an upstream takes requests drawn for its release.
func (f *Fleet) tries(u Upstream) bool {
	return len(f.releases.policies) > 0 && f.acceptsWork(u) && f.releases.policies[u.Service].tries(u.Release)
}

// holdKey returns the key of a release of a service.
func holdKey(service, release string) string { return service + "\x00" + release }

// isHeld reports whether a release is new beside another one of its service, and not named
// in the service's policy.
func (f *Fleet) isHeld(service, release string) bool {
	held, ok := f.releases.held[holdKey(service, release)]
	if !ok {
		held = !f.releases.policies[service].names(release) && f.isNewRelease(service, release)
		f.releases.held[holdKey(service, release)] = held
	}
	return held
}

// isNewRelease reports whether all upstreams of a release have only just been known, and
// another release of the service takes requests.
func (f *Fleet) isNewRelease(service, release string) bool {
	others := false
	for id, e := range f.all {
		u := e.upstream
		if u.Service != service || f.releases.recent[id] != nil || !f.acceptsWork(u) || !f.releases.policies[service].serves(u.Release) {
			continue
		}
		if u.Release == release {
			return false
		}
		others = true
	}
	return others
}

// recordRelease notes when a known upstream changes to another release, and when an
// upstream becomes known.
func (f *Fleet) recordRelease(now time.Time, e *entry, before, after Upstream) {
	isNew := before.ID == "" || before.Release != "" && before.Release != after.Release
	if !isNew || f.releases.holdFor == 0 || after.Release == "" || f.confirmed.IsZero() {
		return
	}
	e.releaseSince = now
	f.releases.recent[after.ID] = e
	f.forgetHolds()
}

// expireHolds ends the holds of releases that have been known for long enough.
func (f *Fleet) expireHolds(now time.Time) {
	expired := 0
	for id, e := range f.releases.recent {
		if now.Sub(e.releaseSince) >= f.releases.holdFor || f.all[id] != e {
			delete(f.releases.recent, id)
			f.index.markForRefresh(e.upstream)
			expired++
		}
	}
	if expired > 0 {
		f.forgetHolds()
	}
}

// forgetHolds discards which releases are held, and refreshes the lists that depend on it.
func (f *Fleet) forgetHolds() {
	if len(f.releases.recent) == 0 && len(f.releases.held) == 0 {
		return
	}
	clear(f.releases.held)
	for _, e := range f.releases.recent {
		f.index.markForRefresh(e.upstream)
	}
}
