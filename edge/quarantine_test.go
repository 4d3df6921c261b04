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

// requestFingerprint returns the fingerprint of a named request.
func requestFingerprint(name string) fingerprint.Fingerprint {
	asks := contentOf(name)
	return fingerprint.New([]byte("council"), []byte("h"), asks[:])
}

// crashThree reports the crash of three engines under a request at a box.
func crashThree(e *Edge, name string) {
	for i := range 3 {
		e.quarantine.RecordEndDuring(time.Now(), requestFingerprint(name), fleet.Upstream{ID: fmt.Sprint("gone", i)})
		time.Sleep(100 * time.Millisecond)
	}
}

func isQuarantined(name string) func(e *Edge) bool {
	return func(e *Edge) bool {
		return e.quarantine.Status(time.Now(), requestFingerprint(name)).Kind == quarantine.Refused
	}
}

// TestCrashesReported checks how soon all boxes refuse a request that has crashed
// engines, under faults.
func TestCrashesReported(t *testing.T) {
	nothing := func(context.Context, testing.TB, *cluster, *Edge) {}
	tests := map[string]struct {
		boxes     int
		meanwhile func(ctx context.Context, t testing.TB, c *cluster, at *Edge)
	}{
		"6 boxes":                           {6, nothing},
		"77 boxes":                          {77, nothing},
		"300 boxes":                         {300, nothing},
		"two hubs of 77 boxes die":          {77, killTwoHubs},
		"two hubs of 300 boxes die":         {300, killTwoHubs},
		"a box of 6 starts":                 {6, startNewBox},
		"a box of 300 starts":               {300, startNewBox},
		"a box of 6 is cut off for a while": {6, isolateBox},
		"all of 6 boxes are killed":         {6, restartFleet},
		"all of 77 boxes are killed":        {77, restartFleet},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, 3)
				c := w.cluster
				at := c.all[len(c.all)-1]
				crashThree(at, "bad")
				tt.meanwhile(ctx, t, c, at)
				t.Log("all refuse it after", c.waitAll(t, "refuses it", propagationTime, isQuarantined("bad")))
				w.stop(end)
			})
		})
	}
}

// killTwoHubs kills two hubs just after the box has reported the third crash.
func killTwoHubs(_ context.Context, _ testing.TB, c *cluster, at *Edge) {
	time.Sleep(300 * time.Millisecond)
	killed := 0
	for _, hub := range c.hubs() {
		if hub != at && killed < 2 {
			c.kill(hub)
			killed++
		}
	}
}

// startNewBox starts a box that has received no reports.
func startNewBox(ctx context.Context, t testing.TB, c *cluster, _ *Edge) {
	time.Sleep(5 * time.Second)
	fresh := c.box(t, "fresh", "hall0")
	var records []wire.BoxRecord
	for _, e := range append(slices.Clone(c.all), fresh) {
		records = append(records, e.record)
	}
	c.all = append(c.all, fresh)
	c.startBox(ctx, fresh, records)
	time.Sleep(listTime)
	fresh.setBoxes(records)
	fresh.joined.Store(true)
}

// isolateBox cuts a box off until long after the others have the reports; a suspended
// machine behaves the same.
func isolateBox(_ context.Context, _ testing.TB, c *cluster, _ *Edge) {
	c.mu.Lock()
	c.isolated[c.all[1].record.Address] = true
	c.mu.Unlock()
	time.Sleep(10 * time.Second)
	c.mu.Lock()
	clear(c.isolated)
	c.mu.Unlock()
	time.Sleep(propagationTime) // until the box is expected to be connected again
}

// restartFleet restarts all boxes; only the store keeps its state.
func restartFleet(ctx context.Context, t testing.TB, c *cluster, _ *Edge) {
	time.Sleep(2 * time.Second)
	old := slices.Clone(c.all)
	for _, e := range old {
		c.kill(e)
	}
	c.all = nil
	for _, e := range old {
		time.Sleep(time.Millisecond) // gives each a distinct incarnation
		c.all = append(c.all, c.box(t, e.Name(), e.record.Hall))
	}
	c.startAll(ctx)
	c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(propagationTime)
}

// TestTenConcurrent sends the same request through ten boxes at once, after some
// engines have crashed under it.
func TestTenConcurrent(t *testing.T) {
	tests := map[string]struct {
		crashed int
		after   time.Duration // since the last crash
		more    int           // maximum of further crashes
	}{
		"one crash":                           {crashed: 1, after: time.Second, more: 2},
		"two crashes":                         {crashed: 2, after: time.Second, more: 1},
		"three crashes":                       {crashed: 3, after: propagationTime, more: 0},
		"three crashes, then one try allowed": {crashed: 3, after: 10*time.Minute + time.Second, more: 1},
		"no crash: ten run, and one before the reports arrive": {crashed: 0, more: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, 12, 30)
				crashed := w.sendTenTwice(ctx, tt.crashed, tt.after)
				t.Log("crashes:", crashed)
				is.New(t).True(crashed <= tt.more)
				w.stop(end)
			})
		})
	}
}

