package trialorder_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/canary/trialorder"
)

// TestFirst checks which upstream gets the requests of a trial.
func TestFirst(t *testing.T) {
	tests := map[string]struct {
		list []trialorder.Upstream
		want string
	}{
		"none":                    {},
		"most requests":           {list: []trialorder.Upstream{{ID: "a", Sent: 3}, {ID: "b", Sent: 8}, {ID: "c"}}, want: "b"},
		"most requests, by rank":  {list: []trialorder.Upstream{{ID: "a", Sent: 3, Rank: 1}, {ID: "b", Sent: 8, Rank: 1}}, want: "b"},
		"lower rank":              {list: []trialorder.Upstream{{ID: "a", Sent: 8, Rank: 1}, {ID: "b", Sent: 3}}, want: "b"},
		"no requests, lower rank": {list: []trialorder.Upstream{{ID: "a", Rank: 1}, {ID: "b"}}, want: "b"},
		"cold":                    {list: []trialorder.Upstream{{ID: "a", Sent: 3, Cold: true}, {ID: "b"}}, want: "b"},
		"all cold":                {list: []trialorder.Upstream{{ID: "a", Sent: 3, Cold: true}, {ID: "b", Cold: true}}, want: "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(trialorder.First(7, tt.list), tt.want) })
	}
}

// TestFirstOfOrders checks that orders begin with different upstreams.
func TestFirstOfOrders(t *testing.T) {
	is := is.New(t)
	list := []trialorder.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	first := map[string]int{}
	for order := range 300 {
		first[trialorder.First(int64(order), list)]++
	}
	for _, u := range list {
		is.True(first[u.ID] > 50)
	}
	reversed := []trialorder.Upstream{list[2], list[1], list[0]}
	for order := range 20 {
		is.Equal(trialorder.First(int64(order), list), trialorder.First(int64(order), reversed))
	}
}
