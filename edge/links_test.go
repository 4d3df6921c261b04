package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// contactTime is how long after the beginning of a cut the first tries at boxes count.
	contactTime = 3 * time.Second
	// minServedRatio is the least share of first tries served at cut boxes against that at the
	// others; maxFailed and maxFailedDivisor bound those that may fail: maxFailed, and one in
	// maxFailedDivisor.
	minServedRatio   = 2.0 / 3
	maxFailed        = 10
	maxFailedDivisor = 50
	// minUseAfterSilence is the least share of its usual requests that a worker gets in
	// observeTime after it was silent.
	minUseAfterSilence = 0.5
	// maxFailureRate is the share of failed requests from which a worker counts as failing.
	maxFailureRate = 0.5
)

// firstTries are the first tries of callers at some boxes.
type firstTries struct{ sent, served int }

func (f firstTries) share() float64 { return float64(f.served) / float64(max(f.sent, 1)) }

// sendFirstTries sends requests at random boxes for some time, and counts those at boxes that are
// cut off and those at the others. Each box that is cut off gets some.
func (p *protocol) sendFirstTries(ctx context.Context, paths []string, perSecond float64, lasts time.Duration, isCut func(box string) bool) (cut, others firstTries) {
	random := rand.New(rand.NewPCG(9, uint64(perSecond)))
	var mu sync.Mutex
	var all sync.WaitGroup
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		boxes := p.cluster.running()
		at, path := boxes[random.IntN(len(boxes))], paths[random.IntN(len(paths))]
		all.Go(func() {
			c := p.send(ctx, at, path)
			mu.Lock()
			defer mu.Unlock()
			of := &others
			if isCut(at.Name()) {
				of = &cut
			}
			of.sent++
			if c.status == http.StatusOK {
				of.served++
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	return cut, others
}

// TestBoxWithoutLinks guards against callers of boxes that reach no worker being served worse than
// those of boxes that do, and against the workers being taken for failed by the other boxes.
func TestBoxWithoutLinks(t *testing.T) {
	cuts := map[string]func(all []*Edge) []*Edge{
		"one box":  func(all []*Edge) []*Edge { return all[:1] },
		"half":     func(all []*Edge) []*Edge { return all[:len(all)/2] },
		"one hall": func(all []*Edge) []*Edge { return boxesIn(all, "hall1") },
	}
	fleets := map[string]struct {
		boxes  int
		demand float64 // requests per second
		cuts   []string
	}{
		"6 boxes":   {6, 60, []string{"one box", "half", "one hall"}},
		"77 boxes":  {77, 300, []string{"one box", "half", "one hall"}},
		"300 boxes": {300, 400, []string{"one hall"}},
	}
	for fleetName, fleet := range fleets {
		for _, cutName := range fleet.cuts {
			for _, mode := range []cutMode{cutHangs, cutResets, cutRefuses} {
				t.Run(fmt.Sprint(fleetName, ", ", cutName, ", ", mode), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						testBoxWithoutLinks(t, fleet.boxes, fleet.demand, mode, cuts[cutName])
					})
				})
			}
		}
	}
}

func testBoxWithoutLinks(t *testing.T, boxes int, demand float64, mode cutMode, choose func(all []*Edge) []*Edge) {
	is := is.New(t)
	ctx, end := context.WithCancel(t.Context())
	p := newProtocol(ctx, t, boxes, 4)
	cutBoxes := map[string]bool{}
	for _, e := range choose(p.cluster.all) {
		cutBoxes[e.Name()] = true
	}
	isCut := func(box string) bool { return cutBoxes[box] }
	paths := []string{"/look/", "/once/"}
	p.sendFirstTries(ctx, paths, demand, 2*time.Second, isCut)
	p.cuts.begin(mode, func(box string, _ *protocolWorker) bool { return isCut(box) })
	early, _ := p.sendFirstTries(ctx, paths, demand, contactTime, isCut)
	cut, others := p.sendFirstTries(ctx, paths, demand, 6*time.Second, isCut)
	p.cuts.end()
	after, _ := p.sendFirstTries(ctx, paths, demand, 2*time.Second, isCut)
	t.Logf("served at cut boxes: %+v in the first %v, then %+v, others %+v; after the cut %+v", early, contactTime, cut, others, after)
	p.stop(end)
	is.True(cut.sent > 0 && others.sent > 0)
	is.True(cut.share() >= minServedRatio*others.share())
	is.True(cut.sent-cut.served <= maxFailed+(cut.sent+others.sent)/maxFailedDivisor)
	is.True(others.sent-others.served <= maxFailed+others.sent/maxFailedDivisor) // the workers are sound
}

