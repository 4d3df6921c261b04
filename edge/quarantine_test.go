package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"petrelstep/fingerprint"
	"petrelstep/fleet"
	"petrelstep/quarantine"
	"petrelstep/refusal"
	"petrelstep/wire"
)

// asked is the fingerprint of a request.
func asked(name string) fingerprint.Fingerprint {
	asks := content(name)
	return fingerprint.New([]byte("council"), []byte("h"), asks[:])
}

// endsAt lets three engines end under a request at a box, some time apart.
func endsAt(e *Edge, name string) {
	for i := range 3 {
		e.quarantine.Ended(time.Now(), asked(name), fleet.Upstream{ID: fmt.Sprint("gone", i)})
		time.Sleep(100 * time.Millisecond)
	}
}

func refuses(name string) func(e *Edge) bool {
	return func(e *Edge) bool {
		return e.quarantine.Standing(time.Now(), asked(name)).Kind == quarantine.Refused
	}
}

// TestEndsAreTold shows how soon all boxes that reach each other refuse a request, with
// all that may happen to some of them meanwhile.
func TestEndsAreTold(t *testing.T) {
	nothing := func(context.Context, testing.TB, *crowd, *Edge) {}
	tests := map[string]struct {
		boxes     int
		meanwhile func(ctx context.Context, t testing.TB, c *crowd, at *Edge)
	}{
		"6 boxes":                       {6, nothing},
		"77 boxes":                      {77, nothing},
		"300 boxes":                     {300, nothing},
		"the hubs of 77 boxes die":      {77, hubsDie},
		"two hubs of 300 boxes die":     {300, hubsDie},
		"a box of 6 starts":             {6, boxStarts},
		"a box of 300 starts":           {300, boxStarts},
		"a box of 6 is cut off a while": {6, boxIsCut},
		"all of 6 boxes are killed":     {6, allAreKilled},
		"all of 77 boxes are killed":    {77, allAreKilled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, 3)
				c := w.crowd
				at := c.all[len(c.all)-1]
				endsAt(at, "bad")
				tt.meanwhile(ctx, t, c, at)
				t.Log("all refuse it after", c.until(t, "refuses it", contact, refuses("bad")))
				w.stop(end)
			})
		})
	}
}

// hubsDie kills two of the hubs just after the box has told the third end.
func hubsDie(_ context.Context, _ testing.TB, c *crowd, at *Edge) {
	time.Sleep(300 * time.Millisecond)
	killed := 0
	for _, hub := range c.hubs() {
		if hub != at && killed < 2 {
			c.kill(hub)
			killed++
		}
	}
}

// boxStarts lets a box start that has heard of nothing.
func boxStarts(ctx context.Context, t testing.TB, c *crowd, _ *Edge) {
	time.Sleep(5 * time.Second)
	fresh := c.box(t, "fresh", "hall0")
	var records []wire.BoxRecord
	for _, e := range append(slices.Clone(c.all), fresh) {
		records = append(records, e.record)
	}
	c.all = append(c.all, fresh)
	c.start(ctx, fresh, records)
	time.Sleep(listTime)
	fresh.setBoxes(records)
	fresh.joined.Store(true)
}

// boxIsCut cuts a box off that comes back after the others have long heard. A box that
// is frozen, or whose machine is suspended, hears of as little meanwhile.
func boxIsCut(_ context.Context, _ testing.TB, c *crowd, _ *Edge) {
	c.mu.Lock()
	c.cut[c.all[1].record.Address] = true
	c.mu.Unlock()
	time.Sleep(10 * time.Second)
	c.mu.Lock()
	clear(c.cut)
	c.mu.Unlock()
	time.Sleep(contact) // within which it is not held to have a way to the others
}

// allAreKilled lets all boxes start anew; only the store remembers.
func allAreKilled(ctx context.Context, t testing.TB, c *crowd, _ *Edge) {
	time.Sleep(2 * time.Second)
	old := slices.Clone(c.all)
	for _, e := range old {
		c.kill(e)
	}
	c.all = nil
	for _, e := range old {
		time.Sleep(time.Millisecond) // an incarnation of its own
		c.all = append(c.all, c.box(t, e.Name(), e.record.Hall))
	}
	c.startAll(ctx)
	c.until(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(contact)
}

// TestTenAtOnce lets ten boxes get the same request in the same moment, by how many
// engines have ended under it before.
func TestTenAtOnce(t *testing.T) {
	tests := map[string]struct {
		ended int
		after time.Duration // since the last
		more  int           // engines that end
	}{
		"one has ended":                     {ended: 1, after: time.Second, more: 2},
		"two have":                          {ended: 2, after: time.Second, more: 1},
		"three have":                        {ended: 3, after: contact, more: 0},
		"three have, and one try is let in": {ended: 3, after: 10*time.Minute + time.Second, more: 1},
		"none has: ten run, and one before the others are heard": {ended: 0, more: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, 12, 30)
				ended := w.tenAtOnce(ctx, tt.ended, tt.after)
				t.Log("engines ended:", ended)
				is.New(t).True(ended <= tt.more)
				w.stop(end)
			})
		})
	}
}