// sendTenTwice sends a request through ten boxes at once after some crashes, and again
// later; it returns the number of further crashes.
func (w *engines) sendTenTwice(ctx context.Context, before int, after time.Duration) int {
	w.crashing[contentOf("bad")] = true
	for i := range before {
		time.Sleep(200 * time.Millisecond)
		w.cluster.all[0].quarantine.RecordEndDuring(time.Now(), requestFingerprint("bad"), fleet.Upstream{ID: fmt.Sprint("gone", i)})
	}
	time.Sleep(after)
	for range 2 {
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() { sendRequest(ctx, w.cluster.all[i], "/look/", "bad") })
		}
		all.Wait()
		time.Sleep(2 * propagationTime)
	}
	_, crashed := w.lateArrivals("bad", 0)
	return crashed
}

// TestUnrelatedCrashes crashes engines for other reasons while the same requests run on
// them: none of the requests may be refused for it.
func TestUnrelatedCrashes(t *testing.T) {
	tests := map[string]struct {
		engines  int
		sessions int  // each with its own request
		same     bool // all with the same request
		end      func(w *engines)
	}{
		"single engine killed three times":       {1, 48, false, (*engines).crashAll},
		"three engines killed three times":       {3, 96, false, (*engines).crashAll},
		"one of three killed three times":        {3, 96, false, (*engines).crashOne},
		"connections broken":                     {3, 96, false, (*engines).breakConnections},
		"engines drained":                        {3, 96, false, (*engines).drainEngines},
		"same request from many, engines killed": {3, 40, true, (*engines).crashAll},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, 6, tt.engines)
				if !tt.same {
					w.events = longAnswer
				}
				refused, worst := w.retrySessions(ctx, tt.sessions, tt.same, func() {
					for range 3 {
						time.Sleep(600 * time.Millisecond)
						tt.end(w)
						time.Sleep(restartTime + 400*time.Millisecond)
					}
				})
				t.Log("quarantine refusals:", refused, "of", tt.sessions, "sessions; the last was served after", worst)
				is.New(t).Equal(refused, 0)
				w.stop(end)
			})
		})
	}
}

// retrySessions retries each session until it is served after the faults have ended,
// and returns the number of quarantine refusals and when the last was served.
func (w *engines) retrySessions(ctx context.Context, sessions int, same bool, faults func()) (refused int, worst time.Duration) {
	var over atomic.Bool
	var count atomic.Int64
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(3, 3))
	began := time.Now()
	for i := range sessions {
		name := fmt.Sprint("session", i)
		if same {
			name = "session"
		}
		boxes := random.Perm(len(w.cluster.all))
		all.Go(func() {
			for n := 0; ; n++ {
				after := over.Load()
				a := sendRequest(ctx, w.cluster.all[boxes[n%len(boxes)]], "/check/", name)
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
	faults()
	over.Store(true)
	faultsEnded := time.Now()
	all.Wait()
	return int(count.Load()), time.Since(faultsEnded)
}

// live returns the running engines.
func (w *engines) live() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*engine
	for _, e := range w.running {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engine) int { return a.number - b.number })
	return list
}

func (w *engines) crashAll() {
	for _, e := range w.live() {
		w.crash(e)
	}
}

func (w *engines) crashOne() { w.crash(w.live()[0]) }

// breakConnections breaks all connections; the engines keep running.
func (w *engines) breakConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.running {
		close(e.ended)
		e.ended = make(chan struct{})
	}
}

