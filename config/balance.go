package config

import (
	"slices"

	"petrelstep/wire"
)

// Balances reports whether a feature of load balancing is enabled.
func (c Config) Balances(feature wire.EdgeBalanceElem) bool {
	return c.Edge != nil && slices.Contains(c.Edge.Balance, feature)
}
