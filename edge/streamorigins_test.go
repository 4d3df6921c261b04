package edge

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/exchange"
	"petrelstep/members"
	"petrelstep/origins"
	"petrelstep/peer"
	"petrelstep/refusal"
)

// begin begins a stream at a box, which is killed after a while. It returns the last event
// that the caller has and the release that wrote it.
func (s *streams) begin(at *Edge, id string, while time.Duration) (last int, release string) {
	time.AfterFunc(while, func() { s.killBox(at) })
	a := s.request(at, id, exchange.NoEvent, "")
	return a.last, strings.Join(a.releases, " ")
}

// beginBeforeReplacement begins a stream that breaks off, and replaces all engines by ones of v2.
func (s *streams) beginBeforeReplacement(id string) (last int, release string) {
	last, release = s.begin(s.cluster.all[0], id, 500*time.Millisecond)
	old := s.ofRelease("v1")
	s.startEngines(4, "v2")
	time.Sleep(time.Second)
	for _, e := range old {
		s.announceLeaving(e)
	}
	time.Sleep(noticeTime + time.Second)
	return last, release
}

// restart kills all boxes and starts them again.
func (s *streams) restart(ctx context.Context) {
	restartFleet(ctx, s.cluster.tb, s.cluster, nil)
	for _, e := range s.cluster.all {
		s.connect(e)
		s.use(ctx, e)
	}
}

// other returns a running box other than some.
func (s *streams) other(than ...*Edge) *Edge {
	all := s.cluster.running()
	return all[slices.IndexFunc(all, func(e *Edge) bool { return !slices.Contains(than, e) })]
}

// resumption is a stream that its caller resumes.
type resumption struct {
	releases []string
	resume   func(ctx context.Context, s *streams) (a *streamCaller, release string)
	want     refusal.Reason // empty if it goes on
	later    bool           // the refusal has a Retry-After
}

var resumptions = map[string]resumption{
	"at another box, at once": {releases: []string{"v1", "v2"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"the box is killed with its first event": {releases: []string{"v1", "v2"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 215*time.Millisecond)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"a third try": {releases: []string{"v1", "v2"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		second := s.other()
		time.AfterFunc(600*time.Millisecond, func() { s.killBox(second) })
		a := s.request(second, "second", last, "first")
		return s.request(s.other(), "third", a.last, "first"), release
	}},
	"at a box that has just started": {releases: []string{"v1", "v2"}, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		startNewBox(ctx, s.cluster.tb, s.cluster, nil)
		fresh := s.cluster.all[len(s.cluster.all)-1]
		s.connect(fresh)
		s.use(ctx, fresh)
		s.cluster.waitAll(s.cluster.tb, "serves", 5*time.Second, (*Edge).ready)
		return s.request(fresh, "second", last, "first"), release
	}},
	"begun before the other release": {releases: []string{"v1"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		time.AfterFunc(300*time.Millisecond, func() { s.startEngines(4, "v2") })
		last, release := s.begin(s.cluster.all[0], "first", 3*time.Second)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"without Resumes": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(s.other(), "second", last, ""), release
	}},
	"without Resumes, one release": {releases: []string{"v1"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		time.Sleep(origins.Retention)
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(s.other(), "second", last, ""), release
	}},
	"without Resumes, no releases": {releases: []string{""}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		time.Sleep(origins.Retention)
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(s.other(), "second", last, ""), release
	}},
	"of its own id": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(s.other(), "first", last, "first"), release
	}},
	"of an id that is too long": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		id := strings.Repeat("f", 300)
		last, release := s.begin(s.cluster.all[0], id, 500*time.Millisecond)
		return s.request(s.other(), "second", last, id), release
	}},
	"of an id that nobody used": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		return s.request(s.other(), "second", 3, "first"), ""
	}},
	"of another organisation": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.requestBy("other", s.other(), "second", last, "first"), release
	}},
	"of an id that began two streams": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		for _, release := range []string{"v1", "v2"} {
			record := origins.Record{Stream: origins.KeyOf("council", "first"), Origin: origins.Origin{Service: "llm", Release: release}}
			s.cluster.all[0].newStreamOrigins().Began(s.boxes[s.cluster.all[0]], record)
		}
		return s.request(s.cluster.all[1], "second", 3, "first"), ""
	}},
	"its release has left": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseGone, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		for _, e := range s.ofRelease(release) {
			s.announceLeaving(e)
		}
		time.Sleep(time.Second)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"all boxes were killed": {releases: []string{"v1", "v2"}, want: refusal.StreamReleaseUnknown, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		s.restart(ctx)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"all boxes were killed, its release has left": {releases: []string{"v1"}, want: refusal.StreamReleaseUnknown, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.beginBeforeReplacement("first")
		s.restart(ctx)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"all boxes were killed twice, its release has left": {releases: []string{"v1"}, want: refusal.StreamReleaseUnknown, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.beginBeforeReplacement("first")
		s.restart(ctx)
		time.Sleep(2 * time.Second)
		s.restart(ctx)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"all boxes were killed, its release has left, its callers try on": {releases: []string{"v1"}, want: refusal.StreamReleaseUnknown, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.beginBeforeReplacement("first")
		s.restart(ctx)
		time.Sleep(30 * time.Second) // over twice the route's time limit
		return s.request(s.other(), "second", last, "first"), release
	}},
	"all boxes were killed, its release has left, the time limit is lowered": {releases: []string{"v1"}, want: refusal.StreamReleaseUnknown, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.beginBeforeReplacement("first")
		s.restart(ctx)
		s.cluster.table.put("op", "config", strings.NewReplacer(`"stride":4}`, movingEngines, `"version":3`, `"version":5`, `"timeout_ms":6000`, `"timeout_ms":1500`).Replace(enginesConfiguration))
		time.Sleep(4 * time.Second)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"all boxes were killed, the first to return is asked": {releases: []string{"v1"}, want: refusal.StreamReleaseUnknown, resume: func(ctx context.Context, s *streams) (*streamCaller, string) {
		last, release := s.beginBeforeReplacement("first")
		for _, e := range s.cluster.running()[1:] {
			s.killBox(e)
		}
		s.restart(ctx)
		time.Sleep(14 * time.Second)
		for _, e := range s.cluster.running()[1:] {
			s.killBox(e)
		}
		startNewBox(ctx, s.cluster.tb, s.cluster, nil)
		fresh := s.cluster.all[len(s.cluster.all)-1]
		s.connect(fresh)
		s.use(ctx, fresh)
		s.cluster.waitAll(s.cluster.tb, "serves", 5*time.Second, (*Edge).ready)
		return s.request(fresh, "second", last, "first"), release
	}},
	"the name of its release comes back": {releases: []string{"v1"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		last, release := s.beginBeforeReplacement("first")
		s.startEngines(2, "v1")
		time.Sleep(2 * time.Second)
		return s.request(s.other(), "second", last, "first"), release
	}},
	"at a box that is cut off": {releases: []string{"v1"}, want: refusal.StreamReleaseUnknown, later: true, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		cut := s.cluster.all[5]
		time.Sleep(origins.Retention)
		s.cutOff(cut)
		time.Sleep(500 * time.Millisecond)
		s.startEngines(4, "v2")
		time.Sleep(1500 * time.Millisecond)
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(cut, "second", last, "first"), release
	}},
	"at a box that is cut off, of its own stream": {releases: []string{"v1", "v2"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		cut := s.cluster.all[5]
		s.cutOff(cut)
		ctx, end := context.WithCancel(s.boxes[cut])
		time.AfterFunc(500*time.Millisecond, end)
		a := s.requestIn(ctx, "key", cut, "first", exchange.NoEvent, "")
		return s.request(cut, "second", a.last, "first"), a.releases[0]
	}},
	"the store is down, one release": {releases: []string{"v1"}, resume: func(_ context.Context, s *streams) (*streamCaller, string) {
		time.Sleep(origins.Retention)
		s.cluster.table.setSilent(true)
		time.Sleep(2 * time.Second)
		last, release := s.begin(s.cluster.all[0], "first", 500*time.Millisecond)
		return s.request(s.other(), "second", last, "first"), release
	}},
}

// TestResumptions checks which resumptions of callers go on, and where.
func TestResumptions(t *testing.T) {
	for name, tt := range resumptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				s := newStreams(ctx, t, 6, 4, tt.releases...)
				a, release := tt.resume(ctx, s)
				is.Equal(a.refused.Reason(), tt.want)
				is.Equal(a.refused.RetryAfter() > 0, tt.later)
				if tt.want == "" {
					is.Equal(a.last, s.events-1)
					is.Equal(strings.Join(a.releases, " "), release)
				}
				s.stop(end)
			})
		})
	}
}

