package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"petrelstep/canary/counts"
	"petrelstep/canary/orders"
	"petrelstep/fleet"
	"petrelstep/wire"
)

// loadedSite is a site whose boxes send drawn requests to the upstream that the deciding box
// names.
type loadedSite struct {
	*rolloutSite
	byUpstream map[string]int // requests drawn
}

// load sends requests from random boxes until ctx ends.
func (s *loadedSite) load(ctx context.Context, rate int) {
	for n := 0; sleep(ctx, time.Second/time.Duration(rate)) == nil; n++ {
		all := s.running()
		s.request(all[s.random.IntN(len(all))], fmt.Sprint("l", n))
	}
}

func (s *loadedSite) request(e *Edge, id string) {
	now := time.Now()
	list := e.fleet.Serving("plain")
	u := list[s.random.IntN(len(list))]
	if trial := e.fleet.Trial("plain"); len(trial) > 0 && e.rollouts.Drawn(now, "plain", "look", id) {
		at := max(slices.IndexFunc(trial, func(u fleet.Upstream) bool { return u.ID == e.rollouts.FirstUpstream("plain") }), 0)
		u = trial[at]
		s.mu.Lock()
		s.byUpstream[u.ID]++
		s.mu.Unlock()
	}
	ended := e.rollouts.Sent(now, "plain", "look", u, false)
	time.AfterFunc(trialAnswerTime, func() {
		if ended != nil {
			ended(time.Now(), counts.Result{First: trialAnswerTime})
		}
	})
}

// most returns the upstream that got most drawn requests, and how many it and all of them got.
func (s *loadedSite) most() (id string, its, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for upstream, n := range s.byUpstream {
		if all += n; n > its {
			id, its = upstream, n
		}
	}
	return id, its, all
}

// TestTrialLoadsSameUpstream checks that boxes of two regions load the same upstream, and go on with
// the one that has had most requests when the hall of another one is no longer evacuated: a release that fails
// after some requests at one upstream was completed, as the trial was divided among several.
func TestTrialLoadsSameUpstream(t *testing.T) {
	for _, boxes := range []int{6, 76} {
		for _, evacuated := range []bool{false, true} {
			t.Run(fmt.Sprint(boxes, " boxes, evacuated ", evacuated), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testTrialUpstream(t, boxes, evacuated) })
			})
		}
	}
}

// evacuate evacuates the hall of an upstream for some time.
func (s *loadedSite) evacuate(upstream string, d time.Duration) {
	u, _ := s.all[0].fleet.Get(upstream)
	s.table.put("op", "evacuate/"+u.Hall, "{}")
	time.Sleep(d)
	s.table.remove("op", "evacuate/"+u.Hall)
}

func testTrialUpstream(t *testing.T, boxes int, evacuated bool) {
	const rate = 60 // requests per second
	is := is.New(t)
	ctx, end := (&cluster{}).context(t)
	defer end()
	s := &loadedSite{newRolloutSiteIn(ctx, t, map[string]string{"hall0": "west", "hall1": "east"}, boxes, 1), map[string]int{}}
	go s.load(ctx, rate)
	time.Sleep(10 * time.Second)
	s.duration = 30 * time.Second
	s.order("v2")
	if evacuated { // while the first upstream has had few requests
		time.Sleep(2 * time.Second)
		s.evacuate(s.all[0].rollouts.FirstUpstream("plain"), 8*time.Second)
	}
	time.Sleep(8 * time.Second)
	before, its, all := s.most()
	is.True(all >= 10)
	is.True(evacuated || its == all)
	time.Sleep(4 * time.Second)
	again, later, all := s.most()
	t.Logf("%d of %d drawn requests at %s", later, all, again)
	is.Equal(again, before)
	is.True(later > its)
	is.True(4*later >= 3*all)
	for _, e := range s.all {
		is.Equal(e.rollouts.FirstUpstream("plain"), again)
	}
}

// TestTrialUpstreamAllowed checks that the trial loads an upstream that most keys may use: requests of
// the others go elsewhere, and the trial was divided.
func TestTrialUpstreamAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := &loadedSite{newRolloutSiteIn(ctx, t, map[string]string{"hall0": "west", "hall1": "east"}, 6, 1), map[string]int{}}
		go s.load(ctx, 60)
		s.table.put("op", "config", `{"version":9,"routes":[],"services":[{"name":"plain","max_conns":100}],"limits":{"max_body_bytes":4096},
"tenants":[{"name":"firm","api_keys":["a"]},{"name":"council","api_keys":["b"],"allowed_regions":["east"]}]}`)
		s.duration = 40 * time.Second // past all orders below
		for range 8 {
			time.Sleep(5 * time.Second)
			s.order("v2")
			time.Sleep(3 * time.Second)
			u, known := s.all[0].fleet.Get(s.all[0].rollouts.FirstUpstream("plain"))
			is.True(known)
			is.Equal(u.Hall, "hall1")
		}
	})
}

// TestWithoutWay checks that answers from another region are compared without the way there.
func TestWithoutWay(t *testing.T) {
	const took = 70 * time.Millisecond
	tests := map[string]struct {
		hall    string
		samples []time.Duration // of calls to a box of the hall's region
		want    counts.Result
	}{
		"measured":     {hall: "hall1", samples: []time.Duration{60 * time.Millisecond}, want: counts.Result{First: 10 * time.Millisecond}},
		"longer":       {hall: "hall1", samples: []time.Duration{90 * time.Millisecond}, want: counts.Result{First: 1}},
		"not measured": {hall: "hall1", want: counts.Result{First: took, Cold: true}},
		"unknown hall": {hall: "elsewhere", samples: []time.Duration{60 * time.Millisecond}, want: counts.Result{First: took, Cold: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSiteIn(ctx, t, map[string]string{"hall0": "west", "hall1": "east"}, 1, 1)
				e := s.all[0]
				e.recordBox(time.Now(), wire.BoxRecord{Box: "far", Hall: "hall1", Address: "far:1"}, false)
				for _, d := range tt.samples {
					e.peers.(clusterClient).roundTrips.Record(time.Now(), "far:1", d)
				}
				got := e.rollouts.withoutWay(time.Now(), fleet.Upstream{Service: "plain", Hall: tt.hall}, counts.Result{First: took})
				is.New(t).Equal(got, tt.want)
			})
		})
	}
}

// TestWaitsLogged checks that the box that decides logs what an order waits for, once for each
// change: of an order that ended at its limit no line said why the cutover had not begun.
func TestWaitsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 20)
		hook := &waitsHook{}
		for _, e := range s.all {
			e.log.Logger.SetLevel(logrus.InfoLevel)
			e.log.Logger.AddHook(hook)
		}
		s.order("v2")
		s.removeUpstreams("v2")
		s.waitState(orders.RolledBack, rolloutDuration+2*time.Second)
		is.Equal(hook.reasons(), []string{"end_of_trial", "candidate_capacity", "too_late_to_cut_over"})
	})
}

// waitsHook records the reasons that are logged.
type waitsHook struct {
	mu   sync.Mutex
	list []string
}

func (h *waitsHook) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

func (h *waitsHook) Fire(e *logrus.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reason, ok := e.Data["reason"]; ok && e.Message == "rollout_waits" {
		h.list = append(h.list, fmt.Sprint(reason))
	}
	return nil
}

func (h *waitsHook) reasons() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.list)
}
