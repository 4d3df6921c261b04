// Package watch looks at upstreams themselves while the store tells nothing: a
// box that is cut off from it still reaches engines, and their own reports are
// the only news that they leave.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/fleet"
)

const (
	// Period is the time between looks; a report is half a second old, and an
	// upstream is gone within 1.5 to 2 s of its notice.
	Period = 250 * time.Millisecond
	// silence is how long nobody, the store or a peer, has confirmed the list of
	// upstreams when a box that has lost the store begins to look.
	silence = 1500 * time.Millisecond
	// reportTime bounds a report.
	reportTime = 400 * time.Millisecond
)

// Reports reads an upstream's own word on whether it leaves.
type Reports interface {
	Leaves(ctx context.Context, address string) (bool, error)
}

// Runs names the upstreams at which this box has generations.
type Runs interface {
	Upstreams() map[string]fleet.Upstream
}

// Watch is one box's.
type Watch struct {
	fleet   *fleet.Fleet
	lost    func() bool
	runs    Runs
	reports Reports
	log     *logrus.Entry
}

// New returns a watch; Look is to be called each Period. lost tells whether
// this box has lost the store.
func New(f *fleet.Fleet, lost func() bool, runs Runs, reports Reports, log *logrus.Entry) *Watch {
	return &Watch{fleet: f, lost: lost, runs: runs, reports: reports, log: log}
}

// Look reads the reports of the upstreams that matter, if the store is silent.
func (w *Watch) Look(ctx context.Context, now time.Time) {
	if age, known := w.fleet.Age(now); !known || age < silence || !w.lost() {
		return
	}
	var all sync.WaitGroup
	for id, u := range w.runs.Upstreams() {
		if known, ok := w.fleet.Get(id); ok && known.State == fleet.Leaving {
			continue
		}
		all.Go(func() { w.look(ctx, u) })
	}
	all.Wait()
}

func (w *Watch) look(ctx context.Context, u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	leaves, err := w.reports.Leaves(ctx, u.Address)
	if err != nil {
		w.log.WithError(err).WithField("upstream", u.ID).Debug("report_not_read")
		return
	}
	if leaves {
		w.fleet.Leaves(time.Now(), fleet.Departure{ID: u.ID, Said: true}, "report")
	}
}
