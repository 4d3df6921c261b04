// Package uniqueid generates random ids of attempts, transactions and rows.
package uniqueid

import (
	"crypto/rand"
	"encoding/base64"
)

// size is the length of the random bytes of an id, enough to make collisions
// negligible.
const size = 12

// New returns a URL-safe id of 16 characters. It is short as each report to a home
// box contains the id of every attempt.
func New() string {
	var b [size]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}
