package speeds

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSameView shows that the same words make the same view, to the last bit: one that
// depends on the order of a map makes two plays of one scene differ.
func TestSameView(t *testing.T) {
	is := is.New(t)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("e", i))
	}
	now := time.Now()
	play := func() (*view, risk) {
		s := newSpeeds(ids...)
		for i, id := range ids[1:] {
			streams(s, now, id, ms(16+3*i), ms(50+7*i), 48)
			s.RecordPrefill(now, engine(id), 3000, ms(500+31*i))
		}
		v := s.view(now.Add(time.Second), "llm")
		return v, v.risks(gap).like
	}
	first, like := play()
	for range 50 {
		v, l := play()
		is.Equal(v.speeds, first.speeds)
		is.Equal(v.read, first.read)
		is.Equal(l, like)
	}
}
