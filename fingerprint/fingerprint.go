// Package fingerprint identifies equal requests: the same content from the same caller,
// whatever its id, its connection and the box that receives it.
package fingerprint

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// size is the size of a fingerprint in bytes. It is large enough that no caller can
// construct a collision with another's request.
const size = 16

// Fingerprint is the hash that all attempts of one request share. The zero value stands
// for none.
type Fingerprint [size]byte

// New returns the fingerprint of a sequence of parts.
func New(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p))) // delimits the parts
		hash.Write(length[:])
		hash.Write(p)
	}
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// SizeError says that a text is not a valid fingerprint.
type SizeError struct{ Text string }

// Error implements error.
func (e *SizeError) Error() string { return "invalid fingerprint: " + e.Text }

// Parse returns the fingerprint for a text that String returned.
func Parse(text string) (Fingerprint, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != size {
		return Fingerprint{}, &SizeError{Text: text}
	}
	return Fingerprint(raw), nil
}

// String returns the fingerprint as it is used in logs and messages.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }
