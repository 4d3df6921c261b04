package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/platform/blocklist"
	"petrelstep/wire"
)

const (
	// quarantineWriteTries and quarantineWriteInterval bound the retries of a
	// quarantine's write while the store is down; the boxes enforce it meanwhile.
	quarantineWriteTries    = 30
	quarantineWriteInterval = 2 * time.Second
	// quarantineWriteTimeout bounds a call; a slow store takes 0.3 s.
	quarantineWriteTimeout = 1500 * time.Millisecond
)

// cursor is the progress of exchanging one kind of change with a hub.
type cursor struct {
	received int // the hub's last change received
	sending  int // this box's last change in the call under way
	sent     int // this box's last change that the hub has acknowledged
}

// sendEnds adds the upstream crashes, with the requests they ran, that the hub doesn't
// have yet.
func (e *Edge) sendEnds(now time.Time, hub string, g *wire.Gossip) {
	e.mu.Lock()
	state := e.hubStates[hub]
	e.mu.Unlock()
	list, last := e.quarantine.Since(now, state.ends.sent)
	g.Ends, g.EndsOf, g.EndsAfter = list, state.incarnation, state.ends.received
	e.mu.Lock()
	defer e.mu.Unlock()
	state = e.hubStates[hub]
	state.ends.sending = last
	e.hubStates[hub] = state
}

// answerEnds adds the crashes that the caller doesn't have: all of them if it has just
// started or knew an earlier incarnation of this box.
func (e *Edge) answerEnds(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	after := 0
	if from.EndsOf == e.record.Incarnation {
		after = from.EndsAfter
	}
	a.Ends, a.EndsAt = e.quarantine.Since(now, after)
}

// receiveEnds records the crashes reported by a hub.
func (e *Edge) receiveEnds(a wire.GossipAnswer, sent time.Time) {
	e.quarantine.Update(sent, a.Ends)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hubStates[a.Sender.Box]
	state.ends.received = a.EndsAt
	e.hubStates[a.Sender.Box] = state
}

// serveRelease lets an operator release a request from quarantine on all boxes.
func (e *Edge) serveRelease(w http.ResponseWriter, r *http.Request) {
	fp, err := fingerprint.Parse(mux.Vars(r)["fingerprint"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.quarantine.Release(time.Now(), fp) {
		http.Error(w, "no upstream is known to have crashed while running it", http.StatusNotFound)
	}
}

// restoreQuarantine reads the stored quarantines after all boxes were restarted. Hubs
// read and report them; the other boxes make no call.
func (e *Edge) restoreQuarantine(ctx context.Context) {
	for ctx.Err() == nil && !e.joined.Load() {
		e.timer.Sleep(ctx, tickInterval)
	}
	if !e.IsHub() {
		return
	}
	e.retry(ctx, func(ctx context.Context) error {
		stored, err := e.quarantineStore.table.All(ctx)
		for fp, entry := range stored {
			restore := e.quarantine.Restore
			if entry.Part {
				restore = e.quarantine.RestorePart
			}
			restore(time.Now(), fp, entry.Upstreams)
			e.log.WithFields(logrus.Fields{"fingerprint": fp, "part": entry.Part, "upstreams": entry.Upstreams}).Info("quarantine_restored")
		}
		return err
	})
}

// rewriteQuarantine makes the stored quarantines those known here, if this box has seen that the
// store was restored from an older copy. Stored ones that are not known here stay.
func (e *Edge) rewriteQuarantine(ctx context.Context) {
	if !e.quarantineStore.restored.CompareAndSwap(true, false) {
		return
	}
	stored, err := e.quarantineStore.table.All(ctx)
	if err != nil {
		e.quarantineStore.restored.Store(true) // again at the next tick
		e.log.WithError(err).Warn("quarantines_not_read")
		return
	}
	put, removed := 0, 0
	for fp, known := range e.quarantine.Known() {
		_, found := stored[fp]
		switch {
		case known.Refused && !found:
			e.quarantineStore.put(fp, blocklist.Entry{Part: known.Part, Upstreams: known.Upstreams})
			put++
		case !known.Refused && found:
			e.quarantineStore.Delete(fp)
			removed++
		}
	}
	e.log.WithFields(logrus.Fields{"stored": len(stored), "written": put, "removed": removed}).Info("quarantines_restored")
}

// quarantineTable is the storage that outlives all boxes.
type quarantineTable interface {
	Put(ctx context.Context, fp fingerprint.Fingerprint, e blocklist.Entry) error
	Remove(ctx context.Context, fp fingerprint.Fingerprint) error
	All(ctx context.Context) (map[fingerprint.Fingerprint]blocklist.Entry, error)
}

// quarantineStore writes quarantines to the platform's store in the background.
type quarantineStore struct {
	table    quarantineTable
	log      *logrus.Entry
	restored atomic.Bool // rows may be missing since the store was restored
}

// Save implements quarantine.Store.
func (k *quarantineStore) Save(fp fingerprint.Fingerprint, upstreams []string) {
	k.put(fp, blocklist.Entry{Upstreams: upstreams})
}

// SavePart implements quarantine.Store.
func (k *quarantineStore) SavePart(fp fingerprint.Fingerprint, upstreams []string) {
	k.put(fp, blocklist.Entry{Part: true, Upstreams: upstreams})
}

func (k *quarantineStore) put(fp fingerprint.Fingerprint, e blocklist.Entry) {
	go k.retry(fp, "keep", func(ctx context.Context) error { return k.table.Put(ctx, fp, e) })
}

// Delete implements quarantine.Store.
func (k *quarantineStore) Delete(fp fingerprint.Fingerprint) {
	go k.retry(fp, "drop", func(ctx context.Context) error { return k.table.Remove(ctx, fp) })
}

func (k *quarantineStore) retry(fp fingerprint.Fingerprint, what string, call func(context.Context) error) {
	for range quarantineWriteTries {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineWriteTimeout)
		err := call(ctx)
		cancel()
		if err == nil {
			return
		}
		k.log.WithError(err).WithFields(logrus.Fields{"fingerprint": fp, "call": what}).Warn("quarantine_not_kept")
		time.Sleep(quarantineWriteInterval)
	}
}
