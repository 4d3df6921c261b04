package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/counts"
	"petrelstep/canary/orders"
	"petrelstep/fleet"
	"petrelstep/wire"
)

const (
	rolloutKey      = "rollout/plain"
	rolloutDuration = 12 * time.Second
	baselines       = 6 // upstreams of each release
	trialAnswerTime = 30 * time.Millisecond
	// testRate gives enough answers to find a release that turns bad when the box that decides
	// has just changed, in requests per second.
	testRate = 240
)

// rolloutBounds are the bounds of the tests.
var rolloutBounds = &wire.Rollout{ExposureShare: 0.1, ExposureSlack: 50, RollbackMs: 5000}

// rolloutSite is a cluster with upstreams of releases, and requests that the boxes send to
// them.
type rolloutSite struct {
	*cluster
	t        *testing.T
	random   *rand.Rand
	ordered  time.Time
	duration time.Duration                                     // of orders
	bad      func(release string, since time.Duration) float64 // part of failing answers

	sent      map[string]int // requests by release, since the order
	failures  map[string]int
	lastSent  map[string]time.Time
	exceeded  string // set if the bound was exceeded for a release that is bad
	candidate string
}

// releaseRow returns the row of an upstream of a release.
func releaseRow(i int, release, state string) string {
	return fmt.Sprintf(`{"service":"plain","address":"10.9.%s.%d:1","zone":"hall%d","version":%q,"slots":6,"state":%q}`, strings.TrimPrefix(release, "v"), i, i%2, release, state)
}

// newRolloutSite starts boxes with upstreams of release v1, and requests to them.
func newRolloutSite(ctx context.Context, t *testing.T, boxes, rate int) *rolloutSite {
	return newRolloutSiteIn(ctx, t, nil, boxes, rate)
}

// newRolloutSiteIn is newRolloutSite with the regions of the halls.
func newRolloutSiteIn(ctx context.Context, t *testing.T, regions map[string]string, boxes, rate int) *rolloutSite {
	s := &rolloutSite{
		cluster: newClusterIn(t, regions, 0, 2, 0), t: t, random: rand.New(rand.NewPCG(uint64(boxes), 1)), candidate: "v2", duration: rolloutDuration,
		sent: map[string]int{}, failures: map[string]int{}, lastSent: map[string]time.Time{},
	}
	s.rollout = rolloutBounds
	for i := range boxes {
		s.all = append(s.all, s.box(t, fmt.Sprint("b", i), fmt.Sprint("hall", i%2)))
	}
	s.addUpstreams("v1")
	s.startAll(ctx)
	s.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
	time.Sleep(5 * time.Second)
	go s.load(ctx, rate)
	time.Sleep(time.Second)
	return s
}

func (s *rolloutSite) addUpstreams(release string) {
	for i := range baselines {
		s.table.put("servers", fmt.Sprint(release, "-", i), releaseRow(i, release, "ready"))
	}
}

func (s *rolloutSite) removeUpstreams(release string) {
	for i := range baselines {
		s.table.remove("servers", fmt.Sprint(release, "-", i))
	}
}

