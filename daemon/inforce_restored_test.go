package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/standin/cluster"
	"petrelstep/wire"
)

// declared returns the resources at a box, and the region of a hall.
func declared(s *cluster.Cluster, b *cluster.Box, hall string) (all, region string) {
	c := s.Admin(b)
	defer c.Close()
	var list wire.ResourceList
	if err := c.Call(context.Background(), http.MethodGet, "/v1/resources", nil, &list); err != nil {
		return err.Error(), ""
	}
	for _, item := range list.Items {
		if item.Name == hall {
			region = string(item.Spec)
		}
		all += fmt.Sprintf("%s/%s %d %d %s\n", item.Kind, item.Name, item.Version, item.Revision, item.Spec)
	}
	return fmt.Sprint(list.Revision, "\n", all), region
}

// TestInForceRestored guards against daemons with different configurations, and lost changes, after
// the store came back from an older copy and a daemon started that had not known them.
func TestInForceRestored(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 3, engines(1, 8))
	for round := range 2 {
		copied := s.Platform.Copy()
		lost, since := fmt.Sprint("lost-", round), fmt.Sprint("since-", round)
		_, err := s.Put(0, cluster.Resource(wire.ResourceKindHall, lost, map[string]string{"region": "r"}))
		is.NoErr(err)
		s.Kill(2)
		s.Platform.Suspend()
		s.Platform.Restore(copied)
		back := time.Now()
		is.NoErr(s.StartBox(2))
		is.True(s.Await(func() bool {
			_, err := s.Put(2, cluster.Resource(wire.ResourceKindHall, since, map[string]string{"region": "r"}))
			return err == nil
		}))
		is.True(s.Await(func() bool {
			first, region := declared(s, s.Boxes[0], lost)
			_, added := declared(s, s.Boxes[0], since)
			for _, b := range s.Boxes {
				if other, _ := declared(s, b, lost); other != first {
					return false
				}
			}
			return region != "" && added != ""
		}))
		t.Log("all daemons had the same after", time.Since(back).Round(time.Millisecond))
	}
}
