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

// strike is what befalls the boxes while an upstream names a limit.
type strike func(ctx context.Context, t testing.TB, p *portal)

// killBox kills a box that is no hub, and starts it again.
func killBox(ctx context.Context, t testing.TB, p *portal) {
	box, _ := p.crowd.boxAndHub()
	p.crowd.kill(box)
	time.Sleep(time.Second)
	p.restart(ctx, t, []*Edge{box})
}

// strikeHubs kills all hubs, and starts them again.
func strikeHubs(ctx context.Context, t testing.TB, p *portal) {
	hubs := p.crowd.hubs()
	for _, hub := range hubs {
		p.crowd.kill(hub)
	}
	time.Sleep(4 * time.Second)
	p.restart(ctx, t, hubs)
}

// killAll kills all boxes, and starts them again at once.
func killAll(ctx context.Context, t testing.TB, p *portal) {
	all := slices.Clone(p.crowd.all)
	for _, e := range all {
		p.crowd.kill(e)
	}
	time.Sleep(500 * time.Millisecond)
	p.restart(ctx, t, all)
}

// restart starts new lives of boxes, as many at once as there are.
func (p *portal) restart(ctx context.Context, t testing.TB, old []*Edge) {
	c := p.crowd
	var records []wire.BoxRecord
	for _, e := range append(slices.Clone(c.all), old...) {
		records = append(records, e.record)
	}
	for _, e := range old {
		time.Sleep(time.Millisecond) // an incarnation of its own
		fresh := c.box(t, e.Name(), e.record.Hall)
		fresh.relay.Sender = portalSender{p, fresh}
		c.start(ctx, fresh, records)
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

// partHalves parts the boxes, each half of which reaches the upstreams and the store.
func partHalves(_ context.Context, _ testing.TB, p *portal) {
	c := p.crowd
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side = map[string]int{}
	for i, e := range c.all {
		c.side[e.Name()] = i % 2
	}
	time.AfterFunc(15*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.side = nil
	})
}

// suspendMany lets a third of the machines wake that were suspended for six seconds:
// nothing came to them and nothing was heard of them.
func suspendMany(_ context.Context, _ testing.TB, p *portal) {
	c := p.crowd
	c.mu.Lock()
	sleepers, awake := c.all[:len(c.all)/3], c.all[len(c.all)/3:]
	for _, e := range sleepers {
		c.cut[e.record.Address] = true
	}
	c.all = awake
	c.mu.Unlock()
	const slept = 6 * time.Second
	time.AfterFunc(slept, func() {
		for _, e := range sleepers {
			e.onWake(slept)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		clear(c.cut)
		c.all = append(slices.Clone(awake), sleepers...)
	})
}

// TestLimitsUnderStrikes bounds the sum of what limited upstreams get over all that may
// befall the boxes: in no four seconds more than one and a half times the limit, and five.
// Where all boxes begin anew none knows of a limit before the first is told again, as when
// it is first named; what boxes send counts from half a second after they were told.
func TestLimitsUnderStrikes(t *testing.T) {
	nothing := func(context.Context, testing.TB, *portal) {}
	strikes := map[string]struct {
		strike strike
		burst  float64 // times the demand, after the strike
		anew   bool    // nobody is left who knows of the limit
		rest   time.Duration
	}{
		"a box is killed":           {strike: killBox, burst: 1},
		"all hubs are killed":       {strike: strikeHubs, burst: 1},
		"all boxes are killed":      {strike: killAll, burst: 1, anew: true},
		"halves part":               {strike: partHalves, burst: 1},
		"machines were suspended":   {strike: suspendMany, burst: 1},
		"a burst":                   {strike: nothing, burst: 3},
		"a burst after a rest":      {strike: nothing, burst: 3, rest: 30 * time.Second},
		"halves part, and a burst":  {strike: partHalves, burst: 3},
		"hubs are killed in a rush": {strike: strikeHubs, burst: 3},
	}
	sizes := []struct {
		boxes     int
		perSecond float64
		limit     float64
	}{
		{6, 60, 2.4}, {6, 200, 25}, {77, 100, 2.4}, {77, 200, 0.3},
	}
	for name, tt := range strikes {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d boxes, limit %g", name, size.boxes, size.limit), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(t.Context())
					p := newPortal(ctx, t, size.boxes, 4)
					d := demand{perSecond: size.perSecond}
					p.names(2, size.limit)
					p.press(ctx, d, 4*time.Second)
					time.Sleep(tt.rest)
					go tt.strike(ctx, t, p)
					d.perSecond *= tt.burst
					p.press(ctx, d, 20*time.Second)
					for _, u := range p.upstreams[:2] {
						all, counted := u.worst(u.named.Add(contact)), worstOf(after(u.counted, u.named.Add(contact)))
						bound := limitOver*size.limit*limitWindow.Seconds() + limitSlack
						t.Logf("%s takes %g a second, and got at most %d in %v of %.1f, %d of them counted", u.id, size.limit, all, limitWindow, bound, counted)
						is.New(t).True(float64(counted) <= bound)
						is.New(t).True(float64(all) <= bound || tt.anew)
					}
					p.stop(end)
				})
			})
		}
	}
}

