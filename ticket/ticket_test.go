package ticket_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/ticket"
)

var claims = ticket.Claims{Attempt: "a", Engine: "e", Address: "127.0.0.1:1", Organisation: "o", Model: "m", Box: "b"}

func TestOpen(t *testing.T) {
	key := ticket.New("a key of thirty-two characters..")
	id := key.Seal(claims)
	tests := map[string]struct {
		id string
		ok bool
	}{
		"sealed":            {id, true},
		"changed claim":     {"x" + id, false},
		"changed signature": {id[:len(id)-2] + "xx", false},
		"no signature":      {id[:10], false},
		"another key's":     {ticket.New("another key").Seal(claims), false},
		"empty":             {"", false},
		"only a dot":        {".", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := key.Open(tt.id)
			is.Equal(err == nil, tt.ok)
			if tt.ok {
				is.Equal(got, claims)
			}
		})
	}
}

// FuzzOpen checks that only sealed ids can be opened.
func FuzzOpen(f *testing.F) {
	key := ticket.New("a key of thirty-two characters..")
	id := key.Seal(claims)
	f.Add(id)
	f.Add(id[:20] + ".AAAA")
	f.Fuzz(func(t *testing.T, in string) {
		got, err := key.Open(in)
		if err == nil && got != claims {
			t.Fatalf("%q opened as %v", in, got)
		}
	})
}
