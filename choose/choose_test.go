package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/choose"
	"petrelstep/fleet"
	"petrelstep/reliability"
	"petrelstep/route"
	"petrelstep/tally"
)

const memory = 30000

var service = route.Service{Name: "llm", Engine: &route.Engine{Slots: 24, Memory: memory}}

// chooser returns a chooser of a box in Leith, before upstreams in halls; loads
// are the tokens that already run at some of them.
func chooser(halls []string, loads map[int]int) *choose.Chooser {
	f := fleet.New(time.Second)
	list := make([]fleet.Upstream, len(halls))
	for i, hall := range halls {
		list[i] = fleet.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Hall: hall, Slots: 24, State: fleet.Open}
	}
	f.Replace(time.Now(), list, 1, false)
	running := tally.New()
	for i, tokens := range loads {
		running.Begin(fmt.Sprint("e", i), tally.Load{Requests: 1, Tokens: tokens})
	}
	return choose.New(f, running, reliability.New(), "leith", rand.New(rand.NewPCG(1, 1)))
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
				u, _, ok := c.Choose(time.Now(), choose.Want{Service: service, Tokens: 4000, Hall: "leith", Moves: true})
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
		u, _, ok := c.Choose(time.Now(), choose.Want{Service: service, Tokens: 4000})
		is.True(ok)
		seen[u.ID] = true
	}
	is.True(len(seen) >= 8)
}
