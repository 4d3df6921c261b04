// Package uniqueid makes ids that are never used again: of attempts, of
// transactions, of rows.
package uniqueid

import (
	"crypto/rand"
	"encoding/base64"
)

// size is the randomness of an id, in bytes: at a million a second no two meet
// in thousands of years.
const size = 12

// New returns an id of 16 characters that may stand in a path. They are short
// because home boxes are told of each attempt often.
func New() string {
	var b [size]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}