// TestLimitsOfManyParted parts 300 boxes in a burst: above 240 a keeper hears most boxes by
// other hubs, which count those that told them within three seconds.
func TestLimitsOfManyParted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		const limit = 2.4
		p := newPortal(ctx, t, 300, 4)
		p.names(2, limit)
		p.press(ctx, demand{perSecond: 300}, 4*time.Second)
		go partHalves(ctx, t, p)
		p.press(ctx, demand{perSecond: 900}, 20*time.Second)
		for _, u := range p.upstreams[:2] {
			most := u.worst(u.named.Add(contact))
			t.Logf("%s takes %g a second, and got at most %d in %v", u.id, limit, most, limitWindow)
			is.New(t).True(float64(most) <= limitOver*limit*limitWindow.Seconds()+limitSlack)
		}
		p.stop(end)
	})
}

// TestLimitsChange holds the sum while what an upstream names changes, or is hard to
// make sense of.
func TestLimitsChange(t *testing.T) {
	named := func(n float64) exchange.Limit {
		return exchange.Limit{Said: exchange.LimitNamed, PerSecond: n}
	}
	tests := map[string]struct {
		says func(u *portalUpstream, second int) // each second
		most float64                             // of what it names
		gets float64                             // requests a second at least
		asks float64                             // requests a second; 0 for 60
	}{
		"it takes nothing":        {func(u *portalUpstream, _ int) { u.said = named(0) }, 0, 0.4, 0},
		"a hundredth":             {func(u *portalUpstream, _ int) { u.said = named(0.01) }, 0.01, 0.4, 0},
		"as good as none":         {func(u *portalUpstream, _ int) { u.said = named(1e9) }, 1e9, 5, 0},
		"it falls":                {func(u *portalUpstream, s int) { u.said = named(max(12-float64(s), 2)) }, 12, 1.8, 0},
		"it rises":                {func(u *portalUpstream, s int) { u.said = named(2 + float64(s)/2) }, 12, 1.8, 0},
		"another each time":       {func(u *portalUpstream, s int) { u.said = named(2 + float64(s%2)) }, 3, 1.8, 0},
		"it is left out at times": {func(u *portalUpstream, _ int) { u.said, u.omits = named(2), 8 }, 2, 1.8, 400},
		"then it is no word":      {func(u *portalUpstream, s int) { u.said = unreadableFrom(s, 4) }, 2, 1.8, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				p := newPortal(ctx, t, 6, 4)
				p.names(1, 0)
				for second := range 20 {
					p.mu.Lock()
					tt.says(p.upstreams[0], second)
					p.mu.Unlock()
					asked, served := p.press(ctx, demand{perSecond: cmp.Or(tt.asks, 60)}, time.Second)
					is.True(float64(served) >= 0.95*float64(asked)) // the word befalls no request
				}
				u := p.upstreams[0]
				most, rate := u.worst(u.named.Add(contact)), u.rate(u.named.Add(contact))
				t.Logf("it got %.2f a second, at most %d in %v", rate, most, limitWindow)
				is.True(float64(most) <= limitOver*tt.most*limitWindow.Seconds()+limitSlack)
				is.True(rate >= tt.gets)
				p.stop(end)
			})
		})
	}
}

func unreadableFrom(second, from int) exchange.Limit {
	if second >= from {
		return exchange.Limit{Said: exchange.LimitUnreadable}
	}
	return exchange.Limit{Said: exchange.LimitNamed, PerSecond: 2}
}

// TestLimitEnds shows how long after the end of its need an upstream gets its full load
// back: all boxes know within contact of its next request, and half a second later, until
// which the limit eases off, it gets at least nine tenths of what it got before.
func TestLimitEnds(t *testing.T) {
	tests := map[string]struct {
		boxes     int
		limit     float64
		perSecond float64
	}{
		"6 boxes":               {6, 2.4, 60},
		"6 boxes, it took none": {6, 0, 60},
		"77 boxes":              {77, 2.4, 150},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				p := newPortal(ctx, t, tt.boxes, 4)
				d := demand{perSecond: tt.perSecond}
				const measured = 30 * time.Second // what comes by chance differs by a tenth in ten
				p.usual(ctx, d, measured)
				p.names(2, tt.limit)
				p.press(ctx, d, 10*time.Second)
				p.takeAll()
				ended := time.Now()
				go p.press(ctx, d, measured)
				known := p.crowd.until(t, "knows that it has ended", 10*time.Second, func(e *Edge) bool { return len(e.limits.All()) == 0 })
				time.Sleep(measured - time.Since(ended))
				for _, u := range p.upstreams[:2] {
					after := u.rate(ended.Add(known + 500*time.Millisecond))
					t.Logf("all boxes know after %v; %s gets %.2f a second, %.2f before it named a limit", known, u.id, after, u.usual)
					is.New(t).True(after >= limitGets*u.usual)
				}
				next := time.Duration(float64(time.Second) / max(tt.limit, minRate)) // until it gets one that can tell
				is.New(t).True(known <= next+contact)
				p.stop(end)
			})
		})
	}
}

