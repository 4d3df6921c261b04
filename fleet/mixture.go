package fleet

import (
	"slices"
	"time"
)

// mixture counts the known upstreams of a service by release, whatever their state.
type mixture struct {
	counts  map[string]int
	changed time.Time // when the set of releases last changed
}

// countRelease adds n upstreams of a release to a service.
func (f *Fleet) countRelease(now time.Time, u Upstream, n int) {
	m, ok := f.mixtures[u.Service]
	if !ok {
		m = &mixture{counts: map[string]int{}}
		f.mixtures[u.Service] = m
	}
	before := m.counts[u.Release]
	m.counts[u.Release] += n
	if m.counts[u.Release] == 0 {
		delete(m.counts, u.Release)
	}
	if (before == 0) != (m.counts[u.Release] == 0) {
		m.changed = now
	}
	if len(m.counts) == 0 {
		delete(f.mixtures, u.Service)
	}
}

// updateMixture applies the change of an upstream to the releases of its service. The
// upstream before is empty if it was not known.
func (f *Fleet) updateMixture(now time.Time, before, after Upstream) {
	if before.ID != "" && before.Service == after.Service && before.Release == after.Release {
		return
	}
	f.countRelease(now, after, 1)
	if before.ID != "" {
		f.countRelease(now, before, -1)
	}
}

// Uniform returns the release of a service's upstreams, empty if it is unknown, and when
// that became the only one. Upstreams that are leaving count for as long as they are
// remembered. It reports false if there are several releases, or no upstreams.
func (f *Fleet) Uniform(service string) (release string, since time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.mixtures[service]
	if !known || len(m.counts) != 1 {
		return "", time.Time{}, false
	}
	for r := range m.counts {
		release = r
	}
	return release, m.changed, true
}

// Continues reports whether a stream that an upstream of a release began can go on: whether
// one of that release takes requests. A stream of unknown release can if the service has no
// other one. The upstreams in except do not count.
func (f *Fleet) Continues(service, release string, except ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.mixtures[service]; release == "" && m != nil && len(m.counts) > 1 {
		return false
	}
	for _, u := range f.cached(f.index.serving, service, f.serves) {
		if u.Release == release && !slices.Contains(except, u.ID) {
			return true
		}
	}
	return false
}