// drainEngines announces that all engines leave and stops them while some requests
// still run there; their replacements have started before.
func (w *engines) drainEngines() {
	old := w.live()
	for _, e := range old {
		w.start(e.hall)
	}
	for _, e := range old {
		w.cluster.table.put("servers", e.id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"slots":48,"state":"draining"}`, e.address, e.hall))
	}
	time.Sleep(restartTime)
	for _, e := range old {
		w.mu.Lock()
		delete(w.running, e.id)
		close(e.ended)
		w.mu.Unlock()
		w.cluster.table.remove("servers", e.id)
	}
}

// TestCrashingRequests sends several crashing requests among others: each may crash
// only a few engines.
func TestCrashingRequests(t *testing.T) {
	for _, bad := range []int{1, 5, 20} {
		t.Run(fmt.Sprint(bad, " bad"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served, sent, crashed := sendCrashing(t, bad, false)
				t.Log("others served:", served, "of", sent, "crashes:", crashed)
				is.New(t).True(crashed <= 6*bad)
			})
		})
	}
}

// BenchmarkCrashingRequests measures how many other requests are served while others
// crash upstreams, with and without quarantine.
func BenchmarkCrashingRequests(b *testing.B) {
	for _, bad := range []int{0, 1, 5, 20} {
		for _, off := range []bool{true, false} {
			b.Run(fmt.Sprint(bad, " bad, disabled ", off), func(b *testing.B) {
				served, crashed, plays := 0, 0, 0
				for b.Loop() {
					synctest.Test(&testing.T{}, func(t *testing.T) {
						s, _, e := sendCrashing(t, bad, off)
						served, crashed, plays = served+s, crashed+e, plays+1
					})
				}
				b.ReportMetric(float64(served)/float64(plays), "served")
				b.ReportMetric(float64(crashed)/float64(plays), "crashes")
			})
		}
	}
}

// disableQuarantine turns off quarantine and trials.
func (w *engines) disableQuarantine() {
	for _, e := range w.cluster.all {
		e.relay.Quarantine, e.relay.Trials = nil, nil
	}
}

// sendCrashing sends each crashing request twice a second for half a minute, among 40
// others a second.
func sendCrashing(t testing.TB, bad int, off bool) (served, sent, crashed int) {
	ctx, end := context.WithCancel(context.Background())
	w := newEngines(ctx, t, 6, 9)
	defer w.stop(end)
	for i := range bad {
		w.crashing[contentOf(fmt.Sprint("bad", i))] = true
	}
	if off {
		w.disableQuarantine()
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
			at, phase := w.randomBox(random), time.Duration(random.Int64N(int64(tickTime)))
			all.Go(func() {
				time.Sleep(phase)
				sendRequest(ctx, at, "/check/", fmt.Sprint("bad", i))
			})
		}
		for i := range 20 {
			at := w.randomBox(random)
			sent++
			all.Go(func() {
				if a := sendRequest(ctx, at, "/check/", fmt.Sprint("good", tick, ".", i)); a.status == http.StatusOK && !a.aborted {
					ok.Add(1)
				}
			})
		}
		time.Sleep(tickTime)
	}
	all.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ends := range w.crashes {
		crashed += len(ends)
	}
	return int(ok.Load()), sent, crashed
}

// BenchmarkCrashReport measures the size of the report of one crash, by the number of
// requests on the engine.
func BenchmarkCrashReport(b *testing.B) {
	for _, there := range []int{1, 12, 48} {
		b.Run(fmt.Sprint(there, " requests"), func(b *testing.B) {
			c := newCluster(b, 1, 1, 0)
			for i := range there {
				c.all[0].quarantine.RecordEndDuring(time.Now(), requestFingerprint(fmt.Sprint(i)), fleet.Upstream{ID: "upstream-1234"})
			}
			size := 0
			for b.Loop() {
				list, _ := c.all[0].quarantine.Since(time.Now(), 0)
				size = encodedSize(b, wire.GossipAnswer{Ends: list}) - encodedSize(b, wire.GossipAnswer{})
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

// TestQuarantineReleased checks the operators' view of quarantined requests, and that a
// release takes effect on all boxes.
func TestQuarantineReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		w := newEngines(ctx, t, 6, 3)
		at, other := w.cluster.all[0], w.cluster.all[5]
		crashThree(at, "bad")
		w.cluster.waitAll(t, "refuses it", propagationTime, isQuarantined("bad"))
		time.Sleep(tickInterval)
		is.Equal(len(other.View().Quarantine), 1)
		is.Equal(other.View().Quarantine[0].Fingerprint, requestFingerprint("bad").String())
		for path, want := range map[string]int{
			"no fingerprint": http.StatusBadRequest, requestFingerprint("other").String(): http.StatusNotFound, requestFingerprint("bad").String(): http.StatusOK,
		} {
			answer := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodDelete, "/v1/quarantine/x", nil)
			other.serveRelease(answer, mux.SetURLVars(r, map[string]string{"fingerprint": path}))
			is.Equal(answer.Code, want)
		}
		w.cluster.waitAll(t, "accepts it", propagationTime, func(e *Edge) bool { return !isQuarantined("bad")(e) })
		time.Sleep(propagationTime)
		is.Equal(len(w.cluster.quarantines.rows), 0)
		w.stop(end)
	})
}
