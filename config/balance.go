package config

import (
	"slices"

	"petrelstep/wire"
)

// Balances tells whether a part of the decisions under load is switched on.
func (c Config) Balances(part wire.EdgeBalanceElem) bool {
	return slices.Contains(c.Edge.Balance, part)
}
