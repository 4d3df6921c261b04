package resource_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"petrelstep/resource"
	"petrelstep/standin/heapsize"
	"petrelstep/wire"
)

// hall returns a change to one hall's region.
func hall(revision int, name, region string) wire.Resource {
	return wire.Resource{
		Kind: wire.ResourceKindHall, Name: name, Version: revision, Revision: revision,
		Spec: json.RawMessage(fmt.Sprintf(`{"region":%q}`, region)),
	}
}

func removed(revision int, name string) wire.Resource {
	r := hall(revision, name, "x")
	r.Removed = true
	return r
}

func set(since, revision int, items ...wire.Resource) wire.ChangeSet {
	return wire.ChangeSet{Since: since, Revision: revision, Items: items}
}

func TestApply(t *testing.T) {
	tests := map[string]struct {
		sets     []wire.ChangeSet
		revision int
		regions  map[string]string
		applied  bool // the last set, completely
	}{
		"in order":                {sets: []wire.ChangeSet{set(0, 1, hall(1, "leith", "a")), set(1, 2, hall(2, "leith", "b"))}, revision: 2, regions: map[string]string{"leith": "b"}, applied: true},
		"repeated":                {sets: []wire.ChangeSet{set(0, 2, hall(1, "leith", "a"), hall(2, "leith", "b")), set(0, 1, hall(1, "leith", "a"))}, revision: 2, regions: map[string]string{"leith": "b"}, applied: true},
		"older state":             {sets: []wire.ChangeSet{set(0, 3, hall(3, "leith", "c")), set(0, 2, hall(2, "leith", "b"))}, revision: 3, regions: map[string]string{"leith": "c"}, applied: true},
		"gap":                     {sets: []wire.ChangeSet{set(0, 1, hall(1, "leith", "a")), set(2, 3, hall(3, "leith", "c"))}, revision: 1, regions: map[string]string{"leith": "a"}},
		"out of order":            {sets: []wire.ChangeSet{set(0, 1, hall(1, "leith", "a")), set(2, 3, hall(3, "leith", "c")), set(1, 2, hall(2, "leith", "b"))}, revision: 2, regions: map[string]string{"leith": "b"}, applied: true},
		"removed":                 {sets: []wire.ChangeSet{set(0, 1, hall(1, "leith", "a")), set(1, 2, removed(2, "leith"))}, revision: 2, regions: map[string]string{}, applied: true},
		"removed in complete set": {sets: []wire.ChangeSet{set(0, 2, hall(1, "leith", "a"), removed(2, "leith"))}, revision: 2, regions: map[string]string{}, applied: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := resource.New()
			applied := false
			for _, s := range tt.sets {
				applied = r.Apply(s)
			}
			is.Equal(r.View().Revision, tt.revision)
			is.Equal(applied, tt.applied)
			regions := map[string]string{}
			for name, h := range r.View().Halls {
				regions[name] = h.Region
			}
			is.Equal(regions, tt.regions)
		})
	}
}

// TestNoRollback applies random sets, reordered and repeated, and lets boxes
// catch up from each other: no revision decreases, and boxes at the same
// revision have the same configuration.
func TestNoRollback(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const last = 12
		var log []wire.Resource
		for i := 1; i <= last; i++ {
			name := rapid.SampledFrom([]string{"leith", "gorgie"}).Draw(rt, "name")
			r := hall(i, name, fmt.Sprint(i))
			r.Removed = rapid.IntRange(0, 4).Draw(rt, "removed") == 0
			log = append(log, r)
		}
		boxes := []*resource.Resources{resource.New(), resource.New(), resource.New()}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			to := rapid.IntRange(0, 2).Draw(rt, "to")
			before := boxes[to].View().Revision
			if rapid.Bool().Draw(rt, "peer") {
				boxes[to].Apply(boxes[rapid.IntRange(0, 2).Draw(rt, "from")].Since(before))
			} else {
				since := rapid.IntRange(0, last-1).Draw(rt, "since")
				end := rapid.IntRange(since+1, last).Draw(rt, "end")
				boxes[to].Apply(set(since, end, log[since:end]...))
			}
			if boxes[to].View().Revision < before {
				rt.Fatalf("revision decreased from %d to %d", before, boxes[to].View().Revision)
			}
		}
		for _, b := range boxes {
			want := resource.New()
			if n := b.View().Revision; n > 0 {
				want.Apply(set(0, n, log[:n]...))
			}
			if fmt.Sprint(want.View().Halls) != fmt.Sprint(b.View().Halls) {
				rt.Fatalf("revision %d: %v, want %v", b.View().Revision, b.View().Halls, want.View().Halls)
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{50, 500, 3000} {
		b.Run(fmt.Sprint(n, " resources"), func(b *testing.B) {
			r := resource.New()
			var all []wire.Resource
			for i := range n {
				all = append(all, hall(i+1, fmt.Sprint("hall-", i), "r"))
			}
			r.Apply(set(0, n, all...))
			revision := n
			b.ReportAllocs()
			for b.Loop() {
				revision++
				r.Apply(set(revision-1, revision, hall(revision, "hall-0", "s")))
			}
		})
	}
}

// BenchmarkMemory measures the memory of the state, by the number of resources.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n, " resources"), func(b *testing.B) {
			before := heapsize.Used()
			l := resource.New()
			var all []wire.Resource
			for i := range n {
				all = append(all, hall(i+1, fmt.Sprint("hall-", i), "r"))
			}
			l.Apply(set(0, n, all...))
			used := float64(heapsize.Used() - before)
			runtime.KeepAlive(l)
			for b.Loop() {
			}
			b.ReportMetric(used, "heap-bytes")
		})
	}
}
