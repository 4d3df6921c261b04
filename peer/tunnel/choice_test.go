package tunnel_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/distance"
	"petrelstep/links"
	"petrelstep/members"
	"petrelstep/peer/tunnel"
)

// TestChoice checks which boxes are asked first.
func TestChoice(t *testing.T) {
	regions := distance.New(map[string]string{"h1": "west", "h2": "west", "h3": "east"})
	box := func(name, hall string) members.Box {
		return members.Box{Name: name, Hall: hall, State: members.Suspect}
	}
	a1, b1, a2, a3 := box("a1", "h1"), box("b1", "h1"), box("a2", "h2"), box("a3", "h3")
	leaving := box("l1", "h1")
	leaving.State = members.Leaving
	all := []members.Box{a3, a2, a1, leaving}
	type failure struct {
		box     members.Box
		outcome string
	}
	tests := map[string]struct {
		boxes    []members.Box
		regions  []string
		failures []failure
		after    time.Duration
		want     []string
	}{
		"nearest first, none that leaves":      {boxes: all, want: []string{"a1", "a2", "a3"}},
		"each hall before another of one":      {boxes: []members.Box{a1, b1, a3}, failures: []failure{{b1, tunnel.Full}}, after: 2 * time.Second, want: []string{"h1", "a3", "h1"}},
		"allowed regions only":                 {boxes: all, regions: []string{"east"}, want: []string{"a3"}},
		"not one that is full":                 {boxes: all, failures: []failure{{a1, tunnel.Full}}, want: []string{"a2", "a3"}},
		"not one that was overtaken":           {boxes: all, failures: []failure{{a1, tunnel.Overtaken}}, want: []string{"a2", "a3"}},
		"full a second ago":                    {boxes: all, failures: []failure{{a1, tunnel.Full}}, after: time.Second, want: []string{"a1", "a2", "a3"}},
		"not one that did not answer":          {boxes: all, failures: []failure{{a1, ""}}, after: 9 * time.Second, want: []string{"a2", "a3"}},
		"the hall of one that is cut off last": {boxes: []members.Box{a1, b1, a2, a3}, failures: []failure{{a1, tunnel.LinkCut}}, want: []string{"a2", "a3", "b1"}},
		"an upstream that has ended":           {boxes: all, failures: []failure{{a1, links.Refused}}, want: []string{"a1", "a2", "a3"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := tunnel.NewChoice("h1", regions, rand.New(rand.NewPCG(1, 1)))
			now := time.Now()
			for _, f := range tt.failures {
				c.Failed(now, f.box, f.outcome)
			}
			got := c.Order(now.Add(tt.after), tt.boxes, tt.regions)
			is.Equal(len(got), len(tt.want))
			for i, b := range got {
				is.True(b.Name == tt.want[i] || b.Hall == tt.want[i])
			}
		})
	}
}
