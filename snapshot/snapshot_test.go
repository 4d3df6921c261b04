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

// fleetOf returns a fleet with a number of upstreams, with random ids and addresses.
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

// TestPacked checks that a decoded snapshot equals the fleet, and when a new one is
// encoded.
func TestPacked(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		after     time.Duration // until the second call
		encoded   int
	}{
		"two at once":          {upstreams: 100, after: 100 * time.Millisecond, encoded: 1},
		"the second one later": {upstreams: 100, after: time.Second, encoded: 2},
		"an empty fleet":       {encoded: 1},
		"a very large fleet":   {upstreams: 20000, after: time.Millisecond, encoded: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoded, list := 0, fleetOf(tt.upstreams)
			s := snapshot.New(func() ([]wire.UpstreamRecord, int) {
				encoded++
				return list, encoded
			})
			_, _, err := s.Packed(now)
			is.NoErr(err)
			packed, change, err := s.Packed(now.Add(tt.after))
			is.NoErr(err)
			is.Equal(encoded, tt.encoded)
			is.Equal(change, encoded)
			got, err := snapshot.Unpack(packed)
			is.NoErr(err)
			is.Equal(len(got), len(list))
			for i := range list {
				is.Equal(got[i], list[i])
			}
			is.True(len(packed) <= 200+32*tt.upstreams) // bytes
		})
	}
}

// TestUnreadable checks that invalid input is an error.
func TestUnreadable(t *testing.T) {
	for name, packed := range map[string]string{"nothing": "", "other bytes": "not a fleet", "truncated": truncated(t)} {
		t.Run(name, func(t *testing.T) {
			_, err := snapshot.Unpack(packed)
			is.New(t).True(err != nil)
		})
	}
}

func truncated(t *testing.T) string {
	t.Helper()
	packed, _, err := snapshot.New(func() ([]wire.UpstreamRecord, int) { return fleetOf(50), 1 }).Packed(now)
	is.New(t).NoErr(err)
	return packed[:len(packed)/2]
}

// BenchmarkPacked measures the first and further calls on a hub, and decoding on a box,
// by the number of upstreams.
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
