package edge

import (
	"cmp"
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

	"petrelstep/exchange"
	"petrelstep/refusal"
	"petrelstep/wire"
)

// fault is injected while upstreams announce limits.
type fault func(ctx context.Context, t testing.TB, p *plainService)

// restartBox kills a box that isn't a hub, and restarts it.
func restartBox(ctx context.Context, t testing.TB, p *plainService) {
	box, _ := p.cluster.boxAndHub()
	p.cluster.kill(box)
	time.Sleep(time.Second)
	p.startAgain(ctx, t, []*Edge{box})
}

// restartHubs kills all hubs, and restarts them.
func restartHubs(ctx context.Context, t testing.TB, p *plainService) {
	hubs := p.cluster.hubs()
	for _, hub := range hubs {
		p.cluster.kill(hub)
	}
	time.Sleep(4 * time.Second)
	p.startAgain(ctx, t, hubs)
}

// restartAll kills all boxes, and restarts them at once.
func restartAll(ctx context.Context, t testing.TB, p *plainService) {
	all := slices.Clone(p.cluster.all)
	for _, e := range all {
		p.cluster.kill(e)
	}
	time.Sleep(500 * time.Millisecond)
	p.startAgain(ctx, t, all)
}

// startAgain starts new incarnations of boxes.
func (p *plainService) startAgain(ctx context.Context, t testing.TB, old []*Edge) {
	p.cluster.startAgain(ctx, t, old, func(fresh *Edge) { fresh.relay.Sender = plainSender{p, fresh} })
}

// startAgain starts new incarnations of boxes, each after it was prepared.
func (c *cluster) startAgain(ctx context.Context, t testing.TB, old []*Edge, prepare func(fresh *Edge)) {
	var records []wire.BoxRecord
	for _, e := range append(slices.Clone(c.all), old...) {
		records = append(records, e.record)
	}
	for _, e := range old {
		time.Sleep(time.Millisecond) // gives each a distinct incarnation
		fresh := c.box(t, e.Name(), e.record.Hall)
		prepare(fresh)
		c.startBox(ctx, fresh, records)
		time.AfterFunc(2*listTime, func() {
			fresh.setBoxes(records)
			fresh.joined.Store(true)
		})
		time.AfterFunc(time.Second, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.all = append(slices.Clone(c.all), fresh)
		})
	}
}

// partitionHalves partitions the boxes into halves that both reach the upstreams and
// the store.
func partitionHalves(_ context.Context, _ testing.TB, p *plainService) {
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partition = map[string]int{}
	for i, e := range c.all {
		c.partition[e.Name()] = i % 2
	}
	time.AfterFunc(15*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.partition = nil
	})
}

