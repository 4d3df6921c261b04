package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/fingerprint"
	"petrelstep/wire"
)

const (
	// keepTries and keepEvery bound how long a box tries to write a quarantine to a
	// store that is down; the boxes know it meanwhile.
	keepTries = 30
	keepEvery = 2 * time.Second
	// keepTime bounds a call; a slow store takes 0.3 s.
	keepTime = 1500 * time.Millisecond
)

// newsMark is how far a hub's news of a kind is known here, and this box's there.
type newsMark struct {
	after   int // last change of the hub's that is known here
	telling int // of this box's in the call under way
	told    int // and in the last one that was answered
}

// sayEnds tells a hub which upstreams ended under which requests, as far as it has not
// been told.
func (e *Edge) sayEnds(now time.Time, hub string, g *wire.Gossip) {
	e.mu.Lock()
	m := e.known[hub]
	e.mu.Unlock()
	list, last := e.quarantine.Since(now, m.ends.told)
	g.Ends, g.EndsOf, g.EndsAfter = list, m.incarnation, m.ends.after
	e.mu.Lock()
	defer e.mu.Unlock()
	m = e.known[hub]
	m.ends.telling = last
	e.known[hub] = m
}

// answerEnds tells an asker what it does not have; all to one that has just started,
// or knew an earlier life of this box.
func (e *Edge) answerEnds(now time.Time, from wire.Gossip, a *wire.GossipAnswer) {
	after := 0
	if from.EndsOf == e.record.Incarnation {
		after = from.EndsAfter
	}
	a.Ends, a.EndsAt = e.quarantine.Since(now, after)
}

// hearEnds takes a hub's word.
func (e *Edge) hearEnds(a wire.GossipAnswer, sent time.Time) {
	e.quarantine.Update(sent, a.Ends)
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.known[a.Sender.Box]
	m.ends.after = a.EndsAt
	e.known[a.Sender.Box] = m
}

// serveRelease lets an operator let a request in again at all boxes.
func (e *Edge) serveRelease(w http.ResponseWriter, r *http.Request) {
	fp, err := fingerprint.Parse(mux.Vars(r)["fingerprint"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.quarantine.Release(time.Now(), fp) {
		http.Error(w, "no upstream is known to have ended under it", http.StatusNotFound)
	}
}

// restoreQuarantine reads what was kept before all boxes were killed. Hubs do, which
// tell the others; a box that others tell of needs no call.
func (e *Edge) restoreQuarantine(ctx context.Context) {
	for ctx.Err() == nil && !e.joined.Load() {
		e.timer.Sleep(ctx, tickEvery)
	}
	if !e.IsHub() {
		return
	}
	e.insist(ctx, func(ctx context.Context) error {
		kept, err := e.kept.list.All(ctx)
		for fp, upstreams := range kept {
			e.quarantine.Restore(time.Now(), fp, upstreams)
			e.log.WithFields(logrus.Fields{"fingerprint": fp, "upstreams": upstreams}).Info("quarantine_restored")
		}
		return err
	})
}

// list is what is kept beyond the lives of all boxes.
type list interface {
	Put(ctx context.Context, fp fingerprint.Fingerprint, upstreams []string) error
	Remove(ctx context.Context, fp fingerprint.Fingerprint) error
	All(ctx context.Context) (map[fingerprint.Fingerprint][]string, error)
}

// kept writes quarantines to the platform's store, beside the requests.
type kept struct {
	list list
	log  *logrus.Entry
}

// Save implements quarantine.Keeper.
func (k *kept) Save(fp fingerprint.Fingerprint, upstreams []string) {
	go k.insist(fp, "keep", func(ctx context.Context) error { return k.list.Put(ctx, fp, upstreams) })
}

// Delete implements quarantine.Keeper.
func (k *kept) Delete(fp fingerprint.Fingerprint) {
	go k.insist(fp, "drop", func(ctx context.Context) error { return k.list.Remove(ctx, fp) })
}

func (k *kept) insist(fp fingerprint.Fingerprint, what string, call func(context.Context) error) {
	for range keepTries {
		ctx, cancel := context.WithTimeout(context.Background(), keepTime)
		err := call(ctx)
		cancel()
		if err == nil {
			return
		}
		k.log.WithError(err).WithFields(logrus.Fields{"fingerprint": fp, "call": what}).Warn("quarantine_not_kept")
		time.Sleep(keepEvery)
	}
}
