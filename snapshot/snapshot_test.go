package snapshot_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/snapshot"
	"petrelstep/wire"
)

var now = time.Now()

// fleetOf returns a fleet of so many upstreams, with ids and addresses by chance.
func fleetOf(upstreams int) []wire.UpstreamRecord {
	random := rand.New(rand.NewPCG(1, 1))
	var list []wire.UpstreamRecord
	for i := range upstreams {
		list = append(list, wire.UpstreamRecord{
			ID: fmt.Sprintf("i-%010x", random.Uint64()>>24), Service: "llm", Address: fmt.Sprintf("10.%d.%d.%d:8587", i%6, i/250%250, i%250),
			Hall: fmt.Sprint("hall", i%6), Slots: 24, State: "open", Version: i + 7, Born: 1786755073473 + i,
		})
	}
	return list
}

// TestPacked shows what a box is told by a snapshot, and when one is made anew.
func TestPacked(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		after     time.Duration // the second box asks
		made      int
	}{
		"two at once":          {upstreams: 100, after: 100 * time.Millisecond, made: 1},
		"one long after":       {upstreams: 100, after: time.Second, made: 2},
		"an empty fleet":       {made: 1},
		"as many as there are": {upstreams: 20000, after: time.Millisecond, made: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			made, list := 0, fleetOf(tt.upstreams)
			s := snapshot.New(func() ([]wire.UpstreamRecord, int) {
				made++
				return list, made
			})
			_, _, err := s.Packed(now)
			is.NoErr(err)
			packed, change, err := s.Packed(now.Add(tt.after))
			is.NoErr(err)
			is.Equal(made, tt.made)
			is.Equal(change, made)
			told, err := snapshot.Unpack(packed)
			is.NoErr(err)
			is.Equal(len(told), len(list))
			for i := range list {
				is.Equal(told[i], list[i])
			}
			is.True(len(packed) <= 200+32*tt.upstreams) // bytes
		})
	}
}

// TestUnreadable holds that what is no snapshot is an error.
func TestUnreadable(t *testing.T) {
	for name, packed := range map[string]string{"nothing": "", "other bytes": "not a fleet", "cut short": cut(t)} {
		t.Run(name, func(t *testing.T) {
			_, err := snapshot.Unpack(packed)
			is.New(t).True(err != nil)
		})
	}
}

func cut(t *testing.T) string {
	t.Helper()
	packed, _, err := snapshot.New(func() ([]wire.UpstreamRecord, int) { return fleetOf(50), 1 }).Packed(now)
	is.New(t).NoErr(err)
	return packed[:len(packed)/2]
}

// BenchmarkPacked is what one more box costs a hub that tells it all, and what it costs the
// box, by upstreams.
func BenchmarkPacked(b *testing.B) {
	for _, upstreams := range []int{1000, 3000, 10000, 20000} {
		list := fleetOf(upstreams)
		first := func() *snapshot.Snapshot {
			return snapshot.New(func() ([]wire.UpstreamRecord, int) { return list, 1 })
		}
		packed, _, _ := first().Packed(now)
		b.Run(fmt.Sprint("first/", upstreams), func(b *testing.B) {
			for b.Loop() {
				_, _, _ = first().Packed(now)
			}
			b.ReportMetric(float64(len(packed))/float64(upstreams), "B/upstream")
		})
		b.Run(fmt.Sprint("next/", upstreams), func(b *testing.B) {
			s := first()
			for b.Loop() {
				_, _, _ = s.Packed(now)
			}
		})
		b.Run(fmt.Sprint("unpack/", upstreams), func(b *testing.B) {
			for b.Loop() {
				_, _ = snapshot.Unpack(packed)
			}
		})
	}
}