// tenAtOnce lets ten boxes get a request in one moment, a while after some engines have
// ended under it, and again later; it returns how many more ended.
func (w *engines) tenAtOnce(ctx context.Context, before int, after time.Duration) int {
	w.bad[content("bad")] = true
	for i := range before {
		time.Sleep(200 * time.Millisecond)
		w.crowd.all[0].quarantine.Ended(time.Now(), asked("bad"), fleet.Upstream{ID: fmt.Sprint("gone", i)})
	}
	time.Sleep(after)
	for range 2 {
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() { ask(ctx, w.crowd.all[i], "/look/", "bad") })
		}
		all.Wait()
		time.Sleep(2 * contact)
	}
	_, ended := w.after("bad", 0)
	return ended
}

// TestInnocent lets engines end for reasons of their own, again and again, with the
// same requests on them: none of these is refused for it.
func TestInnocent(t *testing.T) {
	tests := map[string]struct {
		engines  int
		sessions int  // that ask, each for something else
		alike    bool // they all ask for the same
		end      func(w *engines)
	}{
		"the one engine is killed thrice":               {1, 48, false, (*engines).endAll},
		"a rack of three is lost thrice":                {3, 96, false, (*engines).endAll},
		"one of three is lost, thrice":                  {3, 96, false, (*engines).endOne},
		"links to all engines are cut":                  {3, 96, false, (*engines).cutAll},
		"they are taken away, as announced":             {3, 96, false, (*engines).leaveAll},
		"many ask for the same, and engines are killed": {3, 40, true, (*engines).endAll},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, 6, tt.engines)
				if !tt.alike {
					w.made = longAnswer
				}
				refused, worst := w.insist(ctx, tt.sessions, tt.alike, func() {
					for range 3 {
						time.Sleep(600 * time.Millisecond)
						tt.end(w)
						time.Sleep(backAfter + 400*time.Millisecond)
					}
				})
				t.Log("refused as one under which engines end:", refused, "of", tt.sessions, "sessions; the last was served after", worst)
				is.New(t).Equal(refused, 0)
				w.stop(end)
			})
		})
	}
}