// order writes an order, with upstreams of its target.
func (s *rolloutSite) order(target string) {
	s.addUpstreams(target)
	s.table.put("op", rolloutKey, fmt.Sprintf(`{"service":"plain","target_version":%q,"duration_s":%v}`, target, s.duration.Seconds()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ordered = time.Now()
	clear(s.sent)
	clear(s.failures)
	s.candidate = target
}

func (s *rolloutSite) setBad(bad func(release string, since time.Duration) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad = bad
}

// sentTo returns the number of requests sent to a release since the order.
func (s *rolloutSite) sentTo(release string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[release]
}

// load sends requests from random boxes until ctx ends.
func (s *rolloutSite) load(ctx context.Context, rate int) {
	for n := 0; sleep(ctx, time.Second/time.Duration(rate)) == nil; n++ {
		if all := s.running(); len(all) > 0 {
			s.request(all[s.random.IntN(len(all))], fmt.Sprint("r", n))
		}
	}
}

// request sends a request as the relay does: to the candidate if it is drawn.
func (s *rolloutSite) request(e *Edge, id string) {
	now := time.Now()
	list := e.fleet.Serving("plain")
	if e.rollouts.Drawn(now, "plain", "look", id) {
		if trial := e.fleet.Trial("plain"); len(trial) > 0 {
			list = trial
		}
	}
	if len(list) == 0 {
		return
	}
	u := list[s.random.IntN(len(list))]
	ended := e.rollouts.Sent(now, "plain", "look", u, false)
	failed := s.record(now, u)
	time.AfterFunc(trialAnswerTime, func() {
		if ended != nil {
			ended(time.Now(), counts.Result{First: trialAnswerTime, Failed: failed})
		}
	})
}

// record counts a request and reports whether it fails.
func (s *rolloutSite) record(now time.Time, u fleet.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[u.Release]++
	s.lastSent[u.Release] = now
	since := now.Sub(s.ordered)
	failed := s.bad != nil && s.random.Float64() < s.bad(u.Release, since)
	if failed {
		s.failures[u.Release]++
	}
	all := 0
	for _, n := range s.sent {
		all += n
	}
	most := int(rolloutBounds.ExposureShare*float64(all) + rolloutBounds.ExposureSlack)
	if n := s.sent[u.Release]; s.bad != nil && u.Release == s.candidate && since < s.duration && n > most && s.exceeded == "" {
		s.exceeded = fmt.Sprintf("%d of %d requests at %v", n, all, since)
	}
	return failed
}

// state returns the status of the roll-out in the store.
func (s *rolloutSite) state() string {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	var v struct{ State string }
	for _, r := range s.table.rows {
		if r.Table == "status" && r.Key == rolloutKey {
			_ = json.Unmarshal(r.Value, &v)
		}
	}
	return v.State
}

// decider returns the box that decides, by the store.
func (s *rolloutSite) decider() *Edge {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	var v struct{ Decider string }
	for _, r := range s.table.rows {
		if r.Table == "rollouts" {
			_ = json.Unmarshal(r.Value, &v)
		}
	}
	i := slices.IndexFunc(s.all, func(e *Edge) bool { return e.Name() == v.Decider })
	if i < 0 {
		s.t.Fatal("no box decides")
	}
	return s.all[i]
}

// outcomes returns the outcomes that were written for a target.
func (s *rolloutSite) outcomes(target string) (list []string) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	for _, value := range s.table.statuses {
		for _, state := range []orders.State{orders.Completed, orders.RolledBack} {
			if strings.Contains(value, string(state)) && strings.Contains(value, `"`+target+`"`) {
				list = append(list, string(state))
			}
		}
	}
	return list
}

// waitState waits until all boxes know a state.
func (s *rolloutSite) waitState(state orders.State, timeout time.Duration) time.Duration {
	return s.waitAll(s.t, "knows "+string(state), timeout, func(e *Edge) bool {
		o, _ := e.rollouts.orders.Of("plain")
		return o.State == state
	})
}

// waitPhase waits until the store has a phase.
func (s *rolloutSite) waitPhase(phase orders.Phase) {
	s.waitAll(s.t, "knows the "+string(phase), rolloutDuration, func(e *Edge) bool {
		o, _ := e.rollouts.orders.Of("plain")
		return o.Phase == phase
	})
}

// only checks that all boxes serve upstreams of one release only.
func (s *rolloutSite) only(release string) {
	s.t.Helper()
	for _, e := range s.all {
		list := e.fleet.Serving("plain")
		if len(list) == 0 || slices.ContainsFunc(list, func(u fleet.Upstream) bool { return u.Release != release }) {
			s.t.Fatalf("%s serves %v, want only %s", e.Name(), list, release)
		}
	}
}

// onlyFor checks the same over some time.
func (s *rolloutSite) onlyFor(release string, d time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		s.only(release)
	}
}

// cutOff cuts a box off from all others and from the store, or connects it again.
func (s *rolloutSite) cutOff(e *Edge, cut bool) {
	s.mu.Lock()
	s.isolated[e.record.Address] = cut
	s.mu.Unlock()
	s.table.setCutOff(func(box string) bool { return cut && box == e.Name() })
}

// fails returns a release that fails a part of its answers from some time after the order
// on.
func fails(release string, part float64, from time.Duration) func(string, time.Duration) float64 {
	return func(r string, since time.Duration) float64 {
		if r == release && since >= from {
			return part
		}
		return 0
	}
}

