package picker_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/picker"
	"petrelstep/prefill"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/upstreamload"
	"petrelstep/warmup"
	"petrelstep/wire"
)

const memory = 30000

var service = route.Service{Name: "llm", Engine: &route.Engine{Slots: 24, Memory: memory}}

// chooser returns a chooser of a box in Leith, before upstreams in halls; loads
// are the tokens that already run at some of them.
func chooser(halls []string, loads map[int]int) *picker.Picker {
	c, running := chooserOf(halls)
	for i, tokens := range loads {
		running.Begin(fmt.Sprint("e", i), upstreamload.Load{Requests: 1, Tokens: tokens})
	}
	return c
}

// chooserOf returns such a chooser and the tally that it looks into.
func chooserOf(halls []string) (*picker.Picker, *upstreamload.Tracker) {
	f := fleet.New(time.Second)
	list := make([]fleet.Upstream, len(halls))
	for i, hall := range halls {
		list[i] = fleet.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Hall: hall, Slots: 24, State: fleet.Open}
	}
	f.Replace(time.Now(), list, 1, false)
	running := upstreamload.New()
	return picker.New(picker.Parts{Fleet: f, Tally: running, Reliability: reliability.New(), Reading: prefill.New(), Hall: "leith", Random: rand.New(rand.NewPCG(1, 1))}), running
}

// spread returns n upstreams, every fourth of them in Leith.
func spread(n int) []string {
	halls := make([]string, n)
	for i := range halls {
		halls[i] = []string{"leith", "gorgie", "sighthill", "musselburgh"}[i%4]
	}
	return halls
}

// TestMovesStayInTheHall shows that a run moves within its hall, over any draw
// of the upstreams that are weighed, unless there is no room.
func TestMovesStayInTheHall(t *testing.T) {
	full := map[int]int{}
	for i := 0; i < 40; i += 4 {
		full[i] = memory
	}
	used := map[int]int{}
	for i := 0; i < 40; i += 4 {
		used[i] = memory / 3
	}
	tests := map[string]struct {
		halls []string
		loads map[int]int
		near  bool
	}{
		"few":                      {halls: spread(8), near: true},
		"many":                     {halls: spread(40), near: true},
		"many, the hall is in use": {halls: spread(40), loads: used, near: true},
		"many, the hall is full":   {halls: spread(40), loads: full},
		"none in the hall":         {halls: []string{"gorgie", "sighthill"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := chooser(tt.halls, tt.loads)
			for range 50 {
				u, _, ok := c.Choose(time.Now(), picker.Want{Service: service, Tokens: 4000, Hall: "leith", Moves: true})
				is.True(ok)
				is.Equal(u.Hall == "leith", tt.near)
			}
		})
	}
}

// TestChooseSpreads shows that not all boxes that see the same least loaded of
// many upstreams send there.
func TestChooseSpreads(t *testing.T) {
	is := is.New(t)
	c := chooser(spread(40), nil)
	seen := map[string]bool{}
	for range 50 {
		u, _, ok := c.Choose(time.Now(), picker.Want{Service: service, Tokens: 4000})
		is.True(ok)
		seen[u.ID] = true
	}
	is.True(len(seen) >= 8)
}

// TestPlaces shows what goes before what, over the noise.
func TestPlaces(t *testing.T) {
	pace := func(us int) upstreamload.Load {
		return upstreamload.Load{Requests: 3, Tokens: 9000, Coming: 3000, Paced: 3, PaceUs: 3 * us}
	}
	usual := pace(35000)
	tests := map[string]struct {
		halls []string
		loads []upstreamload.Load
		want  string
	}{
		"the emptier":                    {halls: []string{"leith", "leith"}, loads: []upstreamload.Load{usual, {}}, want: "e1"},
		"the own hall":                   {halls: []string{"gorgie", "leith"}, loads: []upstreamload.Load{{}, {Requests: 1, Tokens: 4000, Coming: 900}}, want: "e1"},
		"another, if the own is fuller":  {halls: []string{"gorgie", "leith"}, loads: []upstreamload.Load{{}, usual}, want: "e0"},
		"not the slow one":               {halls: []string{"leith", "leith", "leith"}, loads: []upstreamload.Load{pace(140000), usual, usual}, want: "not e0"},
		"one that reads is not slow":     {halls: []string{"leith", "leith", "leith"}, loads: []upstreamload.Load{{Requests: 2, Tokens: 6000, Coming: 1000, Paced: 2, PaceUs: 2 * 65000}, usual, usual}, want: "e0"},
		"one that was never tried is":    {halls: []string{"leith", "leith"}, loads: []upstreamload.Load{usual, {}}, want: "e1"},
		"the one with less to be read":   {halls: []string{"leith", "leith"}, loads: []upstreamload.Load{{Requests: 3, Tokens: 9000, Prefill: 6000}, {Requests: 3, Tokens: 9000}}, want: "e1"},
		"memory before a moment's wait":  {halls: []string{"leith", "leith"}, loads: []upstreamload.Load{{Requests: 3, Tokens: 9000, Prefill: 2000}, {Requests: 7, Tokens: 20000}}, want: "e0"},
		"all are slow: the emptier goes": {halls: []string{"leith", "leith"}, loads: []upstreamload.Load{pace(140000), {Requests: 1, Tokens: 3000, Paced: 1, PaceUs: 140000}}, want: "e1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, running := chooserOf(tt.halls)
			for i, l := range tt.loads {
				running.Told(time.Now(), fmt.Sprint("b", i), []wire.UpstreamTally{{
					Upstream: fmt.Sprint("e", i), Requests: l.Requests, Tokens: l.Tokens, Coming: l.Coming, Prefill: l.Prefill,
					Paced: l.Paced, PaceUs: l.PaceUs,
				}})
			}
			for range 50 {
				u, _, ok := c.Choose(time.Now(), picker.Want{Service: service, Tokens: 4000})
				is.True(ok)
				if unwanted, not := strings.CutPrefix(tt.want, "not "); not {
					is.True(u.ID != unwanted)
					continue
				}
				is.Equal(u.ID, tt.want)
			}
		})
	}
}