// insist lets sessions ask until each is served after the trouble has ended, and
// returns how often one was refused for an end, and when the last was served.
func (w *engines) insist(ctx context.Context, sessions int, alike bool, trouble func()) (refused int, worst time.Duration) {
	var over atomic.Bool
	var count atomic.Int64
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(3, 3))
	began := time.Now()
	for i := range sessions {
		name := fmt.Sprint("session", i)
		if alike {
			name = "session"
		}
		boxes := random.Perm(len(w.crowd.all))
		all.Go(func() {
			for n := 0; ; n++ {
				after := over.Load()
				a := ask(ctx, w.crowd.all[boxes[n%len(boxes)]], "/check/", name)
				if a.refused.Reason() == refusal.Quarantined {
					count.Add(1)
				}
				if after && a.status == http.StatusOK && !a.aborted || time.Since(began) > time.Minute {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	trouble()
	over.Store(true)
	ended := time.Now()
	all.Wait()
	return int(count.Load()), time.Since(ended)
}

// live returns the live engines.
func (w *engines) live() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*engine
	for _, e := range w.lives {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engine) int { return a.number - b.number })
	return list
}

func (w *engines) endAll() {
	for _, e := range w.live() {
		w.end(e)
	}
}

func (w *engines) endOne() { w.end(w.live()[0]) }

// cutAll breaks all connections; the engines live on.
func (w *engines) cutAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.lives {
		close(e.ended)
		e.ended = make(chan struct{})
	}
}

// leaveAll lets all engines say that they leave, and end while some still run there;
// others have come first.
func (w *engines) leaveAll() {
	old := w.live()
	for _, e := range old {
		w.start(e.hall)
	}
	for _, e := range old {
		w.crowd.table.put("servers", e.id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"slots":48,"state":"draining"}`, e.address, e.hall))
	}
	time.Sleep(backAfter)
	for _, e := range old {
		w.mu.Lock()
		delete(w.lives, e.id)
		close(e.ended)
		w.mu.Unlock()
		w.crowd.table.drop("servers", e.id)
	}
}

// TestBadCallers lets some such requests come at once, beside others: each ends few
// engines.
func TestBadCallers(t *testing.T) {
	for _, bad := range []int{1, 5, 20} {
		t.Run(fmt.Sprint(bad, " bad"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served, sent, ended := pressBad(t, bad, false)
				t.Log("others served:", served, "of", sent, "engines ended:", ended)
				is.New(t).True(ended <= 6*bad)
			})
		})
	}
}

// BenchmarkBadCallers is what such requests cost the others, with and without what is
// held against them.
func BenchmarkBadCallers(b *testing.B) {
	for _, bad := range []int{0, 1, 5, 20} {
		for _, off := range []bool{true, false} {
			b.Run(fmt.Sprint(bad, " bad, off ", off), func(b *testing.B) {
				served, ended, plays := 0, 0, 0
				for b.Loop() {
					synctest.Test(&testing.T{}, func(t *testing.T) {
						s, _, e := pressBad(t, bad, off)
						served, ended, plays = served+s, ended+e, plays+1
					})
				}
				b.ReportMetric(float64(served)/float64(plays), "served")
				b.ReportMetric(float64(ended)/float64(plays), "ends")
			})
		}
	}
}

// off lets nothing be held against requests.
func (w *engines) off() {
	for _, e := range w.crowd.all {
		e.relay.Quarantine, e.relay.Trials = nil, nil
	}
}

// pressBad lets bad requests come again and again for half a minute, each twice a
// second, beside 40 others a second.
func pressBad(t testing.TB, bad int, off bool) (served, sent, ended int) {
	ctx, end := context.WithCancel(context.Background())
	w := newEngines(ctx, t, 6, 9)
	defer w.stop(end)
	for i := range bad {
		w.bad[content(fmt.Sprint("bad", i))] = true
	}
	if off {
		w.off()
	}
	random := rand.New(rand.NewPCG(5, 5))
	var all sync.WaitGroup
	var ok atomic.Int64
	const (
		ticks    = 60
		tickTime = 500 * time.Millisecond
	)
	for tick := range ticks {
		for i := range bad {
			at, phase := w.any(random), time.Duration(random.Int64N(int64(tickTime)))
			all.Go(func() {
				time.Sleep(phase)
				ask(ctx, at, "/check/", fmt.Sprint("bad", i))
			})
		}
		for i := range 20 {
			at := w.any(random)
			sent++
			all.Go(func() {
				if a := ask(ctx, at, "/check/", fmt.Sprint("good", tick, ".", i)); a.status == http.StatusOK && !a.aborted {
					ok.Add(1)
				}
			})
		}
		time.Sleep(tickTime)
	}
	all.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ends := range w.ends {
		ended += len(ends)
	}
	return int(ok.Load()), sent, ended
}

// BenchmarkEndsTold is the size of the word of an engine's end, by the requests that
// were there, told once to each box.
func BenchmarkEndsTold(b *testing.B) {
	for _, there := range []int{1, 12, 48} {
		b.Run(fmt.Sprint(there, " requests"), func(b *testing.B) {
			c := newCrowd(b, 1, 1, 0)
			for i := range there {
				c.all[0].quarantine.Ended(time.Now(), asked(fmt.Sprint(i)), fleet.Upstream{ID: "upstream-1234"})
			}
			size := 0
			for b.Loop() {
				list, _ := c.all[0].quarantine.Since(time.Now(), 0)
				size = encoded(b, wire.GossipAnswer{Ends: list}) - encoded(b, wire.GossipAnswer{})
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

// TestReleased shows how an operator lets a request in again at all boxes, and what
// each box says it refuses.
func TestReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		w := newEngines(ctx, t, 6, 3)
		at, other := w.crowd.all[0], w.crowd.all[5]
		endsAt(at, "bad")
		w.crowd.until(t, "refuses it", contact, refuses("bad"))
		time.Sleep(tickInterval)
		is.Equal(len(other.View().Quarantine), 1)
		is.Equal(other.View().Quarantine[0].Fingerprint, asked("bad").String())
		for path, want := range map[string]int{
			"no fingerprint": http.StatusBadRequest, asked("other").String(): http.StatusNotFound, asked("bad").String(): http.StatusOK,
		} {
			answer := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodDelete, "/v1/quarantine/x", nil)
			other.serveRelease(answer, mux.SetURLVars(r, map[string]string{"fingerprint": path}))
			is.Equal(answer.Code, want)
		}
		w.crowd.until(t, "lets it in", contact, func(e *Edge) bool { return !refuses("bad")(e) })
		time.Sleep(contact)
		is.Equal(len(w.crowd.kept.rows), 0)
		w.stop(end)
	})
}