// suspendThird suspends a third of the machines for six seconds, during which they
// neither send nor receive.
func suspendThird(_ context.Context, _ testing.TB, p *plainService) {
	c := p.cluster
	c.mu.Lock()
	sleepers, awake := c.all[:len(c.all)/3], c.all[len(c.all)/3:]
	for _, e := range sleepers {
		c.isolated[e.record.Address] = true
	}
	c.all = awake
	c.mu.Unlock()
	const suspended = 6 * time.Second
	time.AfterFunc(suspended, func() {
		for _, e := range sleepers {
			e.onWake(suspended)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		clear(c.isolated)
		c.all = append(slices.Clone(awake), sleepers...)
	})
}

// TestLimitsUnderFaults bounds what limited upstreams get in any window under faults.
// If all boxes restart, none knows a limit before the upstream announces it again;
// requests count from half a second after that.
func TestLimitsUnderFaults(t *testing.T) {
	nothing := func(context.Context, testing.TB, *plainService) {}
	faults := map[string]struct {
		inject       fault
		burst        float64 // factor of the demand after the fault
		allRestarted bool    // no box is left that knows the limit
		pause        time.Duration
	}{
		"box killed":                 {inject: restartBox, burst: 1},
		"hubs killed":                {inject: restartHubs, burst: 1},
		"all boxes killed":           {inject: restartAll, burst: 1, allRestarted: true},
		"partition":                  {inject: partitionHalves, burst: 1},
		"machines suspended":         {inject: suspendThird, burst: 1},
		"burst":                      {inject: nothing, burst: 3},
		"burst after a pause":        {inject: nothing, burst: 3, pause: 30 * time.Second},
		"partition and burst":        {inject: partitionHalves, burst: 3},
		"hubs killed during a burst": {inject: restartHubs, burst: 3},
	}
	sizes := []struct {
		boxes     int
		perSecond float64
		limit     float64
	}{
		{6, 60, 2.4}, {6, 200, 25}, {77, 100, 2.4}, {77, 200, 0.3},
	}
	for name, tt := range faults {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d boxes, limit %g", name, size.boxes, size.limit), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(t.Context())
					p := newPlainService(ctx, t, size.boxes, 4)
					d := demand{perSecond: size.perSecond}
					p.announceLimit(2, size.limit)
					p.sendLoad(ctx, d, 4*time.Second)
					time.Sleep(tt.pause)
					go tt.inject(ctx, t, p)
					d.perSecond *= tt.burst
					p.sendLoad(ctx, d, 20*time.Second)
					for _, u := range p.upstreams[:2] {
						all, counted := u.maxInWindow(u.limitedSince.Add(propagationTime)), maxInWindowOf(arrivalsSince(u.counted, u.limitedSince.Add(propagationTime)))
						bound := limitFactor*size.limit*limitWindow.Seconds() + limitSlack
						t.Logf("%s: limit %g per second, got at most %d in %v, bound %.1f, counted %d", u.id, size.limit, all, limitWindow, bound, counted)
						is.New(t).True(float64(counted) <= bound)
						is.New(t).True(float64(all) <= bound || tt.allRestarted)
					}
					p.stop(end)
				})
			})
		}
	}
}

// TestLimitsPartitioned partitions 300 boxes during a burst: above 240 boxes an owner
// receives most reports through other hubs, which keep them for three seconds.
func TestLimitsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		const limit = 2.4
		p := newPlainService(ctx, t, 300, 4)
		p.announceLimit(2, limit)
		p.sendLoad(ctx, demand{perSecond: 300}, 4*time.Second)
		go partitionHalves(ctx, t, p)
		p.sendLoad(ctx, demand{perSecond: 900}, 20*time.Second)
		for _, u := range p.upstreams[:2] {
			highest := u.maxInWindow(u.limitedSince.Add(propagationTime))
			t.Logf("%s: limit %g per second, got at most %d in %v", u.id, limit, highest, limitWindow)
			is.New(t).True(float64(highest) <= limitFactor*limit*limitWindow.Seconds()+limitSlack)
		}
		p.stop(end)
	})
}

