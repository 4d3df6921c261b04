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
		"no edge section":      {},
		"none enabled":         {edge: &wire.Edge{}},
		"only another enabled": {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemShares}}},
		"enabled":              {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemBuffers}}, want: true},
		"enabled with others":  {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemShares, wire.EdgeBalanceElemBuffers}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := config.Config{Settings: wire.Settings{Edge: tt.edge}}
			is.New(t).Equal(c.Balances(wire.EdgeBalanceElemBuffers), tt.want)
		})
	}
}
