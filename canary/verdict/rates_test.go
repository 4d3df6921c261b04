package verdict_test

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// orders is set to a few thousand for the table in docs/design/rollouts.md.
var orders = flag.Int("orders", 0, "orders for each row and number of answers; 0 for some hundred")

// amounts are the numbers of the candidate's answers in an order.
var amounts = [...]int{30, 65, 150, 600}

// fewOrders is how many orders are played for each amount by default.
var fewOrders = [...]int{200, 200, 100, 25}

// shares are parts of the orders, for each amount.
type shares [len(amounts)]float64

const (
	// maxCondemned is the share of orders of a good release that may be condemned.
	maxCondemned = 0.01
	// maxLate is the time from the 50th bad answer to the verdict. The rest of the 5 s is
	// for reports to the decider and for its decision to reach the boxes.
	maxLate = 3 * time.Second
)

func always(b behaviour) func(moment) behaviour { return func(moment) behaviour { return b } }

func fails(part float64) func(moment) behaviour { return always(behaviour{failing: part}) }

// during returns a behaviour for a part of the order, and another one for the rest.
func during(from, to float64, b, other behaviour) func(moment) behaviour {
	return func(m moment) behaviour {
		if m.at >= from && m.at < to {
			return b
		}
		return other
	}
}

// broken returns a behaviour where one upstream fails all.
func broken(other behaviour) func(moment) behaviour {
	return func(m moment) behaviour {
		if m.upstream == 3 {
			return behaviour{failing: 1}
		}
		return other
	}
}

func onDrafts(b behaviour) func(moment) behaviour {
	return func(m moment) behaviour {
		if m.draft {
			return b
		}
		return healthy
	}
}

var grey = behaviour{failing: 0.09}

var good = []struct {
	name string
	scenario
}{
	{"healthy", scenario{}},
	{"both fail 9%", scenario{candidate: always(grey), baseline: always(grey)}},
	{"both fail 50% for 3 s", scenario{candidate: during(0.5, 0.75, behaviour{failing: 0.5}, healthy), baseline: during(0.5, 0.75, behaviour{failing: 0.5}, healthy)}},
	{"both 4x slower for 4 s", scenario{candidate: during(0.4, 0.73, behaviour{slowPart: 1, slowFirst: 4, slowPace: 4}, healthy), baseline: during(0.4, 0.73, behaviour{slowPart: 1, slowFirst: 4, slowPace: 4}, healthy)}},
	{"one of 12 upstreams broken", scenario{candidate: broken(healthy)}},
	{"one of 12 broken, both fail 9%", scenario{candidate: broken(grey), baseline: always(grey)}},
	{"one of the baseline's broken", scenario{baseline: broken(healthy)}},
	{"one upstream crashes", scenario{crash: true}},
	{"one of 2 upstreams crashes", scenario{crash: true, upstreams: 2}},
	{"one upstream crashes, cutting its streams", scenario{crash: true, cuts: true}},
	{"one of 2 crashes, cutting its streams", scenario{crash: true, cuts: true, upstreams: 2}},
	{"both cut 9%", scenario{candidate: always(behaviour{cutting: 0.09}), baseline: always(behaviour{cutting: 0.09})}},
	{"lightly loaded", scenario{baseline: always(behaviour{failing: 0.002, slowPart: 1, slowFirst: 2, slowPace: 1.5})}},
}

// goodLoaded are good releases of which the trial loads one upstream.
var goodLoaded = []struct {
	name string
	scenario
}{
	{"the upstream crashes", scenario{crash: true, upstreams: 1}},
	{"it crashes, cutting its streams", scenario{crash: true, cuts: true, upstreams: 1}},
	{"both fail 9%", scenario{candidate: always(grey), baseline: always(grey), upstreams: 1}},
	{"both fail 50% for 3 s", scenario{candidate: during(0.5, 0.75, behaviour{failing: 0.5}, healthy), baseline: during(0.5, 0.75, behaviour{failing: 0.5}, healthy), upstreams: 1}},
	{"both 4x slower for 4 s", scenario{candidate: during(0.4, 0.73, behaviour{slowPart: 1, slowFirst: 4, slowPace: 4}, healthy), baseline: during(0.4, 0.73, behaviour{slowPart: 1, slowFirst: 4, slowPace: 4}, healthy), upstreams: 1}},
}

