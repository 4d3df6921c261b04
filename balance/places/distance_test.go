package places_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/balance/places"
	"petrelstep/distance"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/upstreamload"
)

// TestRegions checks where requests of a box in h0 and their second tries go, with one
// upstream in each of six halls of three regions.
func TestRegions(t *testing.T) {
	regions := map[string]string{"h0": "west", "h1": "centre", "h2": "east", "h3": "west", "h4": "centre", "h5": "east"}
	const all = 400
	tests := map[string]struct {
		regions         map[string]string
		busy, failing   []string // upstreams whose slots are taken, or that fail four requests in five
		tried           []string
		most, noneOf    []string // upstreams that get nine requests in ten, or none
		elsewhere, upTo float64  // bounds of the fraction that leaves the region
	}{
		"first try":                       {regions: regions, most: []string{"u0"}, upTo: 0.05},
		"second try":                      {regions: regions, tried: []string{"u0"}, most: []string{"u3"}, noneOf: []string{"u0"}},
		"second try, u3 fails":            {regions: regions, tried: []string{"u0"}, failing: []string{"u3"}, noneOf: []string{"u0"}, elsewhere: 0.8, upTo: 1},
		"second try, the region is full":  {regions: regions, tried: []string{"u0"}, busy: []string{"u0", "u3"}, noneOf: []string{"u0"}, elsewhere: 0.7, upTo: 1},
		"third try":                       {regions: regions, tried: []string{"u0", "u3"}, noneOf: []string{"u0", "u3"}, elsewhere: 1, upTo: 1},
		"the hall is full":                {regions: regions, busy: []string{"u0"}, upTo: 0.35},
		"the region is full":              {regions: regions, busy: []string{"u0", "u3"}, elsewhere: 0.8, upTo: 1},
		"the hall's upstream fails":       {regions: regions, failing: []string{"u0"}, most: []string{"u3", "u0"}, upTo: 0.1},
		"the region's upstreams fail":     {regions: regions, failing: []string{"u0", "u3"}, elsewhere: 0.8, upTo: 1},
		"one region, second try anywhere": {tried: []string{"u0"}, noneOf: []string{"u0"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newRegionalPlaces(tt.regions, tt.busy, tt.failing)
				chosen := map[string]int{}
				for range all {
					chosen[pickAnother(t, p, tt.tried)]++
				}
				elsewhere := all - chosen["u0"] - chosen["u3"]
				if tt.regions == nil {
					elsewhere = 0
				}
				t.Log(chosen)
				is.True(len(tt.most) == 0 || sumOf(chosen, tt.most) >= all*9/10)
				is.Equal(sumOf(chosen, tt.noneOf), 0)
				is.True(float64(elsewhere) >= tt.elsewhere*all)
				is.True(float64(elsewhere) <= tt.upTo*all)
			})
		})
	}
}

// TestPreferred checks when a request goes to a preferred upstream: while that one takes it and runs
// less than half of its slots, or than another one.
func TestPreferred(t *testing.T) {
	const all = 100
	tests := map[string]struct {
		prefer  string
		tried   []string
		running map[string]int
		want    bool // all requests go there, else hardly any
	}{
		"near":                     {prefer: "u0", want: true},
		"in another region":        {prefer: "u2", want: true},
		"half of its slots":        {prefer: "u2", running: map[string]int{"u2": slots / 2}},
		"less than another one":    {prefer: "u2", running: map[string]int{"u2": slots / 2, "u1": slots/2 + 1}, want: true},
		"less than half":           {prefer: "u2", running: map[string]int{"u2": slots/2 - 1}, want: true},
		"full, as all others are":  {prefer: "u2", running: map[string]int{"u0": slots, "u1": slots, "u2": slots, "u3": slots, "u4": slots, "u5": slots}},
		"it was tried":             {prefer: "u2", tried: []string{"u2"}},
		"it is no upstream":        {prefer: "other"},
		"no upstream is preferred": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, loads := newRegionalPlacesAndLoads(map[string]string{"h0": "west", "h1": "centre", "h2": "east", "h3": "west", "h4": "centre", "h5": "east"}, nil, nil)
				for id, n := range tt.running {
					loads.Begin(id, upstreamload.Load{Requests: n})
				}
				chosen := map[string]int{}
				for range all {
					chosen[pickPreferred(t, p, tt.tried, tt.prefer)]++
				}
				is.New(t).True(chosen[tt.prefer] == all || !tt.want && chosen[tt.prefer] < all/2)
			})
		})
	}
}

