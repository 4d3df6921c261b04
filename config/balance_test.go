package config_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/config"
	"petrelstep/wire"
)

// TestBalances shows which parts are on.
func TestBalances(t *testing.T) {
	tests := map[string]struct {
		edge *wire.Edge
		want bool
	}{
		"no edge": {},
		"none":    {edge: &wire.Edge{}},
		"another": {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemShares}}},
		"this":    {edge: &wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemShares, wire.EdgeBalanceElemSpeeds}}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := config.Config{Settings: wire.Settings{Edge: tt.edge}}
			is.New(t).Equal(c.Balances(wire.EdgeBalanceElemSpeeds), tt.want)
		})
	}
}