// TestLimitsChange bounds what an upstream gets while its limit changes or can't be
// parsed.
func TestLimitsChange(t *testing.T) {
	limitOf := func(n float64) exchange.Limit {
		return exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: n}
	}
	tests := map[string]struct {
		set      func(u *plainUpstream, second int) // called each second
		highest  float64                            // highest limit announced
		minRate  float64                            // minimum requests per second
		sendRate float64                            // requests per second sent; 0 for 60
	}{
		"limit 0":            {func(u *plainUpstream, _ int) { u.limit = limitOf(0) }, 0, 0.4, 0},
		"limit 0.01":         {func(u *plainUpstream, _ int) { u.limit = limitOf(0.01) }, 0.01, 0.4, 0},
		"very high limit":    {func(u *plainUpstream, _ int) { u.limit = limitOf(1e9) }, 1e9, 5, 0},
		"falling":            {func(u *plainUpstream, s int) { u.limit = limitOf(max(12-float64(s), 2)) }, 12, 1.8, 0},
		"rising":             {func(u *plainUpstream, s int) { u.limit = limitOf(2 + float64(s)/2) }, 12, 1.8, 0},
		"alternating":        {func(u *plainUpstream, s int) { u.limit = limitOf(2 + float64(s%2)) }, 3, 1.8, 0},
		"sometimes omitted":  {func(u *plainUpstream, _ int) { u.limit, u.omitEvery = limitOf(2), 8 }, 2, 1.8, 400},
		"becomes unreadable": {func(u *plainUpstream, s int) { u.limit = unreadableFrom(s, 4) }, 2, 1.8, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newPlainService(ctx, t, 6, 4)
				p.announceLimit(1, 0)
				for second := range 20 {
					p.mu.Lock()
					tt.set(p.upstreams[0], second)
					p.mu.Unlock()
					sent, served := p.sendLoad(ctx, demand{perSecond: cmp.Or(tt.sendRate, 60)}, time.Second)
					is.True(float64(served) >= 0.95*float64(sent)) // no request fails because of the header
				}
				u := p.upstreams[0]
				highest, rate := u.maxInWindow(u.limitedSince.Add(propagationTime)), u.rateSince(u.limitedSince.Add(propagationTime))
				t.Logf("got %.2f per second, at most %d in %v", rate, highest, limitWindow)
				is.True(float64(highest) <= limitFactor*tt.highest*limitWindow.Seconds()+limitSlack)
				is.True(rate >= tt.minRate)
				p.stop(end)
			})
		})
	}
}

func unreadableFrom(second, from int) exchange.Limit {
	if second >= from {
		return exchange.Limit{Kind: exchange.LimitInvalid}
	}
	return exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: 2}
}

// TestLimitLifted checks how soon an upstream gets its full load after its limit is
// lifted: all boxes know within propagationTime of its next request and, half a second
// later, it must get at least nine tenths of its usual rate.
func TestLimitLifted(t *testing.T) {
	tests := map[string]struct {
		boxes     int
		limit     float64
		perSecond float64
	}{
		"6 boxes":          {6, 2.4, 60},
		"6 boxes, limit 0": {6, 0, 60},
		"77 boxes":         {77, 2.4, 150},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				p := newPlainService(ctx, t, tt.boxes, 4)
				d := demand{perSecond: tt.perSecond}
				const measured = 30 * time.Second // keeps random variation below a tenth
				p.measureUsual(ctx, d, measured)
				p.announceLimit(2, tt.limit)
				p.sendLoad(ctx, d, 10*time.Second)
				p.liftLimits()
				ended := time.Now()
				go p.sendLoad(ctx, d, measured)
				known := p.cluster.waitAll(t, "knows that the limit is lifted", 10*time.Second, func(e *Edge) bool { return len(e.limits.All()) == 0 })
				time.Sleep(measured - time.Since(ended))
				for _, u := range p.upstreams[:2] {
					after := u.rateSince(ended.Add(known + 500*time.Millisecond))
					t.Logf("all boxes know after %v; %s gets %.2f per second, %.2f before its limit", known, u.id, after, u.usualRate)
					is.New(t).True(after >= minLimitUse*u.usualRate)
				}
				next := time.Duration(float64(time.Second) / max(tt.limit, minRate)) // until the upstream's next request
				is.New(t).True(known <= next+propagationTime)
				p.stop(end)
			})
		})
	}
}

// measureUsual measures the rates of the upstreams without limits.
func (p *plainService) measureUsual(ctx context.Context, d demand, lasts time.Duration) {
	began := time.Now()
	p.sendLoad(ctx, d, lasts)
	for _, u := range p.upstreams {
		u.usualRate = u.rateSince(began)
	}
}

// liftLimits makes all upstreams stop announcing limits.
func (p *plainService) liftLimits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		u.limit = exchange.Limit{}
	}
}

