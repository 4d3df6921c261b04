package cluster

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/wire"
)

// TestTakenPort checks that a box is restarted on other addresses if another server, which
// returns 200 to all requests, has taken its operator address.
func TestTakenPort(t *testing.T) {
	is := is.New(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}")
	}))
	defer other.Close()
	taken := strings.TrimPrefix(other.URL, "http://")
	starts := 0
	s, err := New(Options{Boxes: 1, Change: func(c *wire.Settings) {
		if starts++; starts == 1 {
			c.Listen.Admin = taken
		}
	}})
	is.NoErr(err)
	defer s.Close()
	is.Equal(starts, 2)
	is.True(s.Boxes[0].Settings.Listen.Admin != taken)
}
