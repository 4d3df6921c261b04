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

// boxes is a set of boxes that may exchange digests.
type boxes []*quota.Quota

func newBoxes(n int) boxes {
	b := make(boxes, n)
	for i := range b {
		b[i] = quota.New(n)
	}
	return b
}

// exchange sends each box's digest to all others.
func (b boxes) exchange(now time.Time) {
	for i, from := range b {
		uses := from.Uses(now)
		for j, to := range b {
			if i != j {
				to.Update(now, fmt.Sprint("box", i), uses)
			}
		}
	}
}

// admittedRate sends requests at a rate per box and returns the total rate of admitted
// requests.
func (b boxes) admittedRate(rates []int, connected bool, limit float64) float64 {
	const seconds = 30
	admitted := 0
	now := start
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		tick := int(now.Sub(start) / (10 * time.Millisecond))
		if connected && tick%100 == 0 {
			b.exchange(now)
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

// TestAllow checks that all boxes together admit about as much as the limit.
func TestAllow(t *testing.T) {
	tests := map[string]struct {
		rates            []int   // requests per second, by box
		connected        bool    // the boxes exchange digests
		minRate, maxRate float64 // of a limit of 20 requests per second
	}{
		"even":                        {rates: []int{10, 10, 10, 10}, connected: true, minRate: 16, maxRate: 22},
		"all at one box":              {rates: []int{50, 0, 0, 0}, connected: true, minRate: 14, maxRate: 22},
		"uneven":                      {rates: []int{50, 10, 0, 0}, connected: true, minRate: 14, maxRate: 22},
		"partitioned, even":           {rates: []int{10, 10, 10, 10}, minRate: 16, maxRate: 22},
		"partitioned, all at one box": {rates: []int{50, 0, 0, 0}, minRate: 3, maxRate: 6},
		"below the limit":             {rates: []int{2, 2, 2, 2}, connected: true, minRate: 7.5, maxRate: 8.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := newBoxes(4).admittedRate(tt.rates, tt.connected, 20)
			is.True(got >= tt.minRate)
			is.True(got <= tt.maxRate)
		})
	}
}

// TestReserveWithinLimit reserves and releases memory at random, with occasional digests,
// and checks that the total in flight stays within twice the limit.
func TestReserveWithinLimit(t *testing.T) {
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
			rt.Fatalf("%d tokens in flight, limit %d", sum, limit)
		}
	})
}

// step sends digests, or releases or reserves memory at one box.
func (b boxes) step(rt *rapid.T, now time.Time, held [][]int, limit int) {
	i := rapid.IntRange(0, len(b)-1).Draw(rt, "box")
	switch rapid.IntRange(0, 3).Draw(rt, "does") {
	case 0:
		b.exchange(now)
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

// BenchmarkAllow measures a decision by the number of peers.
func BenchmarkAllow(b *testing.B) {
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
