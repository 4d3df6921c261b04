package speeds

import (
	"fmt"
	"io"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/upstreamload"
)

const gap = 180 * time.Millisecond

// served is the fleet of a test.
type served []fleet.Upstream

func (s served) Get(id string) (fleet.Upstream, bool) {
	at := slices.IndexFunc(s, func(u fleet.Upstream) bool { return u.ID == id })
	if at < 0 {
		return fleet.Upstream{}, false
	}
	return s[at], true
}

func (s served) Takes(id string) bool {
	_, ok := s.Get(id)
	return ok
}

type noCount struct{}

func (noCount) LongPlaced(string) {}

func engine(id string) fleet.Upstream { return fleet.Upstream{ID: id, Service: "llm"} }

func newSpeeds(ids ...string) *Speeds {
	var all served
	for _, id := range ids {
		all = append(all, engine(id))
	}
	return New(all, noCount{}, logs.New(io.Discard, "info", "b"))
}

// streams passes a stream's events of so long each, of which each eighth is longer
// beside a prompt, and returns when it ended.
func streams(s *Speeds, now time.Time, id string, each, beside time.Duration, events int) time.Time {
	stream := s.Stream(engine(id))
	for i := range events {
		step := each
		if beside > 0 && i%8 == 7 {
			step = beside
		}
		now = now.Add(step)
		stream.Event(now, beside > 0)
	}
	stream.End(now)
	return now
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestClass shows what an engine is taken to keep, by what was seen of it and its like.
func TestClass(t *testing.T) {
	tests := map[string]struct {
		see  func(s *Speeds, now time.Time) time.Time
		want Class
	}{
		"nothing": {func(_ *Speeds, now time.Time) time.Time { return now }, Unknown},
		"fast": {func(s *Speeds, now time.Time) time.Time {
			return streams(s, now, "e", ms(16), ms(50), 180)
		}, Concurrent},
		"slow, no prompt was ever read": {func(s *Speeds, now time.Time) time.Time {
			return streams(s, now, "e", ms(40), 0, 180)
		}, Alone},
		"slow beside a prompt": {func(s *Speeds, now time.Time) time.Time {
			return streams(s, now, "e", ms(34), ms(110), 180)
		}, Alone},
		"very slow": {func(s *Speeds, now time.Time) time.Time {
			return streams(s, now, "e", ms(120), 0, 60)
		}, Never},
		"one lost packet": {func(s *Speeds, now time.Time) time.Time {
			now = streams(s, now, "e", ms(16), 0, 180)
			return streams(s, now.Add(ms(250)), "e", ms(16), 0, 48)
		}, Concurrent},
		"noise of half a second": {func(s *Speeds, now time.Time) time.Time {
			now = streams(s, now, "e", ms(16), ms(50), 180)
			now = streams(s, now, "e", ms(40), ms(125), 12)
			return streams(s, now, "e", ms(16), ms(50), 48)
		}, Concurrent},
		"turned slow for four seconds": {func(s *Speeds, now time.Time) time.Time {
			now = streams(s, now, "e", ms(16), ms(50), 180)
			return streams(s, now, "e", ms(80), ms(240), 50)
		}, Alone},
		"turned slow for six, no prompt read": {func(s *Speeds, now time.Time) time.Time {
			now = streams(s, now, "e", ms(16), ms(50), 180)
			return streams(s, now, "e", ms(80), 0, 75)
		}, Alone},
		"and back": {func(s *Speeds, now time.Time) time.Time {
			now = streams(s, now, "e", ms(80), 0, 75)
			return streams(s, now, "e", ms(16), ms(50), 400)
		}, Concurrent},
		"nothing streamed since": {func(s *Speeds, now time.Time) time.Time {
			now = streams(s, now, "e", ms(40), 0, 180)
			for range 40 { // as a box looks
				now = now.Add(time.Second)
				s.Of(now, engine("e"))
			}
			return now
		}, Alone},
		"one short answer, by its like": {func(s *Speeds, now time.Time) time.Time {
			for i, each := range []int{16, 34, 16, 34} {
				streams(s, now, fmt.Sprint("like", i), ms(each), ms(3*each), 180)
				s.RecordPrefill(now, engine(fmt.Sprint("like", i)), 3000, 3000*time.Duration(each)*5*time.Microsecond)
			}
			s.RecordPrefill(now, engine("e"), 2000, 2000*170*time.Microsecond)
			return streams(s, now, "e", ms(34), 0, 4)
		}, Alone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeeds("e", "like0", "like1", "like2", "like3")
			now := tt.see(s, time.Now()).Add(viewEvery)
			speed := s.Of(now, engine("e"))
			t.Logf("%+v", speed)
			is.New(t).Equal(speed.Class(gap), tt.want)
		})
	}
}

