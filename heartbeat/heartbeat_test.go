package heartbeat_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"petrelstep/heartbeat"
	"petrelstep/members"
)

// TestChoose checks the minimum and maximum number of peers of each box.
func TestChoose(t *testing.T) {
	tests := map[string]struct{ halls, boxesPerHall, maxPeers int }{
		"small fleet": {halls: 4, boxesPerHall: 2, maxPeers: 1 + 3*2},
		"one hall":    {halls: 1, boxesPerHall: 7, maxPeers: 6},
		"large fleet": {halls: 13, boxesPerHall: 27, maxPeers: 26 + 12*2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all []members.Box
			for i := range tt.halls * tt.boxesPerHall {
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
				is.True(len(chosen) <= tt.maxPeers)
				is.True(len(chosen) >= tt.boxesPerHall-1)
			}
		})
	}
}
