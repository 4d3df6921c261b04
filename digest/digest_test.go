package digest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/digest"
	"petrelstep/wire"
)

var start = time.Unix(1_700_000_000, 0)

func load(used, waiting int, leaving bool) []wire.EngineLoad {
	return []wire.EngineLoad{{Engine: "e", Incarnation: 1, Capacity: 1000, Used: used, Waiting: waiting, Leaving: leaving, Ready: true}}
}

// TestLoads checks whether a second report is sent some time after the first.
func TestLoads(t *testing.T) {
	tests := map[string]struct {
		second []wire.EngineLoad
		after  time.Duration
		sent   bool
	}{
		"the same":          {load(500, 0, false), time.Second, false},
		"a little more":     {load(540, 0, false), time.Second, false},
		"much more":         {load(560, 0, false), time.Second, true},
		"one waiting":       {load(500, 1, false), time.Second, true},
		"leaving":           {load(500, 0, true), time.Second, true},
		"the same, refresh": {load(500, 0, false), 3 * time.Second, true},
		"within the period": {load(900, 0, false), time.Second / 2, true}, // the first is sent again
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := digest.New(time.Second)
			first, _ := d.Make(start, load(500, 0, false), nil)
			is.Equal(len(first), 1)
			second, _ := d.Make(start.Add(tt.after), tt.second, nil)
			is.Equal(len(second) == 1, tt.sent)
		})
	}
}

// TestDemands checks that the entries of a digest are bounded, and that all
// entries are sent eventually.
func TestDemands(t *testing.T) {
	is := is.New(t)
	d := digest.New(time.Second)
	var all []wire.Demand
	for i := range 30 {
		all = append(all, wire.Demand{Organisation: fmt.Sprint("o", i), Rate: 1})
	}
	sent := map[string]bool{}
	for i := range 8 {
		_, demands := d.Make(start.Add(time.Duration(i)*time.Second), nil, all)
		is.True(len(demands) <= 4)
		for _, x := range demands {
			sent[x.Organisation] = true
		}
	}
	is.Equal(len(sent), 30)
}