// TestLimitsReported checks how soon all boxes learn of a limit that one of them has
// read, and of its end, under faults.
func TestLimitsReported(t *testing.T) {
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
		"a box of 6 is cut off for a while": {6, isolateBox},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, 3)
				c := w.cluster
				at := c.all[len(c.all)-1]
				u, _ := at.fleet.Get("e1")
				at.limits.Observe(time.Now(), time.Now(), u, exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: 2}, true)
				tt.meanwhile(ctx, t, c, at)
				t.Log("all know the limit after", c.waitAll(t, "knows the limit", propagationTime, func(e *Edge) bool { return len(e.limits.All()) == 1 }))
				time.Sleep(time.Second)
				at.limits.Observe(time.Now(), time.Now(), u, exchange.Limit{}, true)
				t.Log("all know that it is lifted after", c.waitAll(t, "knows that the limit is lifted", propagationTime, func(e *Edge) bool { return len(e.limits.All()) == 0 }))
				w.stop(end)
			})
		})
	}
}

// TestAllLimited sets limits below the demand on all upstreams: the limits must be used
// up, the urgent sixth of the requests served first, and the rest rejected at once as
// not run, with Retry-After.
func TestAllLimited(t *testing.T) {
	const (
		perSecond, limit = 40, 3
		lasts            = 20 * time.Second
	)
	for _, boxes := range []int{6, 77} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newPlainService(ctx, t, boxes, 4)
				p.sendLoad(ctx, demand{perSecond: perSecond}, 5*time.Second)
				p.announceLimit(4, limit)
				p.sendMixed(ctx, perSecond, 6*time.Second)
				var other sync.WaitGroup
				sentOther, servedOther := 0, 0
				other.Go(func() {
					sentOther, servedOther = p.sendLoad(ctx, demand{perSecond: perSecond, path: "/beside/"}, lasts)
				})
				results := p.sendMixed(ctx, perSecond, lasts)
				other.Wait()
				got := 0.0
				for _, u := range p.upstreams[:4] {
					is.True(float64(u.maxInWindow(u.limitedSince.Add(propagationTime))) <= limitFactor*limit*limitWindow.Seconds()+limitSlack)
					got += u.rateSince(time.Now().Add(-lasts))
				}
				c := countOutcomes(results)
				t.Logf("%+v; the upstreams got %.2f per second of %d", c, got, 4*limit)
				t.Log("served in time by an unlimited service:", servedOther, "of", sentOther)
				is.Equal(servedOther, sentOther)
				is.Equal(c.served+c.refused, c.all)
				is.True(c.slowestRefusal <= 100*time.Millisecond/4) // soon enough for a caller to retry cheaply
				is.True(got >= minLimitUse*4*limit)
				is.True(float64(c.urgentServed) >= minLimitUse*float64(c.urgent))
				p.stop(end)
			})
		})
	}
}

// outcomes counts the outcomes of requests.
type outcomes struct {
	all, served, refused, urgent, urgentServed int
	slowestRefusal                             time.Duration
}

func countOutcomes(results []timedOutcome) (c outcomes) {
	c.all = len(results)
	for _, a := range results {
		if a.urgent {
			c.urgent++
		}
		switch {
		case a.status == http.StatusOK:
			c.served++
			if a.urgent {
				c.urgentServed++
			}
		case a.refused.Outcome() == refusal.NotRun && a.refused.RetryAfter() > 0:
			c.refused++
			c.slowestRefusal = max(c.slowestRefusal, a.took)
		}
	}
	return c
}

// timedOutcome is a caller's answer and the time until it.
type timedOutcome struct {
	*memCaller
	took   time.Duration
	urgent bool
}

// sendMixed sends requests for some time, a sixth of them urgent, and returns their
// outcomes.
func (p *plainService) sendMixed(ctx context.Context, perSecond float64, lasts time.Duration) []timedOutcome {
	random := rand.New(rand.NewPCG(6, 6))
	var mu sync.Mutex
	var all sync.WaitGroup
	var results []timedOutcome
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		at, path := p.randomBox(random), "/look/"
		if random.IntN(6) == 0 {
			path = "/first/"
		}
		all.Go(func() {
			began := time.Now()
			a := sendRequest(ctx, at, path, "x")
			mu.Lock()
			defer mu.Unlock()
			results = append(results, timedOutcome{a, time.Since(began), path == "/first/"})
		})
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	return results
}
