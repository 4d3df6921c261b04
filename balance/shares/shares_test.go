package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/balance/shares"
	"petrelstep/wire"
)

// deed is what one organisation was given, refused, and has waiting.
type deed struct {
	given, refused, waits float64
	rank                  int
}

func party(name string) shares.Party { return shares.Party{Organisation: name} }

// weigh returns shares of these deeds, all just now.
func weigh(now time.Time, weight func(string) float64, deeds map[string]deed) *shares.Shares {
	s := shares.New(weight)
	waits := map[shares.Party]float64{}
	for name, d := range deeds {
		p := shares.Party{Organisation: name, Rank: d.rank}
		s.Assigned(now, p, d.given)
		if d.refused > 0 {
			s.Refused(now, p, d.refused)
		}
		if d.waits > 0 {
			waits[p] = d.waits
		}
	}
	s.Recompute(now, waits)
	return s
}

// TestStanding shows what organisation "a" may have beside others.
func TestStanding(t *testing.T) {
	heavy := func(name string) float64 {
		if name == "a" {
			return 3
		}
		return 1
	}
	tests := map[string]struct {
		deeds   map[string]deed
		weight  func(string) float64
		share   float64
		bound   bool
		over    bool
		starved bool
		part    float64 // of its rank's room, what those have who ask for more; 0 for any
	}{
		"all is served":                    {deeds: map[string]deed{"a": {given: 900}, "b": {given: 100}}, share: 900, part: 1},
		"it asks for too much":             {deeds: map[string]deed{"a": {given: 900, refused: 600}, "b": {given: 100, waits: 100}}, share: 800, bound: true, over: true},
		"another asks for too much":        {deeds: map[string]deed{"a": {given: 100, waits: 100}, "b": {given: 900, refused: 600}}, share: 200},
		"both ask for too much":            {deeds: map[string]deed{"a": {given: 400, waits: 500}, "b": {given: 600, refused: 600}}, share: 500, bound: true},
		"its weight is more":               {deeds: map[string]deed{"a": {given: 600, waits: 500}, "b": {given: 400, refused: 600}}, weight: heavy, share: 750, bound: true},
		"what others leave is shared":      {deeds: map[string]deed{"a": {given: 500, waits: 900}, "b": {given: 400, waits: 900}, "c": {given: 100}}, share: 450, bound: true, over: true, part: 0.9},
		"it has come just now":             {deeds: map[string]deed{"a": {waits: 100}, "b": {given: 900, refused: 600}}, share: 100},
		"it is refused far more than all":  {deeds: map[string]deed{"a": {given: 10, refused: 90}, "b": {given: 900, refused: 100}}, share: 100, starved: true},
		"it is refused little more":        {deeds: map[string]deed{"a": {given: 50, refused: 50}, "b": {given: 900, refused: 100}}, share: 100},
		"it goes before the others":        {deeds: map[string]deed{"a": {given: 900, waits: 50}, "b": {given: 100, waits: 900, rank: 1}}, share: 950},
		"others take all, more urgent":     {deeds: map[string]deed{"a": {given: 0, refused: 100}, "b": {given: 1000, rank: -1}}, bound: true, starved: true, part: 1},
		"it is refused all, so are others": {deeds: map[string]deed{"a": {refused: 50}, "b": {refused: 100}}, bound: true, part: 1},
		"nothing is known yet":             {deeds: map[string]deed{"a": {waits: 50}, "b": {waits: 100}}, share: 50, part: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := weigh(time.Now(), tt.weight, tt.deeds).Standing(party("a"))
			is.Equal(int(got.Share+0.5), int(tt.share))
			is.Equal(got.Capped, tt.bound)
			is.Equal(got.Over, tt.over)
			is.Equal(got.Starved, tt.starved)
			is.True(tt.part == 0 || tt.part == got.Fraction)
		})
	}
}

// TestForgets shows that what was given, or not asked for, counts for seconds only.
func TestForgets(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := weigh(now, nil, map[string]deed{"a": {given: 10000}, "b": {given: 10}})
	later := now.Add(40 * time.Second)
	s.Assigned(later, party("b"), 100)
	s.Recompute(later, map[shares.Party]float64{party("a"): 200, party("b"): 200})
	a, b := s.Standing(party("a")), s.Standing(party("b"))
	is.True(!a.Over) // what it had before the crowd
	is.True(b.Over)  // what it did not ask for before
}

// TestTold shows that a box that keeps a queue only now knows by others' words what it
// has not seen, and that what it decided and is told of counts once.
func TestTold(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	box := shares.New(nil)
	box.RecordOwn(now, party("a"), 900, true)
	box.RecordOwn(now, party("a"), 300, false)
	box.RecordOwn(now, party("b"), 100, true)
	is.Equal(len(box.Own(now)), 2)

	keeper := shares.New(nil)
	keeper.Assigned(now, party("a"), 500) // of those that the box tells of
	keeper.Update(now, "box", box.Own(now))
	keeper.Recompute(now, map[shares.Party]float64{party("b"): 200})
	a := keeper.Standing(party("a"))
	is.Equal(int(a.Given), 900)
	is.True(a.Over)
	is.True(!keeper.Standing(party("b")).Over)

	is.Equal(len(keeper.Without(now, "box")), 0)
	is.Equal(len(keeper.Without(now, "another")), 2)
	is.Equal(keeper.Without(now, "another")[0], wire.OrganisationUse{Organisation: "a", Given: 900, Refused: 300})
}

// TestCalm shows that nothing is told while all is served.
func TestCalm(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := shares.New(nil)
	s.RecordOwn(now, party("a"), 900, true)
	is.Equal(len(s.Own(now)), 0)
}

// BenchmarkWeigh measures what working out the shares of so many organisations costs,
// as often as 20 times a second while requests wait.
func BenchmarkWeigh(b *testing.B) {
	for _, organisations := range []int{24, 260} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			s, now := shares.New(nil), time.Now()
			waits := map[shares.Party]float64{}
			for i := range organisations {
				name := party(fmt.Sprint("o", i))
				s.Assigned(now, name, float64(1000+i))
				waits[name] = 500
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Recompute(now, waits)
			}
		})
	}
}