var bad = []struct {
	name string
	scenario
	found shares // at least
}{
	{"fails 10%", scenario{candidate: fails(0.1)}, shares{0, 0.3, 0.8, 1}},
	{"fails 25%", scenario{candidate: fails(0.25)}, shares{0.6, 0.95, 1, 1}},
	{"fails 50%", scenario{candidate: fails(0.5)}, shares{0.98, 1, 1, 1}},
	{"fails 100%", scenario{candidate: fails(1)}, shares{1, 1, 1, 1}},
	{"cuts 25%", scenario{candidate: always(behaviour{cutting: 0.25})}, shares{0.6, 0.95, 1, 1}},
	{"cuts 50%", scenario{candidate: always(behaviour{cutting: 0.5})}, shares{0.98, 1, 1, 1}},
	{"cuts 94%, 1 upstream", scenario{candidate: always(behaviour{cutting: 0.94}), upstreams: 1}, shares{0.98, 1, 1, 1}},
	{"first event 3x slower", scenario{candidate: always(behaviour{slowPart: 1, slowFirst: 3})}, shares{0.9, 0.99, 1, 1}},
	{"first event 5x slower", scenario{candidate: always(behaviour{slowPart: 1, slowFirst: 5})}, shares{0.99, 1, 1, 1}},
	{"first event 10x slower, 25%", scenario{candidate: always(behaviour{slowPart: 0.25, slowFirst: 10})}, shares{0.4, 0.85, 1, 1}},
	{"pace 4x slower", scenario{candidate: always(behaviour{slowPart: 1, slowPace: 4})}, shares{0.99, 1, 1, 1}},
	{"fails 50%, drafts only", scenario{candidate: onDrafts(behaviour{failing: 0.5})}, shares{0.4, 0.9, 1, 1}},
	{"fails 100%, drafts only", scenario{candidate: onDrafts(behaviour{failing: 1})}, shares{0.95, 1, 1, 1}},
	{"first event 5x slower, drafts only", scenario{candidate: onDrafts(behaviour{slowPart: 1, slowFirst: 5})}, shares{0.7, 0.98, 1, 1}},
	{"fails 50% from half on", scenario{candidate: during(0.5, 1, behaviour{failing: 0.5}, healthy)}, shares{0.7, 0.98, 1, 1}},
	{"fails 100% from half on", scenario{candidate: during(0.5, 1, behaviour{failing: 1}, healthy)}, shares{0.98, 1, 1, 1}},
	{"first event 5x slower from half on", scenario{candidate: during(0.5, 1, behaviour{slowPart: 1, slowFirst: 5}, healthy)}, shares{0.95, 1, 1, 1}},
	{"baseline fails 9%, candidate 30%", scenario{candidate: fails(0.3), baseline: always(grey)}, shares{0, 0.3, 0.8, 1}},
	{"baseline fails 9%, candidate 60%", scenario{candidate: fails(0.6), baseline: always(grey)}, shares{0.85, 0.99, 1, 1}},
	{"fails 50%, 2 upstreams", scenario{candidate: fails(0.5), upstreams: 2}, shares{0.98, 1, 1, 1}},
	{"fails 50%, 1 upstream", scenario{candidate: fails(0.5), upstreams: 1}, shares{0.98, 1, 1, 1}},
	{"fails 25%, 1 upstream", scenario{candidate: fails(0.25), upstreams: 1}, shares{0.6, 0.95, 1, 1}},
	{"fails 50%, one of the baseline's broken", scenario{candidate: fails(0.5), baseline: broken(healthy)}, shares{0.7, 0.98, 1, 1}},
}

// result sums up the orders of one row and amount.
type result struct {
	runs    int
	answers []int // until condemned, sorted
	bad     []int
	late    time.Duration // at most
}

func (r result) share() float64 { return float64(len(r.answers)) / float64(r.runs) }

func quantile(sorted []int, q float64) int {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// playAll plays orders on some goroutines.
func playAll(s scenario, answers, runs int) result {
	const workers = 3
	r := result{runs: runs}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for run := worker; run < runs; run += workers {
				o := play(s, answers, uint64(run))
				mu.Lock()
				r.late = max(r.late, o.late)
				if o.condemned {
					r.answers, r.bad = append(r.answers, o.answers), append(r.bad, o.bad)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(r.answers)
	slices.Sort(r.bad)
	return r
}

// TestErrorRates states the error rates of the verdict: the share of orders that condemn
// the candidate, and for bad ones the median and the 95th percentile of its answers until
// then. It prints them as a table.
func TestErrorRates(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		is := is.NewRelaxed(t)
		for _, g := range good {
			var checks []bool
			line := "| " + g.name + " |"
			for i, n := range amounts {
				r := playAll(g.scenario, n, orderCount(i))
				line += fmt.Sprintf(" %.2f%% |", 100*r.share())
				checks = append(checks, r.share() <= maxCondemned)
			}
			t.Log(line)
			is.True(!slices.Contains(checks, false))
		}
	})
	t.Run("bad", func(t *testing.T) {
		is := is.NewRelaxed(t)
		for _, b := range bad {
			var checks []bool
			line := "| " + b.name + " |"
			for i, n := range amounts {
				r := playAll(b.scenario, n, orderCount(i))
				line += fmt.Sprintf(" %.1f%%: %d, %d |", 100*r.share(), quantile(r.answers, 0.5), quantile(r.answers, 0.95))
				checks = append(checks, r.share() >= b.found[i] && r.late <= maxLate)
			}
			t.Log(line)
			is.True(!slices.Contains(checks, false))
		}
	})
}

// TestErrorRatesLoaded states the same for good releases of which one upstream gives all answers, at 3
// and at 30 answers a second.
func TestErrorRatesLoaded(t *testing.T) {
	const runs = 1000
	is := is.NewRelaxed(t)
	for _, g := range goodLoaded {
		line := "| " + g.name + " |"
		for _, rate := range []float64{3, 30} {
			r := playAll(g.scenario, int(rate*orderDuration.Seconds()), runs)
			line += fmt.Sprintf(" %.2f%% |", 100*r.share())
			is.True(r.share() <= maxCondemned)
		}
		t.Log(line)
	}
}

func orderCount(amount int) int {
	if *orders > 0 {
		return *orders
	}
	return fewOrders[amount]
}