// TestRollout plays orders from their beginning to their outcome: one outcome is written,
// all boxes follow it, and a bad release stays within the bound.
func TestRollout(t *testing.T) {
	tests := map[string]struct {
		bad   func(release string, since time.Duration) float64
		event func(s *rolloutSite)
		want  orders.State // empty if either outcome is right
	}{
		"good":                                     {want: orders.Completed},
		"bad from the beginning":                   {bad: fails("v2", 0.5, 0), want: orders.RolledBack},
		"bad late":                                 {bad: fails("v2", 0.5, 7*time.Second), want: orders.RolledBack},
		"all fail at times":                        {bad: func(string, time.Duration) float64 { return 0.03 }, want: orders.Completed},
		"decider killed":                           {event: func(s *rolloutSite) { s.kill(s.decider()) }, want: orders.Completed},
		"decider killed, bad":                      {bad: fails("v2", 0.5, 0), event: func(s *rolloutSite) { s.kill(s.decider()) }, want: orders.RolledBack},
		"decider cut off":                          {event: cutOffDecider},
		"decider cut off, bad late":                {bad: fails("v2", 0.5, 7*time.Second), event: cutOffDecider, want: orders.RolledBack},
		"decider cut off from the store":           {event: cutOffFromStore, want: orders.Completed},
		"decider cut off from the store, bad late": {bad: fails("v2", 0.5, 7*time.Second), event: cutOffFromStore, want: orders.RolledBack},
		"decider frozen":                           {event: freezeDecider},
		"decider frozen, bad late":                 {bad: fails("v2", 0.5, 7*time.Second), event: freezeDecider, want: orders.RolledBack},
		"decider killed at the end":                {event: killInCutover},
		"store silent for a while":                 {event: func(s *rolloutSite) { s.silence(3 * time.Second) }, want: orders.Completed},
		"store silent past the limit":              {event: func(s *rolloutSite) { s.silence(12 * time.Second) }, want: orders.RolledBack},
		"answers of the store lost":                {event: func(s *rolloutSite) { s.loseAnswers(true) }, want: orders.Completed},
		"order withdrawn":                          {event: func(s *rolloutSite) { s.table.remove("op", rolloutKey) }, want: orders.RolledBack},
		"candidate gone":                           {event: func(s *rolloutSite) { s.removeUpstreams("v2") }, want: orders.RolledBack},
		"box started halfway":                      {event: startBox, want: orders.Completed},
	}
	for name, tt := range tests {
		for _, boxes := range []int{6, 76} {
			t.Run(fmt.Sprint(name, ", ", boxes, " boxes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testRollout(t, boxes, tt.bad, tt.event, tt.want) })
			})
		}
	}
}

func testRollout(t *testing.T, boxes int, bad func(string, time.Duration) float64, event func(s *rolloutSite), want orders.State) {
	is := is.New(t)
	ctx, end := (&cluster{}).context(t)
	defer end()
	s := newRolloutSite(ctx, t, boxes, max(testRate, 2*boxes))
	s.setBad(bad)
	s.order("v2")
	s.waitAll(t, "knows the order", 2*time.Second, func(e *Edge) bool { return e.rollouts.counts.Active("plain") })
	time.Sleep(3 * time.Second)
	if event != nil {
		event(s)
	}
	if want == "" {
		s.waitAll(t, "knows an outcome", rolloutDuration+5*time.Second, func(e *Edge) bool { return !e.rollouts.counts.Active("plain") })
		want = orders.State(s.state())
	}
	s.waitState(want, rolloutDuration+5*time.Second)
	s.table.mu.Lock()
	took := s.table.statusAt.Sub(s.ordered)
	s.table.mu.Unlock()
	s.mu.Lock()
	t.Logf("%s after %v: %v sent, %v failed", want, took, s.sent, s.failures)
	exceeded := s.exceeded
	s.mu.Unlock()
	is.Equal(s.state(), string(want))
	is.Equal(s.outcomes("v2"), []string{string(want)})
	is.Equal(exceeded, "")
	if want == orders.Completed {
		is.True(took <= rolloutDuration)
		s.only("v2")
	} else {
		s.only("v1")
	}
	ended := "v2"
	if want == orders.Completed {
		ended = "v1"
	}
	n := s.sentTo(ended)
	time.Sleep(5 * time.Second)
	is.Equal(s.sentTo(ended), n) // nothing after the outcome
	is.Equal(len(s.outcomes("v2")), 1)
}

// cutOffDecider cuts the box that decides off for some seconds.
func cutOffDecider(s *rolloutSite) {
	e := s.decider()
	s.cutOff(e, true)
	time.AfterFunc(5*time.Second, func() { s.cutOff(e, false) })
}

