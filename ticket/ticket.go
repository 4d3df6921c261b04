// Package ticket signs request ids, so that any box can resume a stream without
// state shared between boxes.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
)

// signatureBytes is the length of the truncated HMAC-SHA256 in an id.
const signatureBytes = 16

// Claims are the signed contents of a request id.
type Claims struct {
	Attempt      string `json:"a"`
	Engine       string `json:"e"`
	Address      string `json:"d"`
	Organisation string `json:"o"`
	Model        string `json:"m"`
	Box          string `json:"b"` // box that dispatched it
}

// Error reports that an id is malformed or was not signed with the shared key.
type Error struct{ Detail string }

// Error implements error.
func (e *Error) Error() string { return "request id: " + e.Detail }

// Ticket signs and verifies ids with a key that all boxes share.
type Ticket struct{ key []byte }

// New returns a signer.
func New(key string) *Ticket { return &Ticket{key: []byte(key)} }

// Seal returns the signed id for claims.
func (t *Ticket) Seal(c Claims) string {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings always encode
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	return body + "." + base64.RawURLEncoding.EncodeToString(t.sign(body))
}

// Open verifies an id and returns its claims.
func (t *Ticket) Open(id string) (Claims, error) {
	body, signature, ok := strings.Cut(id, ".")
	if !ok {
		return Claims{}, &Error{Detail: "no signature"}
	}
	given, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(given, t.sign(body)) {
		return Claims{}, &Error{Detail: "wrong signature"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Claims{}, &Error{Detail: err.Error()}
	}
	var c Claims
	if err := json.Unmarshal(raw, &c); err != nil {
		return Claims{}, &Error{Detail: err.Error()}
	}
	return c, nil
}

func (t *Ticket) sign(body string) []byte {
	mac := hmac.New(sha256.New, t.key)
	mac.Write([]byte(body))
	return mac.Sum(nil)[:signatureBytes]
}
