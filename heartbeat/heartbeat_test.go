package heartbeat_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"petrelstep/heartbeat"
	"petrelstep/members"
)

// TestChoose bounds the peers of a box, and holds that every box is beaten to
// by some box of each other hall.
func TestChoose(t *testing.T) {
	tests := map[string]struct{ halls, each, most int }{
		"today":   {halls: 4, each: 2, most: 1 + 3*2},
		"one":     {halls: 1, each: 7, most: 6},
		"at size": {halls: 13, each: 27, most: 26 + 12*2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all []members.Box
			for i := range tt.halls * tt.each {
				all = append(all, members.Box{Name: fmt.Sprint("b", i), Hall: fmt.Sprint("h", i%tt.halls), Address: fmt.Sprint(i)})
			}
			for _, self := range all {
				var peers []members.Box
				for _, b := range all {
					if b.Name != self.Name {
						peers = append(peers, b)
					}
				}
				chosen := heartbeat.Choose(self, peers)
				is.True(len(chosen) <= tt.most)
				is.True(len(chosen) >= tt.each-1)
			}
		})
	}
}
