package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"petrelstep/quota"
)

var start = time.Unix(1_700_000_000, 0)

// boxes is a set of boxes that tell each other of demand, or do not.
type boxes []*quota.Quota

func newBoxes(n int) boxes {
	b := make(boxes, n)
	for i := range b {
		b[i] = quota.New(n)
	}
	return b
}

func (b boxes) tell(now time.Time) {
	for i, from := range b {
		uses := from.Uses(now)
		for j, to := range b {
			if i != j {
				to.Update(now, fmt.Sprint("box", i), uses)
			}
		}
	}
}

// offered sends so many requests a second to each box for a while and returns
// how many were let in, a second.
func (b boxes) offered(rates []int, told bool, limit float64) float64 {
	const seconds = 30
	admitted := 0
	now := start
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		tick := int(now.Sub(start) / (10 * time.Millisecond))
		if told && tick%100 == 0 {
			b.tell(now)
		}
		for i, rate := range rates {
			if rate == 0 || tick%(100/rate) != 0 {
				continue
			}
			if ok, _ := b[i].Allow(now, "o", limit); ok && tick > 1000 {
				admitted++
			}
		}
	}
	return float64(admitted) / (seconds - 10)
}

// TestRequest holds the sum over boxes against the limit.
func TestRequest(t *testing.T) {
	tests := map[string]struct {
		rates       []int // offered to each box, a second
		told        bool
		least, most float64 // of the limit of 20 a second
	}{
		"even":            {rates: []int{10, 10, 10, 10}, told: true, least: 16, most: 22},
		"all at one box":  {rates: []int{50, 0, 0, 0}, told: true, least: 14, most: 22},
		"uneven":          {rates: []int{50, 10, 0, 0}, told: true, least: 14, most: 22},
		"parted, even":    {rates: []int{10, 10, 10, 10}, least: 16, most: 22},
		"parted, one box": {rates: []int{50, 0, 0, 0}, least: 3, most: 6},
		"below the limit": {rates: []int{2, 2, 2, 2}, told: true, least: 7.5, most: 8.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := newBoxes(4).offered(tt.rates, tt.told, 20)
			is.True(got >= tt.least)
			is.True(got <= tt.most)
		})
	}
}

// TestPromiseNeverOver promises and returns memory at random, with digests now
// and then: what is in flight never passes the limit by more than a part.
func TestPromiseNeverOver(t *testing.T) {
	const limit, n = 1000, 4
	rapid.Check(t, func(rt *rapid.T) {
		b := newBoxes(n)
		held := make([][]int, n)
		now := start
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Second)
			b.step(rt, now, held, limit)
		}
		sum := 0
		for _, tokens := range slices.Concat(held...) {
			sum += tokens
		}
		if sum > 2*limit {
			rt.Fatalf("%d in flight of %d", sum, limit)
		}
	})
}

// step tells, returns or promises at one box.
func (b boxes) step(rt *rapid.T, now time.Time, held [][]int, limit int) {
	i := rapid.IntRange(0, len(b)-1).Draw(rt, "box")
	switch rapid.IntRange(0, 3).Draw(rt, "does") {
	case 0:
		b.tell(now)
	case 1:
		if len(held[i]) > 0 {
			b[i].Release("o", held[i][0])
			held[i] = held[i][1:]
		}
	default:
		tokens := rapid.IntRange(1, 200).Draw(rt, "tokens")
		if b[i].Reserve(now, "o", tokens, limit) {
			held[i] = append(held[i], tokens)
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, peers := range []int{6, 50, 350} {
		b.Run(fmt.Sprint(peers, " peers"), func(b *testing.B) {
			q := quota.New(peers + 1)
			now := time.Now()
			for i := range peers {
				q.Update(now, fmt.Sprint("box", i), map[string]quota.Use{"o": {Rate: 1, Tokens: 100}})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Allow(now, "o", 1000)
			}
		})
	}
}