// TestTold shows that a box believes what others saw, by their own word or a hub's sum,
// and goes on to when they are gone; a new incarnation is unknown.
func TestTold(t *testing.T) {
	tests := map[string]func(from, to *Speeds, now time.Time){
		"by the box itself": func(from, to *Speeds, now time.Time) { to.Update(now, "b", from.Own(now)) },
		"by a hub": func(from, to *Speeds, now time.Time) {
			hub := newSpeeds()
			hub.Update(now, "b", from.Own(now))
			to.UpdateSum(now, hub.Without(now, "c"))
		},
	}
	for name, tell := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from, to := newSpeeds("e"), newSpeeds("e", "new")
			now := streams(from, time.Now(), "e", ms(40), 0, 180)
			tell(from, to, now)
			is.Equal(to.Of(now, engine("e")).Class(gap), Alone)
			is.Equal(to.Of(now, engine("new")).Class(gap), Unknown)
			now = now.Add(10 * time.Second) // the box is gone
			is.Equal(to.Of(now, engine("e")).Class(gap), Alone)
			is.True(now.Sub(to.Of(now, engine("e")).Seen()) >= 10*time.Second)
		})
	}
}

// TestForgotten shows that nothing is kept of engines that are gone.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	all := served{engine("e")}
	s := New(&all, noCount{}, logs.New(io.Discard, "info", "b"))
	now := streams(s, time.Now(), "e", ms(40), 0, 180)
	s.Of(now, engine("e"))
	s.Assigned(now, engine("e"), Need{Gap: gap, Long: true}, upstreamload.Load{})
	all = nil
	now = now.Add(keptFor + time.Second)
	s.Of(now, engine("e"))
	s.Own(now)
	is.Equal(len(s.beliefs)+len(s.given)+len(s.own)+len(s.classes), 0)
}

// TestCost shows what a request costs at an engine that keeps a pause beside prompts,
// alone or not, and at one nothing is known of.
func TestCost(t *testing.T) {
	fast, slow, never, half := risk{}, risk{beside: 1}, risk{alone: 1, beside: 1}, risk{beside: 0.5}
	long, short, move := Need{Gap: gap, Long: true}, Need{Gap: gap}, Need{Gap: gap, Long: true, Moves: true}
	tests := map[string]struct {
		risk   risk
		need   Need
		inTime float64
		want   float64
	}{
		"long, fast":                       {fast, long, 4, 0},
		"short, fast":                      {fast, short, 4, spent},
		"long, slow and free":              {slow, long, 0, hits},
		"long, slow, beside others":        {slow, long, 2, 3 * hits},
		"long, slow, beside what is late":  {slow, long, 0, hits},
		"short, slow and free":             {slow, short, 0, 0},
		"short, slow, beside others":       {slow, short, 2, 2 * hits},
		"it moves: nothing is read beside": {slow, move, 2, hits},
		"never, free":                      {never, long, 0, 1},
		"unknown: as half of its like":     {half, long, 0, 0.5 * hits},
		"unknown, short: it is tried":      {half, short, 0, 0.5 * spent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.risk.cost(tt.need, tt.inTime), tt.want)
		})
	}
}

