// Package probe looks at upstreams themselves while the store tells nothing: boxes
// still reach engines then, and their own reports are the only news that they
// leave.
package probe

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/exchange"
	"petrelstep/fleet"
)

const (
	// Period is the time between looks; a report is half a second old, and an
	// upstream is gone within 1.5 to 2 s of its notice.
	Period = 250 * time.Millisecond
	// silence is how long the store has answered nobody that this box hears of when
	// it begins to look. A hub has two calls at the store, each answered once in 0.7
	// to 1.2 s, and tells of it within 0.25 s, so that in calm one of three hubs
	// has an answer within half a second. A report is half a second old and an
	// upstream is gone 1.5 to 2 s after its notice: what is seen within 0.9 s
	// of a store's silence still leaves half a second to move runs. A look too
	// many costs one report of each engine that this box has runs at.
	silence = 600 * time.Millisecond
	// outage is the silence after which upstreams may have lost the store too.
	outage = 1500 * time.Millisecond
	// afterwards is how long after an outage a box goes on looking: upstreams are
	// listed again within 2 s of the store's return, and until then the store may
	// never take the word of one that leaves. It is seen in its report half a
	// second later.
	afterwards = 3 * time.Second
	// reportTime bounds a report.
	reportTime = 400 * time.Millisecond
)

// sourceReport names a report in the log as where news came from.
const sourceReport = "report"

// Report is what an upstream says of itself. Values are immutable.
type Report struct {
	Leaving   bool
	StartedAt int64 // when it started; 0 where it does not say so
	Limit     exchange.Limit
	Backoff   time.Duration // for so long it wants nothing from this box; 0 if it does not say so
}

// Backoffs knows who has asked this box for rest.
type Backoffs interface {
	Requested(now time.Time, u fleet.Upstream, d time.Duration)
	Wait(now time.Time, upstream string) time.Duration
}

// Limits takes what upstreams say that they take.
type Limits interface {
	Observe(now, sent time.Time, u fleet.Upstream, said exchange.Limit, whole bool)
}

// Reports reads an upstream's own word.
type Reports interface {
	ReadReport(ctx context.Context, address string) (Report, error)
}

// Runs names the upstreams at which this box has generations.
type Runs interface {
	Upstreams() map[string]fleet.Upstream
}

// Prober is one box's. Its looks are made one after the other.
type Prober struct {
	fleet   *fleet.Fleet
	silent  func(now time.Time) time.Duration
	runs    Runs
	reports Reports
	limits  Limits
	rests   Backoffs
	log     *logrus.Entry
	until   time.Time // upstreams may not have reached the store again
}

// New returns a watch; Look is to be called each Period. silent tells for how
// long the store has answered nobody that this box hears of.
func New(f *fleet.Fleet, silent func(now time.Time) time.Duration, runs Runs, reports Reports, limits Limits, rests Backoffs, log *logrus.Entry) *Prober {
	return &Prober{fleet: f, silent: silent, runs: runs, reports: reports, limits: limits, rests: rests, log: log}
}

// Poll reads the reports of the upstreams that matter, if the store is silent or
// was so until just now.
func (w *Prober) Poll(ctx context.Context, now time.Time) {
	silent := w.silent(now)
	if silent >= outage {
		w.until = now.Add(afterwards)
	}
	if silent < silence && !now.Before(w.until) {
		return
	}
	var all sync.WaitGroup
	for id, u := range w.runs.Upstreams() {
		if known, ok := w.fleet.Get(id); ok && known.State == fleet.Leaving {
			continue
		}
		if w.rests.Wait(now, id) > 0 {
			continue
		}
		all.Go(func() { w.look(ctx, u) })
	}
	all.Wait()
}

func (w *Prober) look(ctx context.Context, u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	sent := time.Now()
	word, err := w.reports.ReadReport(ctx, u.Address)
	if err != nil {
		w.log.WithError(err).WithField("upstream", u.ID).Debug("report_not_read")
		word.StartedAt = 0 // only the answer's head holds
	}
	w.rests.Requested(time.Now(), u, word.Backoff)
	w.limits.Observe(time.Now(), sent, u, word.Limit, false) // a report may leave out what still holds
	w.fleet.MarkStarted(time.Now(), u.ID, word.StartedAt, sourceReport)
	if word.Leaving {
		w.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: u.ID, Announced: true, StartedAt: cmp.Or(word.StartedAt, u.StartedAt)}, sourceReport)
	}
}