// pickAnother returns the upstream for a request that was tried at others.
func pickAnother(t *testing.T, p *places.Places, tried []string) string {
	t.Helper()
	return pickPreferred(t, p, tried, "")
}

// pickPreferred returns the same with a preferred upstream.
func pickPreferred(t *testing.T, p *places.Places, tried []string, prefer string) string {
	t.Helper()
	req := places.Request{Arrived: time.Now(), Aim: 300 * time.Millisecond, Deadline: time.Now().Add(time.Second), Want: picker.Want{Service: route.Service{Name: "plain"}, Avoid: tried, Own: true}, Prefer: prefer}
	c, err := p.PickAnother(req)
	if err != nil {
		t.Fatal(err)
	}
	p.Dropped(req, c.Upstream, 0)
	return c.Upstream.ID
}

func sumOf(counts map[string]int, ids []string) (sum int) {
	for _, id := range ids {
		sum += counts[id]
	}
	return sum
}

// newRegionalPlaces returns the places of a box in h0, with an upstream in each of six
// halls.
func newRegionalPlaces(regions map[string]string, busy, failing []string) *places.Places {
	p, _ := newRegionalPlacesAndLoads(regions, busy, failing)
	return p
}

func newRegionalPlacesAndLoads(regions map[string]string, busy, failing []string) (*places.Places, *upstreamload.Tracker) {
	now := time.Now()
	f, loads, outcomes := fleet.New(time.Second), upstreamload.New(), reliability.New()
	var list []fleet.Upstream
	for i := range 6 {
		id := fmt.Sprint("u", i)
		list = append(list, fleet.Upstream{ID: id, Service: "plain", Hall: fmt.Sprint("h", i), Slots: slots, State: fleet.Open})
		if slices.Contains(busy, id) {
			loads.Begin(id, upstreamload.Load{Requests: slots})
		}
		for n := range 50 {
			outcomes.Record(now, id, slices.Contains(failing, id) && n%5 > 0)
		}
	}
	f.Replace(now, list, 1, false)
	m := distance.New(regions)
	chooser := picker.New(picker.Components{Fleet: f, Loads: loads, Reliability: outcomes, Prefill: prefill.New(), Hall: "h0", Regions: m, Random: rand.New(rand.NewPCG(1, 1))})
	return places.New(places.Components{
		Ranker: chooser, Failing: outcomes.FailureRate, Counter: noCounter{}, Hall: "h0", Regions: m, Random: rand.New(rand.NewPCG(1, 2)), Log: logs.New(io.Discard, "info", "b"),
	}), loads
}

// TestOneRegionUnchanged checks that with one region the same upstreams are chosen from
// the same random numbers as without regions.
func TestOneRegionUnchanged(t *testing.T) {
	const choices = uint64(4299000977011586808)
	maps := map[string]map[string]string{
		"no regions": nil,
		"one region": {"h0": "west", "h1": "west", "h2": "west", "h3": "west", "h4": "west", "h5": "west"},
	}
	for name, regions := range maps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is.New(t).Equal(hashOfChoices(t, regions), choices)
			})
		})
	}
}

// hashOfChoices returns a hash of the upstreams chosen with different ones busy and
// failing.
func hashOfChoices(t *testing.T, regions map[string]string) uint64 {
	t.Helper()
	hash := fnv.New64a()
	for _, busy := range [][]string{nil, {"u0"}, {"u0", "u1", "u2"}} {
		for _, failing := range [][]string{nil, {"u0"}, {"u0", "u3"}} {
			p := newRegionalPlaces(regions, busy, failing)
			for i := range 200 {
				var tried []string
				if i%3 == 0 {
					tried = []string{"u0"}
				}
				fmt.Fprint(hash, pickAnother(t, p, tried), " ")
			}
		}
	}
	return hash.Sum64()
}
