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

// reports returns a fixed report and counts the calls.
type reports struct {
	leaving   bool
	startedAt int64
	limit     exchange.Limit
	err       error
	hang      bool
	calls     int
}

func (r *reports) ReadReport(ctx context.Context, _ string) (probe.Report, error) {
	r.calls++
	if r.hang {
		<-ctx.Done()
		return probe.Report{}, ctx.Err()
	}
	return probe.Report{Leaving: r.leaving, StartedAt: r.startedAt, Limit: r.limit}, r.err
}

// limits records the last limit that was reported.
type limits struct {
	limit exchange.Limit
	whole bool
}

func (l *limits) Observe(_, _ time.Time, _ fleet.Upstream, limit exchange.Limit, whole bool) {
	l.limit, l.whole = limit, whole
}

// TestLimit checks that a reported limit is applied, and that its absence from a report
// does not end it.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := fleet.Upstream{ID: "u", Service: "s", State: fleet.Open}
		f := fleet.New(time.Second)
		f.Replace(time.Now(), []fleet.Upstream{u}, 1, false)
		limit, l := exchange.Limit{Kind: exchange.LimitAnnounced, PerSecond: 2}, &limits{}
		p := probe.New(f, func(time.Time) time.Duration { return time.Minute }, running{"u": u}, &reports{limit: limit}, l, &limits{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
		p.Poll(t.Context(), time.Now())
		is.Equal(l.limit, limit)
		is.True(!l.whole)
	})
}

type running map[string]fleet.Upstream

func (r running) Upstreams() map[string]fleet.Upstream { return r }

func TestPoll(t *testing.T) {
	u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open}
	tests := map[string]struct {
		reports reports
		silent  time.Duration // time since the store answered
		idle    bool          // this box has no run there
		left    bool          // it is known to leave
		want    fleet.State
		calls   int
	}{
		"the store answers":                      {reports{leaving: true}, 500 * time.Millisecond, false, false, fleet.Open, 0},
		"the store is silent, it leaves":         {reports{leaving: true}, 600 * time.Millisecond, false, false, fleet.Leaving, 1},
		"long silent":                            {reports{leaving: true}, 9 * time.Second, false, false, fleet.Leaving, 1},
		"the store is silent, it does not leave": {reports{}, 3 * time.Second, false, false, fleet.Open, 1},
		"no run of this box":                     {reports{leaving: true}, 3 * time.Second, true, false, fleet.Open, 0},
		"it is known to leave":                   {reports{leaving: true}, 3 * time.Second, false, true, fleet.Leaving, 0},
		"no report":                              {reports{err: errors.New("reset")}, 3 * time.Second, false, false, fleet.Open, 1},
		"a report that hangs":                    {reports{hang: true}, 3 * time.Second, false, false, fleet.Open, 1},
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
				p := probe.New(f, func(time.Time) time.Duration { return tt.silent }, runs, &tt.reports, &limits{}, &limits{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
				p.Poll(t.Context(), time.Now())
				got, _ := f.Get("u")
				is.Equal(got.State, tt.want)
				is.Equal(tt.reports.calls, tt.calls)
			})
		})
	}
}

// TestAfterOutage checks how long polling continues after an outage of the store: an
// upstream that leaves then may not have reached the store again.
func TestAfterOutage(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration // duration of the outage
		after  time.Duration // time since its end
		want   fleet.State
	}{
		"just ended":                 {8 * time.Second, 0, fleet.Leaving},
		"ended less than 3 s ago":    {8 * time.Second, 2900 * time.Millisecond, fleet.Leaving},
		"ended 3 s ago":              {8 * time.Second, 3 * time.Second, fleet.Open},
		"a short silence":            {time.Second, 0, fleet.Open},
		"a silence just long enough": {1500 * time.Millisecond, time.Second, fleet.Leaving},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(time.Second)
				u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open}
				f.Replace(time.Now(), []fleet.Upstream{u}, 1, false)
				silent := tt.silent
				r := &reports{}
				p := probe.New(f, func(time.Time) time.Duration { return silent }, running{"u": u}, r, &limits{}, &limits{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
				p.Poll(t.Context(), time.Now())
				silent, r.leaving = 0, true
				time.Sleep(tt.after)
				p.Poll(t.Context(), time.Now())
				got, _ := f.Get("u")
				is.New(t).Equal(got.State, tt.want)
			})
		})
	}
}

// TestReportOfRestart checks the state of an upstream with start time 100 after its
// report.
func TestReportOfRestart(t *testing.T) {
	tests := map[string]struct {
		reports   reports
		startedAt int64
		want      fleet.State
	}{
		"the same":                     {reports{startedAt: 100}, 100, fleet.Open},
		"no start time, and leaving":   {reports{leaving: true}, 100, fleet.Leaving},
		"restarted":                    {reports{startedAt: 200}, 200, fleet.Open},
		"restarted, and leaving":       {reports{startedAt: 200, leaving: true}, 200, fleet.Leaving},
		"of an earlier incarnation":    {reports{startedAt: 50, leaving: true}, 100, fleet.Open},
		"a report that cannot be read": {reports{startedAt: 200, err: errors.New("reset")}, 100, fleet.Open},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := fleet.New(time.Second)
				u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open, StartedAt: 100}
				f.Put(time.Now(), u)
				p := probe.New(f, func(time.Time) time.Duration { return time.Minute }, running{"u": u}, &tt.reports, &limits{}, &limits{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
				p.Poll(t.Context(), time.Now())
				got, _ := f.Get("u")
				is.Equal(got.StartedAt, tt.startedAt)
				is.Equal(got.State, tt.want)
			})
		})
	}
}

// late reports for an incarnation that restarts before its answer arrives.
type late struct{ fleet *fleet.Fleet }

func (l late) ReadReport(context.Context, string) (probe.Report, error) {
	l.fleet.Put(time.Now(), fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:81", State: fleet.Open, Version: 1, StartedAt: 200})
	return probe.Report{Leaving: true}, nil
}

// TestLateReport guards against applying a report without a start time to the next
// incarnation.
func TestLateReport(t *testing.T) {
	is := is.New(t)
	f := fleet.New(time.Second)
	u := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", State: fleet.Open, StartedAt: 100}
	f.Put(time.Now(), u)
	p := probe.New(f, func(time.Time) time.Duration { return time.Minute }, running{"u": u}, late{f}, &limits{}, &limits{}, &backoff.Tracker{}, logs.New(io.Discard, "info", "b"))
	p.Poll(t.Context(), time.Now())
	got, _ := f.Get("u")
	is.Equal(got.StartedAt, int64(200))
	is.Equal(got.State, fleet.Open)
}
