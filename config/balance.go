package config

import (
	"slices"

	"petrelstep/wire"
)

// Balances tells whether a part that decides under load is on.
func (c Config) Balances(part wire.EdgeBalanceElem) bool {
	return c.Edge != nil && slices.Contains(c.Edge.Balance, part)
}