// TestAllBoxesWithoutLinks guards against sound workers being avoided after the end of a cut of all
// boxes, in which none could tell whether it was the workers that had failed.
func TestAllBoxesWithoutLinks(t *testing.T) {
	for _, boxes := range []int{6, 77} {
		for _, mode := range []cutMode{cutHangs, cutResets, cutRefuses} {
			t.Run(fmt.Sprint(boxes, " boxes, ", mode), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { testAllBoxesWithoutLinks(t, boxes, mode) })
			})
		}
	}
}

func testAllBoxesWithoutLinks(t *testing.T, boxes int, mode cutMode) {
	is := is.New(t)
	ctx, end := context.WithCancel(t.Context())
	p := newProtocol(ctx, t, boxes, 4)
	all := func(string) bool { return true }
	paths := []string{"/look/", "/once/"}
	p.sendFirstTries(ctx, paths, 60, 2*time.Second, all)
	p.cuts.begin(mode, func(string, *protocolWorker) bool { return true })
	p.sendFirstTries(ctx, paths, 60, 3*time.Second, all)
	p.cuts.end()
	time.Sleep(contactTime / 3)
	failing := p.countFailing()
	after, _ := p.sendFirstTries(ctx, paths, 60, 2*time.Second, all)
	t.Logf("after the cut: %+v served, %d pairs of box and worker that count as failing", after, failing)
	p.stop(end)
	is.True(after.sent-after.served <= after.sent/maxFailedDivisor)
	is.Equal(failing, 0)
}

// countFailing returns the number of pairs of a box and a worker that counts as failing there.
func (p *protocol) countFailing() (n int) {
	for _, e := range p.cluster.all {
		for _, w := range p.workers {
			if e.reliability.FailureRate(time.Now(), w.id) > maxFailureRate {
				n++
			}
		}
	}
	return n
}

// boxesIn returns the boxes of a hall.
func boxesIn(all []*Edge, hall string) []*Edge {
	return slices.DeleteFunc(slices.Clone(all), func(e *Edge) bool { return e.config.Hall != hall })
}

// TestSilentWorker guards against a sound worker that is silent for a second being taken for ended,
// or avoided for long after it goes on.
func TestSilentWorker(t *testing.T) {
	tests := map[string]struct {
		boxes  int
		demand float64
	}{
		"6 boxes":  {6, 120},
		"77 boxes": {77, 300},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testSilentWorker(t, tt.boxes, tt.demand) })
		})
	}
}

func testSilentWorker(t *testing.T, boxes int, demand float64) {
	is := is.New(t)
	ctx, end := context.WithCancel(t.Context())
	p := newProtocol(ctx, t, boxes, 4)
	w, paths := p.workers[0], []string{"/look/"}
	none := func(string) bool { return false }
	before := time.Now()
	p.sendFirstTries(ctx, paths, demand, observeTime, none)
	usual := w.countArrivals(before, observeTime)
	p.cuts.begin(cutHangs, func(_ string, o *protocolWorker) bool { return o == w })
	_, silent := p.sendFirstTries(ctx, paths, demand, time.Second, none)
	p.cuts.end()
	removed := 0
	for _, e := range p.cluster.all {
		if !e.fleet.Serves(w.id) {
			removed++
		}
	}
	again := time.Now()
	_, later := p.sendFirstTries(ctx, paths, demand, observeTime, none)
	after := w.countArrivals(again, observeTime)
	t.Logf("usual %d requests, %d in the %v after; served meanwhile %+v, after %+v", usual, after, observeTime, silent, later)
	p.stop(end)
	is.Equal(removed, 0)
	is.True(silent.sent-silent.served <= maxFailed+silent.sent/maxFailedDivisor)
	is.True(later.sent-later.served <= later.sent/maxFailedDivisor)
	is.True(float64(after) >= minUseAfterSilence*float64(usual))
}

// TestLenderGone guards against each request of a box without links waiting for a nearby box that
// does not answer before it goes through another one.
func TestLenderGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(t.Context())
		p := newProtocol(ctx, t, 6, 4) // two boxes a hall
		e, near := p.cluster.all[0], p.cluster.all[3]
		is.Equal(e.config.Hall, near.config.Hall)
		p.cluster.mu.Lock()
		p.cluster.isolated[near.record.Address], p.cluster.isolated[near.Name()+":1"] = true, true
		p.cluster.mu.Unlock()
		p.cuts.begin(cutHangs, func(box string, _ *protocolWorker) bool { return box == e.Name() })
		late, requests := 0, 0
		for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
			sent := time.Now()
			c := p.send(ctx, e, "/look/")
			is.Equal(c.status, http.StatusOK)
			requests++
			if time.Since(sent) > 2*workTime {
				late++
			}
		}
		p.cuts.end()
		t.Log(late, "of", requests, "requests took more than twice the work time")
		p.stop(end)
		is.True(late <= maxFailed+requests/maxFailedDivisor)
	})
}
