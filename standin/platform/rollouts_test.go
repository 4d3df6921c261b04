package platform_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/platform/store"
	"petrelstep/revision"
	"petrelstep/standin/platform"
)

// TestRollout checks that an order's row is a condition of writes to the status, and that all
// statuses written are known after the history is dropped.
func TestRollout(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	c := client(t, p)
	p.OrderRollout("llm", "v2", 12*time.Second)
	order := rowOf(t, c, "op", "rollout/llm")
	is.Equal(string(order.Value), `{"duration_s":12,"service":"llm","target_version":"v2"}`)
	_, written := p.RolloutStatus("llm")
	is.True(!written)

	put := func(state string, orderVersion, statusVersion revision.Revision) bool {
		return transact(t, c, store.Transaction{
			Expect: []store.Expect{{Table: "op", Key: "rollout/llm", Version: orderVersion}, {Table: "status", Key: "rollout/llm", Version: statusVersion}},
			Put:    []store.Row{{Table: "status", Key: "rollout/llm", Value: []byte(`{"target_version":"v2","state":"` + state + `"}`)}},
		})
	}
	is.True(put("running", order.Version, 0))
	is.True(!put("completed", order.Version, 0)) // the status has changed
	running := rowOf(t, c, "status", "rollout/llm")
	p.WithdrawRollout("llm")
	is.True(!put("completed", order.Version, running.Version)) // the order is gone
	p.Forget()
	is.True(put("rolled_back", 0, running.Version))

	var states []string
	for _, s := range p.RolloutStatuses("llm") {
		is.Equal(s.Target, "v2")
		states = append(states, s.State)
	}
	is.Equal(states, []string{"running", "rolled_back"})
	is.Equal(len(p.RolloutStatuses("plain")), 0)
}

func client(t *testing.T, p *platform.Platform) *store.Store {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	s := store.New(strings.TrimPrefix(server.URL, "http://"), nil)
	t.Cleanup(s.Close)
	return s
}

func rowOf(t *testing.T, c *store.Store, table, key string) store.Row {
	t.Helper()
	rows, _, err := c.Rows(context.Background(), store.Range{Table: table, From: key, Until: key + "0"})
	if err != nil || len(rows) != 1 {
		t.Fatal(rows, err)
	}
	return rows[0]
}

func transact(t *testing.T, c *store.Store, tx store.Transaction) bool {
	t.Helper()
	done, _, err := c.Transact(context.Background(), tx)
	if err != nil {
		t.Fatal(err)
	}
	return done
}
