package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/balance/shares"
	"petrelstep/wire"
)

// activity is the work that one organisation was given, was refused and has waiting.
type activity struct {
	given, refused, waiting float64
	rank                    int
}

func party(name string) shares.Party { return shares.Party{Organisation: name} }

// newShares returns Shares that have seen these activities just now.
func newShares(now time.Time, weight func(string) float64, activities map[string]activity) *shares.Shares {
	s := shares.New(weight)
	waiting := map[shares.Party]float64{}
	for name, d := range activities {
		p := shares.Party{Organisation: name, Rank: d.rank}
		s.Assigned(now, p, d.given)
		if d.refused > 0 {
			s.Refused(now, p, d.refused)
		}
		if d.waiting > 0 {
			waiting[p] = d.waiting
		}
	}
	s.Recompute(now, waiting)
	return s
}

// TestStanding checks the standing of organisation "a" among others.
func TestStanding(t *testing.T) {
	heavy := func(name string) float64 {
		if name == "a" {
			return 3
		}
		return 1
	}
	tests := map[string]struct {
		activities map[string]activity
		weight     func(string) float64
		share      float64
		capped     bool
		over       bool
		starved    bool
		fraction   float64 // 0 for any
	}{
		"all demands are met":                   {activities: map[string]activity{"a": {given: 900}, "b": {given: 100}}, share: 900, fraction: 1},
		"its demand is too high":                {activities: map[string]activity{"a": {given: 900, refused: 600}, "b": {given: 100, waiting: 100}}, share: 800, capped: true, over: true},
		"another's demand is too high":          {activities: map[string]activity{"a": {given: 100, waiting: 100}, "b": {given: 900, refused: 600}}, share: 200},
		"both demands are too high":             {activities: map[string]activity{"a": {given: 400, waiting: 500}, "b": {given: 600, refused: 600}}, share: 500, capped: true},
		"it has a higher weight":                {activities: map[string]activity{"a": {given: 600, waiting: 500}, "b": {given: 400, refused: 600}}, weight: heavy, share: 750, capped: true},
		"unused capacity is shared":             {activities: map[string]activity{"a": {given: 500, waiting: 900}, "b": {given: 400, waiting: 900}, "c": {given: 100}}, share: 450, capped: true, over: true, fraction: 0.9},
		"it has just arrived":                   {activities: map[string]activity{"a": {waiting: 100}, "b": {given: 900, refused: 600}}, share: 100},
		"it is refused far more often than all": {activities: map[string]activity{"a": {given: 10, refused: 90}, "b": {given: 900, refused: 100}}, share: 100, starved: true},
		"it is refused a little more often":     {activities: map[string]activity{"a": {given: 50, refused: 50}, "b": {given: 900, refused: 100}}, share: 100},
		"the others are less urgent":            {activities: map[string]activity{"a": {given: 900, waiting: 50}, "b": {given: 100, waiting: 900, rank: 1}}, share: 950},
		"more urgent ones use the capacity":     {activities: map[string]activity{"a": {given: 0, refused: 100}, "b": {given: 1000, rank: -1}}, capped: true, starved: true, fraction: 1},
		"all requests of all are refused":       {activities: map[string]activity{"a": {refused: 50}, "b": {refused: 100}}, capped: true, fraction: 1},
		"no usage is known yet":                 {activities: map[string]activity{"a": {waiting: 50}, "b": {waiting: 100}}, share: 50, fraction: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := newShares(time.Now(), tt.weight, tt.activities).Standing(party("a"))
			is.Equal(int(got.Share+0.5), int(tt.share))
			is.Equal(got.Capped, tt.capped)
			is.Equal(got.Over, tt.over)
			is.Equal(got.Starved, tt.starved)
			is.True(tt.fraction == 0 || tt.fraction == got.Fraction)
		})
	}
}

// TestDecay checks that past usage, and past inactivity, counts for seconds only.
func TestDecay(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newShares(now, nil, map[string]activity{"a": {given: 10000}, "b": {given: 10}})
	later := now.Add(40 * time.Second)
	s.Assigned(later, party("b"), 100)
	s.Recompute(later, map[shares.Party]float64{party("a"): 200, party("b"): 200})
	a, b := s.Standing(party("a")), s.Standing(party("b"))
	is.True(!a.Over) // its usage before the shortage
	is.True(b.Over)  // its earlier inactivity
}

// TestUpdate checks that a box that has just become the owner of a queue uses the
// reports of other boxes, and that work which it both decided and receives in a report
// counts once.
func TestUpdate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	box := shares.New(nil)
	box.RecordOwn(now, party("a"), 900, true)
	box.RecordOwn(now, party("a"), 300, false)
	box.RecordOwn(now, party("b"), 100, true)
	is.Equal(len(box.Own(now)), 2)

	owner := shares.New(nil)
	owner.Assigned(now, party("a"), 500) // also in the report of box
	owner.Update(now, "box", box.Own(now))
	owner.Recompute(now, map[shares.Party]float64{party("b"): 200})
	a := owner.Standing(party("a"))
	is.Equal(int(a.Given), 900)
	is.True(a.Over)
	is.True(!owner.Standing(party("b")).Over)

	is.Equal(len(owner.Without(now, "box")), 0)
	is.Equal(len(owner.Without(now, "another")), 2)
	is.Equal(owner.Without(now, "another")[0], wire.OrganisationUse{Organisation: "a", Given: 900, Refused: 300})
}

// TestNoShortage checks that nothing is reported while capacity is not short.
func TestNoShortage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := shares.New(nil)
	s.RecordOwn(now, party("a"), 900, true)
	is.Equal(len(s.Own(now)), 0)
}

// BenchmarkRecompute measures computing the shares, which is done up to 20 times per
// second while requests wait.
func BenchmarkRecompute(b *testing.B) {
	for _, organisations := range []int{24, 260} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			s, now := shares.New(nil), time.Now()
			waiting := map[shares.Party]float64{}
			for i := range organisations {
				name := party(fmt.Sprint("o", i))
				s.Assigned(now, name, float64(1000+i))
				waiting[name] = 500
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Recompute(now, waiting)
			}
		})
	}
}