// TestJudge shows that nothing is weighed where nothing is known or a route names no
// pause, and what a prompt given to a slow engine leaves in time there.
func TestJudge(t *testing.T) {
	is := is.New(t)
	s := newSpeeds("slow", "new")
	list := []fleet.Upstream{engine("slow"), engine("new")}
	loads := []upstreamload.Load{{Requests: 4, Coming: 2000}, {Requests: 1, Coming: 600}}
	now, long := time.Now(), Need{Gap: gap, Long: true}
	is.Equal(s.Evaluate(now, "llm", list, loads, long), nil)
	is.Equal((*Speeds)(nil).Evaluate(now, "llm", list, loads, long), nil)
	now = streams(s, now, "slow", ms(40), 0, 180).Add(viewEvery)
	is.Equal(s.Evaluate(now, "llm", list, loads, Need{Long: true}), nil)
	before := s.Evaluate(now, "llm", list, loads, long)
	is.True(before[0].Cost > 1)                // four are in time
	is.True(before[1].Cost < before[0].Cost/2) // one is, as its like
	s.Assigned(now, list[0], Need{Gap: gap}, loads[0])
	after := s.Evaluate(now, "llm", list, loads, long)
	is.True(after[0].Cost < 0.9*before[0].Cost)
	loads[0] = upstreamload.Load{}
	s.Evaluate(now, "llm", list, loads, long) // what was late has ended
	loads[0] = upstreamload.Load{Requests: 4, Coming: 2000}
	is.Equal(s.Evaluate(now, "llm", list, loads, long)[0].Cost, before[0].Cost)
}

// BenchmarkJudge is one decision before so many engines, with what is believed of them
// made anew each 250 ms.
func BenchmarkJudge(b *testing.B) {
	for _, engines := range []int{60, 2200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var list served
			for i := range engines {
				list = append(list, engine(fmt.Sprint("e", i)))
			}
			s := New(list, noCount{}, logs.New(io.Discard, "info", "b"))
			now := time.Now()
			for i, u := range list {
				streams(s, now, u.ID, ms(16+i%2*18), ms(50+i%2*60), 24)
			}
			loads := make([]upstreamload.Load, engines)
			for b.Loop() {
				now = now.Add(5 * time.Millisecond) // 200 requests a second
				s.Evaluate(now, "llm", list, loads, Need{Gap: gap, Long: true})
			}
		})
	}
}

// TestSpread shows how far the longest event of a stream is taken to be above the mean
// of those of its windows: learned, where prompts are read in even pieces and where few
// windows hold a large one.
func TestSpread(t *testing.T) {
	tests := map[string]struct {
		logs []float64 // of streams, by turns
		want float64   // times the mean, with the safety
	}{
		"a guess":      {nil, 2.65},
		"even pieces":  {[]float64{0.05}, 1.35},
		"large pieces": {[]float64{0.2, 0.8}, 2.8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpread()
			for i := range 300 * len(tt.logs) {
				s = s.with(tt.logs[i%len(tt.logs)])
			}
			got := math.Exp(s.margin())
			t.Log(got)
			is.New(t).True(got > 0.95*tt.want && got < 1.05*tt.want)
		})
	}
}

// TestReadAtOnce shows that a prompt that took no time by the clock says nothing: its
// logarithm would make all costs of the service infinite or none.
func TestReadAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSpeeds("e")
	now := streams(s, time.Now(), "e", ms(16), 0, 180)
	for _, took := range []time.Duration{-time.Second, 0, 1, 2999} {
		s.RecordPrefill(now, engine("e"), 3000, took)
	}
	is.Equal(s.Of(now, engine("e")).Prefill(), 0*time.Second)
	judged := s.Evaluate(now, "llm", []fleet.Upstream{engine("e")}, make([]upstreamload.Load, 1), Need{Gap: gap, Long: true})
	is.Equal(judged[0].PrefillRatio, 1.0)
}

// TestWithQueueWait shows the chance that prompts before a request make its first event late.
func TestWithQueueWait(t *testing.T) {
	tests := map[string]struct {
		need    Need
		reading float64
		line    time.Duration
		want    float64
	}{
		"no line":                    {Need{First: time.Second}, 1, 0, 0},
		"half of its time":           {Need{First: time.Second}, 1, ms(500), 0.25},
		"at an engine twice as slow": {Need{First: time.Second}, 2, ms(250), 0.25},
		"more than its time":         {Need{First: time.Second}, 1, ms(3000), 1},
		"it has any time":            {Need{}, 1, ms(500), 0},
		"a run that moves":           {Need{First: time.Second, Moves: true}, 1, ms(500), 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Evaluation{PrefillRatio: tt.reading}.WithQueueWait(tt.need, tt.line).LateChance, tt.want)
		})
	}
}