// TestCold shows which upstreams are passed by as they are cold and may get no more
// for now.
func TestCold(t *testing.T) {
	service := service
	service.ColdPerSecond = 20
	tests := map[string]struct {
		cold  int     // of two upstreams, the first so many
		part  float64 // of what they bear that this box may send
		moves bool
		want  string // empty: none
	}{
		"none is cold":                  {0, 0, false, "e0"},
		"one may get no more":           {1, 0, false, "e1"},
		"one may get more":              {1, 1, false, "e0"},
		"a run that moves is not held":  {1, 0, true, "e0"},
		"both are cold, none gets more": {2, 0, false, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			c, running := chooserOf([]string{"leith", "leith"})
			running.Begin("e1", upstreamload.Load{Requests: 1, Tokens: 9000})
			c.Warmup = warmup.New(rand.New(rand.NewPCG(1, 1)))
			c.Part = func(route.Service) float64 { return tt.part }
			for i := range tt.cold {
				u, _ := c.Fleet.Get(fmt.Sprint("e", i))
				u.Version, u.ColdUntil = 2, now.Add(time.Second)
				c.Fleet.Put(now, u)
			}
			u, _, ok := c.Choose(now, picker.Want{Service: service, Tokens: 100, Moves: tt.moves})
			is.Equal(ok, tt.want != "")
			is.Equal(u.ID, tt.want)
			warm, _, ok := c.Choose(now.Add(time.Second), picker.Want{Service: service, Tokens: 100})
			is.True(ok)
			is.Equal(warm.ID, "e0")
		})
	}
	// What was sent counts: a second holds ten.
	is := is.New(t)
	now := time.Now()
	c, _ := chooserOf([]string{"leith"})
	c.Warmup, c.Part = warmup.New(rand.New(rand.NewPCG(1, 1))), func(route.Service) float64 { return 1 }
	u := c.Fleet.Serving("llm")[0]
	u.Version, u.ColdUntil = 2, now.Add(time.Second)
	c.Fleet.Put(now, u)
	sent := 0
	for ; sent < 100; sent++ {
		if _, _, ok := c.Choose(now, picker.Want{Service: service}); !ok {
			break
		}
		c.Sent(now, service, u)
	}
	is.Equal(sent, 10)
}

// TestRegions shows that a request that is confined to regions goes nowhere else, also
// where nothing is left for it.
func TestRegions(t *testing.T) {
	tests := map[string]struct {
		halls   []string
		regions []string
		want    string // empty: none
	}{
		"not confined":              {[]string{"leith", "parnu"}, nil, "e0"},
		"confined to another":       {[]string{"leith", "parnu"}, []string{"north"}, "e1"},
		"confined to two":           {[]string{"leith", "parnu"}, []string{"north", "edinburgh"}, "e0"},
		"none there":                {[]string{"leith", "gorgie"}, []string{"north"}, ""},
		"a hall of no known region": {[]string{"elsewhere"}, []string{"north"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := chooserOf(tt.halls)
			c.Regions = map[string]string{"leith": "edinburgh", "gorgie": "edinburgh", "parnu": "north"}
			for _, moves := range []bool{false, true} {
				u, _, ok := c.Choose(time.Now(), picker.Want{Service: service, Regions: tt.regions, Moves: moves})
				is.Equal(ok, tt.want != "")
				is.Equal(u.ID, tt.want)
			}
		})
	}
}