// cutOffFromStore cuts the box that decides off from the store only.
func cutOffFromStore(s *rolloutSite) {
	name := s.decider().Name()
	s.table.setCutOff(func(box string) bool { return box == name })
}

// freezeDecider suspends the machine of the box that decides for some seconds.
func freezeDecider(s *rolloutSite) {
	const frozen = 5 * time.Second
	e := s.decider()
	s.cutOff(e, true)
	time.AfterFunc(frozen, func() {
		s.cutOff(e, false)
		e.onWake(frozen)
	})
}

// killInCutover kills the box that decides at the beginning of the cutover.
func killInCutover(s *rolloutSite) {
	s.waitPhase(orders.Cutover)
	s.kill(s.decider())
}

// silence makes the store silent for some time.
func (s *rolloutSite) silence(d time.Duration) {
	s.table.setSilent(true)
	time.AfterFunc(d, func() { s.table.setSilent(false) })
}

// loseAnswers makes the store lose the answers to writes.
func (s *rolloutSite) loseAnswers(lose bool) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.loseAnswers = lose
}

// startBox adds a box, which must not serve the candidate before it knows the order.
func startBox(s *rolloutSite) {
	is := is.New(s.t)
	e := s.box(s.t, "late", "hall0")
	var records []wire.BoxRecord
	for _, other := range s.all {
		records = append(records, other.record)
	}
	s.mu.Lock()
	s.all = append(slices.Clone(s.all), e)
	s.mu.Unlock()
	s.startBox(s.t.Context(), e, append(records, e.record))
	time.AfterFunc(2*listTime, func() {
		e.setBoxes(append(records, e.record))
		e.joined.Store(true)
	})
	for known := false; !known || !e.ready(); {
		_, known = e.rollouts.orders.Of("plain")
		is.True(!e.ready() || !slices.ContainsFunc(e.fleet.Serving("plain"), func(u fleet.Upstream) bool { return u.Release == "v2" }))
		time.Sleep(time.Millisecond)
	}
}

// TestSecondOrder replaces an order by another one in its trial: the first target gets
// nothing more and no outcome, and the second order ends.
func TestSecondOrder(t *testing.T) {
	for _, boxes := range []int{6, 76} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, boxes, 2*boxes+60)
				s.order("v2")
				time.Sleep(5 * time.Second)
				is.True(s.sentTo("v2") > 0)
				s.order("v3")
				s.waitAll(t, "knows the second order", 2*time.Second, func(e *Edge) bool {
					o, _ := e.rollouts.orders.Of("plain")
					return o.Target == "v3"
				})
				first := s.sentTo("v2")
				s.waitState(orders.Completed, rolloutDuration+time.Second)
				is.Equal(s.sentTo("v2"), first)
				is.Equal(len(s.outcomes("v2")), 0)
				is.Equal(s.outcomes("v3"), []string{"completed"})
				s.only("v3")
				time.Sleep(10 * time.Second)
				s.only("v3")
			})
		})
	}
}

// TestOrderListed writes a second order while the store is silent and loses its history, so
// that readers find it in a listing beside the ended first one.
func TestOrderListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 120)
		s.order("v2")
		s.waitState(orders.Completed, rolloutDuration)
		time.Sleep(10 * time.Second)
		s.removeUpstreams("v1")
		s.table.setSilent(true)
		time.Sleep(10 * time.Second)
		s.order("v3")
		s.table.forget()
		s.table.setSilent(false)
		s.waitAll(t, "knows the second order", 20*time.Second, func(e *Edge) bool {
			o, _ := e.rollouts.orders.Of("plain")
			return o.Target == "v3" && o.State == orders.Running
		})
		s.waitState(orders.Completed, rolloutDuration+5*time.Second)
		s.only("v3")
	})
}

// TestOrderInService orders the release that is in service: it is served throughout, also
// where the order cannot be carried out or the store is silent.
func TestOrderInService(t *testing.T) {
	tests := map[string]struct {
		duration float64
		silent   time.Duration
		want     orders.State
	}{
		"valid":            {12, 0, orders.Completed},
		"store silent":     {12, 5 * time.Second, orders.Completed},
		"without duration": {0, 0, orders.RolledBack},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, 6, 60)
				s.table.put("op", rolloutKey, fmt.Sprintf(`{"service":"plain","target_version":"v1","duration_s":%v}`, tt.duration))
				if tt.silent > 0 {
					time.Sleep(100 * time.Millisecond)
					s.silence(tt.silent)
				}
				s.onlyFor("v1", 20*time.Second)
				is.Equal(s.outcomes("v1"), []string{string(tt.want)})
			})
		})
	}
}

