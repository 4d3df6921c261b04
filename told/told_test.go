package told_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/told"
)

type count int

func (c count) Plus(o count) count { return c + o }

func words(n count) map[string]count { return map[string]count{"u": n} }

// TestOf shows whose word counts: a hub's sum before what boxes told, and none
// that is old.
func TestOf(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		tell  func(b *told.Book[count])
		after time.Duration
		want  count
	}{
		"nothing": {tell: func(*told.Book[count]) {}},
		"two boxes": {tell: func(b *told.Book[count]) {
			b.Told(now, "a", words(1))
			b.Told(now, "b", words(2))
		}, want: 3},
		"a box again": {tell: func(b *told.Book[count]) {
			b.Told(now, "a", words(1))
			b.Told(now, "a", words(5))
		}, want: 5},
		"a hub's sum": {tell: func(b *told.Book[count]) {
			b.Told(now, "a", words(1))
			b.ToldSum(now, words(7))
		}, want: 7},
		"a hub that is gone, a box that is not": {tell: func(b *told.Book[count]) {
			b.ToldSum(now, words(7))
			b.Told(now.Add(2*time.Second), "a", words(1))
		}, after: 4 * time.Second, want: 1},
		"all are gone": {tell: func(b *told.Book[count]) {
			b.ToldSum(now, words(7))
			b.Told(now, "a", words(1))
		}, after: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := told.New[count]()
			tt.tell(b)
			is.New(t).Equal(b.Of(now.Add(tt.after), "u"), tt.want)
		})
	}
}

// TestWithout shows what a hub tells a box: its own and all others' words but
// the box's.
func TestWithout(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := told.New[count]()
	b.Told(now, "a", words(1))
	b.Told(now, "b", words(2))
	b.Told(now.Add(-time.Minute), "gone", words(100))
	list := words(10)
	b.Without(now, "b", list)
	is.Equal(list, words(11))
}
