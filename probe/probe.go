// Package probe polls upstreams for their reports while the store does not answer.
// Upstreams can still be reached then, and announce in their reports that they leave.
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
	// Period is the time between polls. An upstream stops 1.5 to 2 s after its
	// announcement, which its report carries within half a second.
	Period = 250 * time.Millisecond
	// silenceThreshold is the time without an answer of the store to any known box
	// after which polling starts. While the store answers, some hub has an answer
	// within about half a second, and half a second must remain to move runs off a
	// leaving upstream.
	silenceThreshold = 600 * time.Millisecond
	// outageThreshold is the time without an answer of the store after which upstreams
	// may have lost it too.
	outageThreshold = 1500 * time.Millisecond
	// pollAfterOutage is how long polling continues after an outage, until the
	// upstreams are listed again and announce their departures in the store.
	pollAfterOutage = 3 * time.Second
	// reportTimeout bounds the reading of a report.
	reportTimeout = 400 * time.Millisecond
)

// sourceReport is the source of updates from reports, for the log.
const sourceReport = "report"

// Report is what an upstream reports about itself. Values are immutable.
type Report struct {
	Leaving   bool
	StartedAt int64 // start time in Unix milliseconds; 0 if not reported
	Limit     exchange.Limit
	// RejectionLimit is how many requests per second it can reject before it crashes.
	RejectionLimit exchange.Limit
	Backoff        time.Duration // how long it wants no requests from this box; 0 if not reported
}

// Backoffs tracks which upstreams asked this box to back off, that is to send no
// requests for some time.
type Backoffs interface {
	Requested(now time.Time, u fleet.Upstream, d time.Duration)
	Wait(now time.Time, upstream string) time.Duration
}

// Limits handles the limits that upstreams report.
type Limits interface {
	Observe(now, sent time.Time, u fleet.Upstream, limit exchange.Limit, whole bool)
}

// Reports reads the report of an upstream.
type Reports interface {
	ReadReport(ctx context.Context, address string) (Report, error)
}

// Runs returns the upstreams that run generations of this box.
type Runs interface {
	Upstreams() map[string]fleet.Upstream
}

// Prober polls the upstreams of one box. Calls to Poll must not overlap.
type Prober struct {
	fleet        *fleet.Fleet
	storeSilence func(now time.Time) time.Duration
	runs         Runs
	reports      Reports
	limits       Limits
	rejections   Limits
	backoffs     Backoffs
	log          *logrus.Entry
	until        time.Time // polling continues until then after an outage
}

// New returns a Prober; Poll is to be called each Period. storeSilence returns the time
// since the store last answered any box known here.
func New(f *fleet.Fleet, storeSilence func(now time.Time) time.Duration, runs Runs, reports Reports, limits, rejections Limits, backoffs Backoffs, log *logrus.Entry) *Prober {
	return &Prober{fleet: f, storeSilence: storeSilence, runs: runs, reports: reports, limits: limits, rejections: rejections, backoffs: backoffs, log: log}
}

// Poll reads the reports of the upstreams with runs of this box, if the store is silent
// or was until recently.
func (p *Prober) Poll(ctx context.Context, now time.Time) {
	silent := p.storeSilence(now)
	if silent >= outageThreshold {
		p.until = now.Add(pollAfterOutage)
	}
	if silent < silenceThreshold && !now.Before(p.until) {
		return
	}
	var all sync.WaitGroup
	for id, u := range p.runs.Upstreams() {
		if known, ok := p.fleet.Get(id); ok && known.State == fleet.Leaving {
			continue
		}
		if p.backoffs.Wait(now, id) > 0 {
			continue
		}
		all.Go(func() { p.pollOne(ctx, u) })
	}
	all.Wait()
}

// pollOne reads and applies the report of one upstream.
func (p *Prober) pollOne(ctx context.Context, u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := time.Now()
	report, err := p.reports.ReadReport(ctx, u.Address)
	if err != nil {
		p.log.WithError(err).WithField("upstream", u.ID).Debug("report_not_read")
		report.StartedAt = 0 // only the headers of the answer are valid
	}
	p.backoffs.Requested(time.Now(), u, report.Backoff)
	p.limits.Observe(time.Now(), sent, u, report.Limit, false) // a report may omit a limit that is still in force
	p.rejections.Observe(time.Now(), sent, u, report.RejectionLimit, false)
	p.fleet.MarkStarted(time.Now(), u.ID, report.StartedAt, sourceReport)
	if report.Leaving {
		p.fleet.ApplyDeparture(time.Now(), fleet.Departure{ID: u.ID, Announced: true, StartedAt: cmp.Or(report.StartedAt, u.StartedAt)}, sourceReport)
	}
}