// TestOrderInServiceAgain orders the release in service while upstreams of one that was
// rolled back are still there.
func TestOrderInServiceAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 120)
		s.setBad(fails("v2", 0.5, 0))
		s.order("v2")
		s.waitState(orders.RolledBack, rolloutDuration+time.Second)
		s.order("v1")
		s.onlyFor("v1", 20*time.Second)
		is.Equal(s.outcomes("v1"), []string{string(orders.Completed)})
	})
}

// TestOrderRepeated writes an order again during its cutover and after it was rolled back:
// it begins again, and the release before it is served until the second cutover.
func TestOrderRepeated(t *testing.T) {
	tests := map[string]struct {
		bad   func(string, time.Duration) float64
		until func(s *rolloutSite)
	}{
		"in its cutover":    {nil, func(s *rolloutSite) { s.waitPhase(orders.Cutover) }},
		"after a roll-back": {fails("v2", 0.5, 0), func(s *rolloutSite) { s.waitState(orders.RolledBack, rolloutDuration+time.Second) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, 6, 120)
				s.setBad(tt.bad)
				s.order("v2")
				tt.until(s)
				s.setBad(nil)
				time.Sleep(200 * time.Millisecond)
				s.order("v2")
				s.waitPhase(orders.Trial)
				s.onlyFor("v1", 8*time.Second)
				s.waitState(orders.Completed, 5*time.Second)
				s.only("v2")
			})
		})
	}
}

// TestStoreSilentAtLimit checks that no order is completed after its limit, whenever the
// store answers again.
func TestStoreSilentAtLimit(t *testing.T) {
	for late := time.Duration(0); late < time.Second; late += 100 * time.Millisecond {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, 6, 60)
				s.order("v2")
				s.waitPhase(orders.Cutover)
				s.silence(rolloutDuration - time.Since(s.ordered) + late)
				s.waitAll(t, "knows an outcome", rolloutDuration, func(e *Edge) bool { return !e.rollouts.counts.Active("plain") })
				s.table.mu.Lock()
				took := s.table.statusAt.Sub(s.ordered)
				s.table.mu.Unlock()
				t.Log(s.state(), took)
				is.True(s.state() == string(orders.RolledBack) || took <= rolloutDuration)
			})
		})
	}
}

// TestLaterRelease checks that upstreams that are replaced without an order after one was
// completed, or was rolled back, are served.
func TestLaterRelease(t *testing.T) {
	tests := map[string]struct {
		bad     func(string, time.Duration) float64
		want    orders.State
		release string
		drained time.Duration // between the removal of the ordered upstreams and the replacement
	}{
		"a new one after a completed order":                     {nil, orders.Completed, "v3", 0},
		"the ordered one after it was rolled back":              {fails("v2", 0.5, 0), orders.RolledBack, "v2", 0},
		"the ordered one after it was rolled back, and drained": {fails("v2", 0.5, 0), orders.RolledBack, "v2", 40 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, 6, 120)
				s.setBad(tt.bad)
				s.order("v2")
				s.waitState(tt.want, rolloutDuration+time.Second)
				time.Sleep(10 * time.Second)
				s.removeUpstreams("v2")
				time.Sleep(tt.drained)
				s.addUpstreams(tt.release)
				if tt.drained > 0 { // served beside the old one
					s.waitAll(t, "serves both releases", 5*time.Second, func(e *Edge) bool { return len(e.fleet.Serving("plain")) == 2*baselines })
				}
				s.removeUpstreams("v1")
				s.waitAll(t, "serves the release", 40*time.Second, func(e *Edge) bool {
					list := e.fleet.Serving("plain")
					return len(list) == baselines && !slices.ContainsFunc(list, func(u fleet.Upstream) bool { return u.Release != tt.release })
				})
			})
		})
	}
}

// TestStoreCalls checks that roll-outs make no calls to the store but while an order is
// active.
func TestStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 76, 100)
		calls := s.rolloutCalls
		time.Sleep(5 * time.Second)
		before := calls()
		is.Equal(before, 0)
		s.order("v2")
		s.waitState(orders.Completed, rolloutDuration)
		time.Sleep(time.Second)
		during := calls()
		t.Logf("%d calls for an order of %v", during, rolloutDuration)
		is.True(during <= 60)
		time.Sleep(30 * time.Second)
		is.Equal(calls(), during)
	})
}

