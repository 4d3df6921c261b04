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

// TestTakenPort gives a box's operator address to a server that answers all:
// the box is started on other addresses, and the set is not taken in by it.
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
