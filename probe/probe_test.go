package probe_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/backoff"
	"petrelstep/exchange"
	"petrelstep/fleet"
	"petrelstep/logs"
	"petrelstep/probe"
)

type reports struct {
	leaves bool
	born   int64
	limit  exchange.Limit
	err    error
	hang   bool
	calls  int
}

func (r *reports) ReadReport(ctx context.Context, _ string) (probe.Report, error) {
	r.calls++
	if r.hang {
		<-ctx.Done()
		return probe.Report{}, ctx.Err()
	}
	return probe.Report{Leaving: r.leaves, StartedAt: r.born, Limit: r.limit}, r.err
}

// heard keeps what upstreams say that they take.
type heard struct {
	said  exchange.Limit
	whole bool
}

func (h *heard) Observe(_, _ time.Time, _ fleet.Upstream, said exchange.Limit, whole bool) {
	h.said, h.whole = said, whole
}

// TestLimitHeard takes what a report says of a limit, and does not take its silence for
// the limit's end.
func TestLimitHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := fleet.Upstream{ID: "u", Service: "s", State: fleet.Open}
		f := fleet.New(time.Second)
		f.Replace(time.Now(), []fleet.Upstream{u}, 1, false)
		says, h := exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: 2}, &heard{}
		w := probe.New(f, func(time.Time) time.Duration { return time.Minute }, running{"u": u}, &reports{limit: says}, h, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
		w.Poll(t.Context(), time.Now())
		is.Equal(h.said, says)
		is.True(!h.whole)
	})
}

type running map[string]fleet.Upstream

func (r running) Upstreams() map[string]fleet.Upstream { return r }

func TestLook(t *testing.T) {
	u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open}
	tests := map[string]struct {
		reports reports
		silent  time.Duration // the store answers nobody
		idle    bool          // no run of this box is there
		left    bool          // it is known to leave
		want    fleet.State
		calls   int
	}{
		"the store answers":                    {reports{leaves: true}, 500 * time.Millisecond, false, false, fleet.Open, 0},
		"the store is silent, it leaves":       {reports{leaves: true}, 600 * time.Millisecond, false, false, fleet.Leaving, 1},
		"long silent":                          {reports{leaves: true}, 9 * time.Second, false, false, fleet.Leaving, 1},
		"the store is silent, it stays":        {reports{}, 3 * time.Second, false, false, fleet.Open, 1},
		"nothing of this box is there":         {reports{leaves: true}, 3 * time.Second, true, false, fleet.Open, 0},
		"it is known to leave":                 {reports{leaves: true}, 3 * time.Second, false, true, fleet.Leaving, 0},
		"no report: nothing is concluded":      {reports{err: errors.New("reset")}, 3 * time.Second, false, false, fleet.Open, 1},
		"a report that hangs holds nothing up": {reports{hang: true}, 3 * time.Second, false, false, fleet.Open, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := fleet.New(time.Second)
				f.Replace(time.Now(), []fleet.Upstream{u}, 1, false)
				f.Confirm(time.Now())
				if tt.left {
					f.ApplyDeparture(time.Now(), fleet.Departure{ID: "u", Announced: true}, "entry")
				}
				runs := running{"u": u}
				if tt.idle {
					runs = running{}
				}
				w := probe.New(f, func(time.Time) time.Duration { return tt.silent }, runs, &tt.reports, &heard{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
				w.Poll(t.Context(), time.Now())
				got, _ := f.Get("u")
				is.Equal(got.State, tt.want)
				is.Equal(tt.reports.calls, tt.calls)
			})
		})
	}
}

// TestAfterwards shows for how long after the store's return a box goes on
// looking: an upstream that leaves then may not have reached the store again.
func TestAfterwards(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration // the store was
		after  time.Duration // its return
		want   fleet.State
	}{
		"just back":                    {8 * time.Second, 0, fleet.Leaving},
		"listed again within 2 s":      {8 * time.Second, 2900 * time.Millisecond, fleet.Leaving},
		"back for long":                {8 * time.Second, 3 * time.Second, fleet.Open},
		"it was silent for a moment":   {time.Second, 0, fleet.Open},
		"it was silent for some calls": {1500 * time.Millisecond, time.Second, fleet.Leaving},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(time.Second)
				u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open}
				f.Replace(time.Now(), []fleet.Upstream{u}, 1, false)
				silent := tt.silent
				r := &reports{}
				w := probe.New(f, func(time.Time) time.Duration { return silent }, running{"u": u}, r, &heard{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
				w.Poll(t.Context(), time.Now())
				silent, r.leaves = 0, true
				time.Sleep(tt.after)
				w.Poll(t.Context(), time.Now())
				got, _ := f.Get("u")
				is.New(t).Equal(got.State, tt.want)
			})
		})
	}
}

// TestReportOfRestart shows what is known of an upstream of incarnation 100 after its
// report, while the store is silent.
func TestReportOfRestart(t *testing.T) {
	tests := map[string]struct {
		reports reports
		born    int64
		want    fleet.State
	}{
		"the same":                     {reports{born: 100}, 100, fleet.Open},
		"it does not say":              {reports{leaves: true}, 100, fleet.Leaving},
		"it has started again":         {reports{born: 200}, 200, fleet.Open},
		"it has, and leaves":           {reports{born: 200, leaves: true}, 200, fleet.Leaving},
		"of an incarnation before":     {reports{born: 50, leaves: true}, 100, fleet.Open},
		"a report that cannot be read": {reports{born: 200, err: errors.New("reset")}, 100, fleet.Open},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := fleet.New(time.Second)
				u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open, StartedAt: 100}
				f.Put(time.Now(), u)
				w := probe.New(f, func(time.Time) time.Duration { return time.Minute }, running{"u": u}, &tt.reports, &heard{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
				w.Poll(t.Context(), time.Now())
				got, _ := f.Get("u")
				is.Equal(got.StartedAt, tt.born)
				is.Equal(got.State, tt.want)
			})
		})
	}
}

// late answers for an incarnation that ends before its word arrives.
type late struct{ fleet *fleet.Fleet }

func (l late) ReadReport(context.Context, string) (probe.Report, error) {
	l.fleet.Put(time.Now(), fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:81", State: fleet.Open, Version: 1, StartedAt: 200})
	return probe.Report{Leaving: true}, nil
}

// TestLateReport holds that a report which names no incarnation is of the one that was
// asked: the next one does not leave by it.
func TestLateReport(t *testing.T) {
	is := is.New(t)
	f := fleet.New(time.Second)
	u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open, StartedAt: 100}
	f.Put(time.Now(), u)
	w := probe.New(f, func(time.Time) time.Duration { return time.Minute }, running{"u": u}, late{f}, &heard{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
	w.Poll(t.Context(), time.Now())
	got, _ := f.Get("u")
	is.Equal(got.StartedAt, int64(200))
	is.Equal(got.State, fleet.Open)
}