// usual measures what the upstreams get without a limit.
func (p *portal) usual(ctx context.Context, d demand, lasts time.Duration) {
	began := time.Now()
	p.press(ctx, d, lasts)
	for _, u := range p.upstreams {
		u.usual = u.rate(began)
	}
}

// takeAll lets all upstreams name no limit any more.
func (p *portal) takeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		u.said = exchange.Limit{}
	}
}

// TestLimitsAreTold shows how soon all boxes that reach each other know of a limit that
// one was told, and that it has ended, with all that may happen to some of them.
func TestLimitsAreTold(t *testing.T) {
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
		"a box of 6 is cut off a while": {6, boxIsCut},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				w := newEngines(ctx, t, tt.boxes, 3)
				c := w.crowd
				at := c.all[len(c.all)-1]
				u, _ := at.fleet.Get("e1")
				at.limits.Heard(time.Now(), time.Now(), u, exchange.Limit{Said: exchange.LimitNamed, PerSecond: 2}, true)
				tt.meanwhile(ctx, t, c, at)
				t.Log("all know it after", c.until(t, "knows the limit", contact, func(e *Edge) bool { return len(e.limits.All()) == 1 }))
				time.Sleep(time.Second)
				at.limits.Heard(time.Now(), time.Now(), u, exchange.Limit{}, true)
				t.Log("that it has ended after", c.until(t, "knows that it has ended", contact, func(e *Edge) bool { return len(e.limits.All()) == 0 }))
				w.stop(end)
			})
		})
	}
}

// TestAllLimited lets all upstreams name limits that are a part of what is asked for:
// what they take is used, the urgent sixth goes first, and what cannot be served is
// refused at once, as not run, with when to come back.
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
				p := newPortal(ctx, t, boxes, 4)
				p.press(ctx, demand{perSecond: perSecond}, 5*time.Second)
				p.names(4, limit)
				p.each(ctx, perSecond, 6*time.Second)
				var others sync.WaitGroup
				askedBeside, servedBeside := 0, 0
				others.Go(func() {
					askedBeside, servedBeside = p.press(ctx, demand{perSecond: perSecond, path: "/beside/"}, lasts)
				})
				told := p.each(ctx, perSecond, lasts)
				others.Wait()
				got := 0.0
				for _, u := range p.upstreams[:4] {
					is.True(float64(u.worst(u.named.Add(contact))) <= limitOver*limit*limitWindow.Seconds()+limitSlack)
					got += u.rate(time.Now().Add(-lasts))
				}
				c := countOf(told)
				t.Logf("%+v; the upstreams got %.2f a second of %d", c, got, 4*limit)
				t.Log("of another service that nobody limits were served in time", servedBeside, "of", askedBeside)
				is.Equal(servedBeside, askedBeside)
				is.Equal(c.served+c.refused, c.all)
				is.True(c.slowestRefusal <= 100*time.Millisecond/4) // within which coming back costs little
				is.True(got >= limitGets*4*limit)
				is.True(float64(c.urgentServed) >= limitGets*float64(c.urgent))
				p.stop(end)
			})
		})
	}
}

// count is what became of callers.
type count struct {
	all, served, refused, urgent, urgentServed int
	slowestRefusal                             time.Duration
}

func countOf(told []toldAfter) (c count) {
	c.all = len(told)
	for _, a := range told {
		if a.urgent {
			c.urgent++
		}
		switch {
		case a.status == http.StatusOK:
			c.served++
			if a.urgent {
				c.urgentServed++
			}
		case a.refused.Ending() == refusal.NotRun && a.refused.RetryAfter() > 0:
			c.refused++
			c.slowestRefusal = max(c.slowestRefusal, a.took)
		}
	}
	return c
}

// toldAfter is what a caller was told, and after how long.
type toldAfter struct {
	*asker
	took   time.Duration
	urgent bool
}

// each lets callers come for some time, a sixth of them urgent, and returns what each was
// told.
func (p *portal) each(ctx context.Context, perSecond float64, lasts time.Duration) []toldAfter {
	random := rand.New(rand.NewPCG(6, 6))
	var mu sync.Mutex
	var all sync.WaitGroup
	var told []toldAfter
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		at, path := p.any(random), "/look/"
		if random.IntN(6) == 0 {
			path = "/first/"
		}
		all.Go(func() {
			began := time.Now()
			a := ask(ctx, at, path, "x")
			mu.Lock()
			defer mu.Unlock()
			told = append(told, toldAfter{a, time.Since(began), path == "/first/"})
		})
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	return told
}