// TestRolloutDisabled checks that without bounds in the settings orders are ignored.
func TestRolloutDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, 2, 0)
		ctx, end := c.context(t)
		defer end()
		c.startAll(ctx)
		c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
		for i := range baselines {
			c.table.put("servers", fmt.Sprint("v1-", i), releaseRow(i, "v1", "ready"))
			c.table.put("servers", fmt.Sprint("v2-", i), releaseRow(i, "v2", "ready"))
		}
		c.table.put("op", rolloutKey, `{"service":"plain","target_version":"v2","duration_s":2}`)
		time.Sleep(5 * time.Second)
		is.Equal(c.table.statuses, nil)
		for _, e := range c.all {
			is.Equal(len(e.fleet.Serving("plain")), 2*baselines)
			is.Equal(len(e.View().Rollouts), 0)
		}
	})
}

// TestRolloutIsolated checks that a box that decides and hears from no other one sends
// nothing to the candidate, nor does any other box that hears from no hub.
func TestRolloutIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 120)
		s.order("v2")
		time.Sleep(4 * time.Second)
		decider := s.decider()
		other := s.all[slices.IndexFunc(s.all, func(e *Edge) bool { return !e.IsHub() })]
		for _, e := range []*Edge{decider, other} {
			s.mu.Lock()
			s.isolated[e.record.Address] = true
			s.mu.Unlock()
		}
		time.Sleep(2500 * time.Millisecond)
		for _, e := range []*Edge{decider, other} {
			for i := range 1000 {
				is.True(!e.rollouts.Drawn(time.Now(), "plain", "look", fmt.Sprint("request-", i)))
			}
		}
	})
}

// TestRolloutLargeFleet plays orders in a fleet whose boxes report to one hub each.
func TestRolloutLargeFleet(t *testing.T) {
	tests := map[string]struct {
		bad  func(release string, since time.Duration) float64
		want orders.State
	}{
		"good": {want: orders.Completed},
		"bad":  {bad: fails("v2", 0.5, 0), want: orders.RolledBack},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRollout(t, 300, tt.bad, nil, tt.want) })
		})
	}
}

// TestReadsWhileSilent checks how often boxes try to read the status of an order that they
// know from a listing while the store refuses.
func TestReadsWhileSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := (&cluster{}).context(t)
		defer end()
		s := newRolloutSite(ctx, t, 6, 60)
		const tries = 40 // in 10 s
		for _, e := range s.all {
			most := tries
			if !e.IsReader() {
				most = int(tries * decideInterval / pendingReadDelay)
			}
			r, now, reads := e.rollouts, time.Now(), 0
			r.mu.Lock()
			r.pending["other"] = now
			r.mu.Unlock()
			for i := range tries {
				at := now.Add(time.Duration(i) * decideInterval)
				if r.readDue(at) {
					reads++
					r.mu.Lock()
					r.readAt, r.unread = at, true
					r.mu.Unlock()
				}
			}
			is.New(t).True(reads > 0 && reads <= most)
		}
	})
}

// TestOrderReadAfterOutage checks that the box that decides, and knows an order from a peer
// only, reads its rows as soon as it has read the order itself.
func TestOrderReadAfterOutage(t *testing.T) {
	const (
		plays   = 8                       // in some the box does not learn of the order from a peer in time
		maxTime = 2500 * time.Millisecond // pause between calls to the store, and one decision
	)
	for i := range plays {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := (&cluster{}).context(t)
				defer end()
				s := newRolloutSite(ctx, t, 6, 60)
				first := s.all[slices.IndexFunc(s.all, func(e *Edge) bool { return e.rollouts.isFirstReader(time.Now(), "plain", "") })]
				s.table.setCutOff(func(box string) bool { return box == first.Name() })
				s.table.put("op", "other", "{}") // ends the call for changes that was under way
				time.Sleep(100 * time.Millisecond)
				s.order("v2")
				time.Sleep(1200 * time.Millisecond)
				s.table.setCutOff(nil)
				began := time.Now()
				for s.state() != "running" {
					time.Sleep(10 * time.Millisecond)
				}
				is.New(t).True(time.Since(began) < maxTime)
			})
		})
	}
}
