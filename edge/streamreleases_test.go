package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/evacuate"
	"petrelstep/exchange"
	"petrelstep/refusal"
)

const (
	// copyTime and stopTime are how long engines take to copy a run, and to stop it and copy
	// the rest.
	copyTime = 200 * time.Millisecond
	stopTime = 20 * time.Millisecond
	// noticeTime is how long an engine runs after it has announced that it leaves.
	noticeTime = 1500 * time.Millisecond
	// streamRate is the number of streams that begin in a second.
	streamRate = 20
	// streamTries bounds the requests of a caller for one stream.
	streamTries = 3
	// callerPause is how long a caller waits before it resumes a stream.
	callerPause = 50 * time.Millisecond
	// loadTime is how long callers send requests in a test.
	loadTime = 10 * time.Second
)

const movingEngines = `"stride":4,"moves":true}`

// Move implements evacuate.Mover.
func (w *engines) Move(ctx context.Context, source, run, _ string, last bool) (evacuate.CopyResult, error) {
	took := copyTime
	if last {
		took = stopTime
	}
	if err := sleep(ctx, took); err != nil {
		return evacuate.CopyResult{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.running {
		for r := range e.runs {
			if e.address != source || r.ID != run {
				continue
			}
			if last {
				close(w.stops[run])
			}
			return evacuate.CopyResult{Copy: exchange.Copy{Holder: source, ID: run}}, nil
		}
	}
	return evacuate.CopyResult{}, evacuate.ErrNoRun
}

// Release implements evacuate.Mover.
func (*engines) Release(context.Context, exchange.Copy) error { return nil }

// streamCaller records the events of one answer.
type streamCaller struct {
	memCaller
	last     int      // id of the last event
	releases []string // that wrote events, in order
}

// Write implements exchange.Caller.
func (a *streamCaller) Write(p []byte) error {
	release := ""
	if _, err := fmt.Sscanf(string(p), "id: %d\ndata: %s", &a.last, &release); err != nil && !strings.HasSuffix(string(p), "data: \n\n") {
		return err
	}
	if !slices.Contains(a.releases, release) {
		a.releases = append(a.releases, release)
	}
	return nil
}

// streamCounts counts the streams of many callers.
type streamCounts struct {
	mu                        sync.Mutex
	mixed                     int // streams with events of several releases
	sent, begun               int // first requests, and those that brought an event
	resumed, resumedAtTwo, on int // resumptions; those while two engines of their release serve, and of these the ones that go on
	complete                  int
	refused                   map[refusal.Reason]int // resumptions
}

// streams are callers of streams at the boxes of a cluster.
type streams struct {
	*engines
	counts  streamCounts
	boxMu   sync.Mutex
	boxes   map[*Edge]context.Context
	kills   map[*Edge]context.CancelFunc
	resumes func(first string) string // the value of Resumes in a resumption
}

// newStreams starts boxes and engines of some releases, by name.
func newStreams(ctx context.Context, t testing.TB, boxes, perRelease int, releases ...string) *streams {
	t.Helper()
	w := newEngines(ctx, t, boxes, 0)
	s := &streams{engines: w, boxes: map[*Edge]context.Context{}, kills: map[*Edge]context.CancelFunc{}, resumes: func(first string) string { return first }}
	s.counts.refused = map[refusal.Reason]int{}
	w.events = longAnswer
	w.cluster.table.put("op", "config", strings.Replace(strings.Replace(enginesConfiguration, `"stride":4}`, movingEngines, 1), `"version":3`, `"version":4`, 1))
	for _, e := range w.cluster.all {
		s.use(ctx, e)
	}
	s.startEngines(perRelease, releases...)
	time.Sleep(3 * time.Second)
	return s
}

// startEngines starts engines of some releases.
func (s *streams) startEngines(perRelease int, releases ...string) {
	for _, release := range releases {
		for i := range perRelease {
			s.startRelease(fmt.Sprint("hall", i%3), release)
		}
	}
}

// use makes a box move runs between the engines, and its answers end when it is killed.
func (s *streams) use(ctx context.Context, e *Edge) {
	e.evacuator.Mover, e.relay.Mover = s.engines, s.engines
	e.fleet.Subscribe(e.departed(ctx))
	s.boxMu.Lock()
	defer s.boxMu.Unlock()
	s.boxes[e], s.kills[e] = context.WithCancel(ctx)
}

// killBox kills a box and the connections of its callers.
func (s *streams) killBox(e *Edge) {
	s.cluster.kill(e)
	s.boxMu.Lock()
	defer s.boxMu.Unlock()
	s.kills[e]()
}

// countServing returns the number of engines of a release that serve.
func (s *streams) countServing(release string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.running {
		if e.release == release && !e.leaving {
			n++
		}
	}
	return n
}

// request sends one request of a stream.
func (s *streams) request(e *Edge, id string, after int, resumes string) *streamCaller {
	return s.requestBy("key", e, id, after, resumes)
}

// requestBy sends one request of a stream with a key.
func (s *streams) requestBy(key string, e *Edge, id string, after int, resumes string) *streamCaller {
	s.boxMu.Lock()
	ctx := s.boxes[e]
	s.boxMu.Unlock()
	return s.requestIn(ctx, key, e, id, after, resumes)
}

// requestIn sends one request of a stream, whose caller leaves when ctx ends.
func (*streams) requestIn(ctx context.Context, key string, e *Edge, id string, after int, resumes string) *streamCaller {
	a := &streamCaller{last: after}
	e.relay.Serve(ctx, &exchange.Request{
		ID: id, Arrived: time.Now(), Host: "h", Path: "/check/", Key: key, Wait: 6 * time.Second, Prompt: 2000, MaxTokens: 240,
		After: after, Resumes: resumes, Content: contentOf(id),
	}, a)
	return a
}

// follow reads one stream to its end, and resumes it at other boxes.
func (s *streams) follow(name string, random *rand.Rand) {
	first, last, releases := "", exchange.NoEvent, []string(nil)
	for try := range streamTries {
		boxes := s.cluster.running()
		id := fmt.Sprint(name, "-", try)
		serving := 0
		if len(releases) > 0 {
			serving = s.countServing(releases[0])
		}
		a := s.request(boxes[random.IntN(len(boxes))], id, last, s.resumes(first))
		s.count(try, first != "", serving >= 2, a, last)
		if a.last > last {
			releases = append(releases, a.releases...)
			last = a.last
			if first == "" {
				first = id
			}
		}
		if last == s.events-1 || a.status != 0 && a.status != http.StatusOK && a.refused.RetryAfter() == 0 {
			break
		}
		time.Sleep(callerPause + a.refused.RetryAfter())
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	slices.Sort(releases)
	if len(slices.Compact(releases)) > 1 {
		s.counts.mixed++
	}
	if last == s.events-1 {
		s.counts.complete++
	}
}

// count counts one request.
func (s *streams) count(try int, resumption, atTwo bool, a *streamCaller, last int) {
	c := &s.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	goesOn := a.last > last
	switch {
	case resumption:
		c.resumed++
		if atTwo {
			c.resumedAtTwo++
		}
		if atTwo && goesOn {
			c.on++
		}
		if !goesOn {
			c.refused[a.refused.Reason()]++
		}
	case try == 0:
		c.sent++
		if goesOn {
			c.begun++
		}
	}
}

// load begins streams at random boxes for loadTime and waits for their ends.
func (s *streams) load(ctx context.Context) {
	var all sync.WaitGroup
	for n := range int(loadTime/time.Second) * streamRate {
		all.Go(func() { s.follow(fmt.Sprint("stream", n), rand.New(rand.NewPCG(uint64(n), 4))) })
		if sleep(ctx, time.Second/streamRate) != nil {
			break
		}
	}
	all.Wait()
}

// announceLeaving makes an engine leave after its notice.
func (s *streams) announceLeaving(e *engine) {
	s.mu.Lock()
	e.leaving = true
	s.mu.Unlock()
	s.cluster.table.put("servers", e.id, e.row("draining"))
	time.AfterFunc(noticeTime, func() {
		s.mu.Lock()
		delete(s.running, e.id)
		close(e.ended)
		s.mu.Unlock()
		s.cluster.table.remove("servers", e.id)
	})
}

// ofRelease returns the running engines of a release.
func (s *streams) ofRelease(release string) []*engine {
	return slices.DeleteFunc(s.live(), func(e *engine) bool { return e.release != release || e.leaving })
}

// replaceEngines replaces the engines of v1 by ones of v2, one after the other.
func (s *streams) replaceEngines(ctx context.Context) {
	for _, e := range s.ofRelease("v1") {
		s.startEngines(1, "v2")
		if sleep(ctx, 900*time.Millisecond) != nil {
			return
		}
		s.announceLeaving(e)
	}
}

// crashEngines crashes an engine of each release by turns, which start again with it.
func (s *streams) crashEngines(ctx context.Context) {
	random := rand.New(rand.NewPCG(2, 2))
	for i := 0; sleep(ctx, 700*time.Millisecond) == nil; i++ {
		if of := s.ofRelease(fmt.Sprint("v", 1+i%2)); len(of) >= 3 {
			s.crash(of[random.IntN(len(of))])
		}
	}
}

// killBoxes kills boxes, half of all at most.
func (s *streams) killBoxes(ctx context.Context) {
	random := rand.New(rand.NewPCG(6, 6))
	for left := max(len(s.cluster.running())/2, 1); left > 0 && sleep(ctx, 900*time.Millisecond) == nil; {
		for range max(left/4, 1) {
			all := s.cluster.running()
			s.killBox(all[random.IntN(len(all))])
			left--
		}
	}
}

// streamTest is a test of callers that read streams under faults.
type streamTest struct {
	boxes    int
	releases []string
	faults   func(s *streams, ctx context.Context)
}

// run checks that no stream holds events of two releases, and that streams go on where two
// engines of their release serve.
func (tt streamTest) run(t *testing.T) {
	is := is.New(t)
	ctx, end := context.WithCancel(t.Context())
	s := newStreams(ctx, t, tt.boxes, 4, tt.releases...)
	go tt.faults(s, ctx)
	s.load(ctx)
	s.stop(end)
	c := &s.counts
	t.Logf("%d streams, %d of them begin at once, %d complete, %d mixed; %d resumptions, %d of %d go on while two engines of their release serve; refused: %v",
		c.sent, c.begun, c.complete, c.mixed, c.resumed, c.on, c.resumedAtTwo, c.refused)
	is.Equal(c.mixed, 0)
	is.True(2*c.on*c.sent >= c.begun*c.resumedAtTwo)
}

// TestMovesKeepRelease checks that no stream is moved to an engine of another release.
func TestMovesKeepRelease(t *testing.T) {
	for name, tt := range map[string]streamTest{
		"6 boxes, engines are replaced":  {6, []string{"v1"}, (*streams).replaceEngines},
		"77 boxes, engines are replaced": {77, []string{"v1"}, (*streams).replaceEngines},
		"one release, engines leave":     {6, []string{"v1"}, (*streams).removeEngines},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

// TestResumptionsKeepRelease checks that no stream is resumed at an engine of another release,
// by the box that serves it or by its caller at another one.
func TestResumptionsKeepRelease(t *testing.T) {
	for name, tt := range map[string]streamTest{
		"6 boxes, engines crash":        {6, []string{"v1", "v2"}, (*streams).crashEngines},
		"6 boxes, boxes are killed":     {6, []string{"v1", "v2"}, (*streams).killBoxes},
		"77 boxes, boxes are killed":    {77, []string{"v1", "v2"}, (*streams).killBoxes},
		"300 boxes, boxes are killed":   {300, []string{"v1", "v2"}, (*streams).killBoxes},
		"one release, boxes are killed": {6, []string{"v1"}, (*streams).killBoxes},
		"no releases, boxes are killed": {6, []string{""}, (*streams).killBoxes},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

// removeEngines makes engines of the only release leave.
func (s *streams) removeEngines(ctx context.Context) {
	for _, e := range s.ofRelease("v1")[2:] {
		s.announceLeaving(e)
		if sleep(ctx, 2*time.Second) != nil {
			return
		}
	}
}
