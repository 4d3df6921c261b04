package speeds

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSameView checks that the same observations make the same view to the last bit. A
// view that depended on the order of a map would make simulations irreproducible.
func TestSameView(t *testing.T) {
	is := is.New(t)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("e", i))
	}
	now := time.Now()
	build := func() (*view, risk) {
		s := newSpeeds(ids...)
		for i, id := range ids[1:] {
			playStream(s, now, id, ms(16+3*i), ms(50+7*i), 48)
			s.RecordPrefill(now, engine(id), 3000, ms(500+31*i))
		}
		v := s.view(now.Add(time.Second), "llm")
		return v, v.risks(gap).typical
	}
	first, typical := build()
	for range 50 {
		v, r := build()
		is.Equal(v.speeds, first.speeds)
		is.Equal(v.prefill, first.prefill)
		is.Equal(r, typical)
	}
}