// cutOff cuts a box off the other boxes and the store.
func (s *streams) cutOff(e *Edge) {
	s.cluster.mu.Lock()
	s.cluster.isolated[e.record.Address] = true
	s.cluster.mu.Unlock()
	s.cluster.table.setCutOff(func(box string) bool { return box == e.Name() })
}

// TestOriginCalls checks that boxes make no calls for the origins of streams once a service has
// had one release for some time.
func TestOriginCalls(t *testing.T) {
	for name, tt := range map[string]struct {
		releases []string
		calls    bool
	}{
		"one release":  {[]string{"v1"}, false},
		"no releases":  {[]string{""}, false},
		"two releases": {[]string{"v1", "v2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				s := newStreams(ctx, t, 6, 4, tt.releases...)
				time.Sleep(origins.Retention)
				s.load(ctx)
				is.Equal(s.counts.complete, s.counts.sent)
				s.cluster.mu.Lock()
				calls := s.cluster.methods[peer.RecordOrigins] + s.cluster.methods[peer.StreamOrigin]
				s.cluster.mu.Unlock()
				is.Equal(calls > 0, tt.calls)
				is.True(calls <= originOwners*s.counts.sent)
				s.stop(end)
			})
		})
	}
}

// TestOriginOwnersLost checks that the origin of a stream is known while one of the boxes that
// record it lives.
func TestOriginOwnersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		s := newStreams(ctx, t, 77, 4, "v1", "v2")
		first := s.cluster.all[0]
		owners := first.newStreamOrigins().originOwnersOf(time.Now(), origins.KeyOf("council", "first"))
		is.True(len(owners) >= originOwners-1)
		last, release := s.begin(first, "first", 500*time.Millisecond)
		for _, e := range s.cluster.running() {
			if slices.ContainsFunc(owners[1:], func(b members.Box) bool { return b.Name == e.Name() }) {
				s.killBox(e)
			}
		}
		a := s.request(s.other(), "second", last, "first")
		is.Equal(a.last, s.events-1)
		is.Equal(strings.Join(a.releases, " "), release)
		s.stop(end)
	})
}
