package resource_test

import (
	"testing"

	"github.com/matryer/is"

	"petrelstep/resource"
	"petrelstep/wire"
)

func inEra(era int, s wire.ChangeSet) wire.ChangeSet {
	s.Era = era
	for i := range s.Items {
		s.Items[i].Era = era
	}
	return s
}

// own is the configuration in force at a box before the restore.
func own() wire.ChangeSet {
	return inEra(1, set(0, 5, hall(2, "gorgie", "a"), hall(5, "leith", "lost")))
}

var applyRestoredTests = map[string]struct {
	sets    []wire.ChangeSet
	regions map[string]string
	at      resource.Position
	applied bool // the last set, completely
}{
	"earlier era, higher revision": {
		sets:    []wire.ChangeSet{inEra(2, set(0, 6, hall(6, "leith", "b"))), inEra(1, set(0, 9, hall(9, "leith", "a")))},
		regions: map[string]string{"leith": "b"}, at: resource.Position{Era: 2, Revision: 6}, applied: true,
	},
	"next revision of a later era": {
		sets:    []wire.ChangeSet{own(), inEra(2, set(5, 6, hall(6, "gorgie", "b")))},
		regions: map[string]string{"leith": "lost", "gorgie": "b"}, at: resource.Position{Era: 1, Revision: 5},
	},
	"state of a later era that lacks something": {
		sets:    []wire.ChangeSet{own(), inEra(2, set(0, 6, hall(6, "gorgie", "b")))},
		regions: map[string]string{"leith": "lost", "gorgie": "b"}, at: resource.Position{Era: 1, Revision: 5},
	},
	"state of a later era that has it at a lower revision": {
		sets:    []wire.ChangeSet{own(), inEra(2, set(0, 4, hall(3, "gorgie", "b"), hall(4, "leith", "c")))},
		regions: map[string]string{"leith": "c", "gorgie": "b"}, at: resource.Position{Era: 1, Revision: 5},
	},
	"state of a later era that has all": {
		sets:    []wire.ChangeSet{own(), {Era: 2, Revision: 6, Items: own().Items}},
		regions: map[string]string{"leith": "lost", "gorgie": "a"}, at: resource.Position{Era: 2, Revision: 6}, applied: true,
	},
	"late change of the own era after a later one": {
		sets: []wire.ChangeSet{
			own(), inEra(2, set(0, 4, hall(4, "leith", "c"))), inEra(1, set(5, 6, hall(6, "leith", "a"))),
		},
		regions: map[string]string{"leith": "c", "gorgie": "a"}, at: resource.Position{Era: 1, Revision: 6}, applied: true,
	},
	"late state of the own era after a later one": {
		sets: []wire.ChangeSet{
			own(), inEra(2, set(0, 4, hall(4, "leith", "c"))), inEra(1, set(0, 7, hall(2, "gorgie", "a"), hall(7, "leith", "a"))),
		},
		regions: map[string]string{"leith": "c", "gorgie": "a"}, at: resource.Position{Era: 1, Revision: 7}, applied: true,
	},
	"removal in a later era": {
		sets:    []wire.ChangeSet{own(), inEra(2, set(0, 6, removed(6, "gorgie")))},
		regions: map[string]string{"leith": "lost"}, at: resource.Position{Era: 1, Revision: 5},
	},
	"from a box that knows no eras": {
		sets:    []wire.ChangeSet{own(), set(5, 6, hall(6, "leith", "b"))},
		regions: map[string]string{"leith": "lost", "gorgie": "a"}, at: resource.Position{Era: 1, Revision: 5},
	},
	"start from a box that knows no eras": {
		sets:    []wire.ChangeSet{set(0, 6, hall(6, "leith", "b")), set(6, 7, hall(7, "leith", "c"))},
		regions: map[string]string{"leith": "c"}, at: resource.Position{Revision: 7}, applied: true,
	},
}

// TestApplyRestored guards against a state of another era that replaces what is newer: the
// restored table has given its revisions out again.
func TestApplyRestored(t *testing.T) {
	for name, tt := range applyRestoredTests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := resource.New()
			applied := false
			for _, s := range tt.sets {
				applied = r.Apply(s)
			}
			regions := map[string]string{}
			for name, h := range r.View().Halls {
				regions[name] = h.Region
			}
			is.Equal(regions, tt.regions)
			is.Equal(r.View().Position(), tt.at)
			is.Equal(applied, tt.applied)
		})
	}
}

// TestLost checks what a restored table lacks of the configuration in force.
func TestLost(t *testing.T) {
	withoutEra := func(r wire.Resource) wire.Resource { // as a box of before wrote it
		r.Era = 0
		return r
	}
	tests := map[string]struct {
		set      wire.ChangeSet
		again    []string // names
		renumber bool
	}{
		"same era, older":                     {set: inEra(1, set(0, 2, hall(2, "gorgie", "a")))},
		"earlier era":                         {set: set(0, 2, hall(2, "gorgie", "a"))},
		"lacks one":                           {set: inEra(2, set(0, 6, hall(6, "gorgie", "b"))), again: []string{"leith"}, renumber: true},
		"lower revision":                      {set: inEra(2, set(0, 4, hall(6, "gorgie", "b"), hall(6, "leith", "b"))), renumber: true},
		"revision given out again":            {set: inEra(2, set(0, 5, hall(6, "gorgie", "b"), hall(6, "leith", "b"))), renumber: true},
		"the same":                            {set: wire.ChangeSet{Era: 2, Revision: 5, Items: inEra(1, set(0, 5, hall(2, "gorgie", "a"), hall(5, "leith", "a"))).Items}},
		"the same, by a box of before":        {set: wire.ChangeSet{Era: 2, Revision: 5, Items: []wire.Resource{withoutEra(hall(2, "gorgie", "a")), withoutEra(hall(5, "leith", "a"))}}},
		"an earlier one, by a box of before":  {set: wire.ChangeSet{Era: 2, Revision: 6, Items: []wire.Resource{withoutEra(hall(2, "gorgie", "a")), withoutEra(hall(4, "leith", "x"))}}, again: []string{"leith"}, renumber: true},
		"written without knowledge of a lost": {set: inEra(2, set(0, 6, hall(6, "gorgie", "b"), wire.Resource{Kind: wire.ResourceKindHall, Name: "leith", Version: 5, Revision: 6})), again: []string{"leith"}, renumber: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := resource.New()
			r.Apply(inEra(1, set(0, 5, hall(2, "gorgie", "a"), hall(5, "leith", "a"))))
			again, renumber := r.Lost(tt.set)
			var names []string
			for _, item := range again {
				names = append(names, item.Name)
			}
			is.Equal(names, tt.again)
			is.Equal(renumber, tt.renumber)
		})
	}
}
