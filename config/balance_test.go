package config_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/wire"
)

func TestBalances(t *testing.T) {
	for name, tt := range map[string]struct {
		edge *wire.Edge
		want bool
	}{
		"no edge":      {},
		"none are on":  {edge: &wire.Edge{}},
		"another is":   {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemShares}}},
		"it is":        {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemBuffers}}, want: true},
		"among others": {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemShares, wire.EdgeBalanceElemBuffers}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := config.Config{Settings: wire.Settings{Edge: tt.edge}}
			is.New(t).Equal(c.Balances(wire.EdgeBalanceElemBuffers), tt.want)
		})
	}
}
