package configwriter_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"petrelstep/resource"
	"petrelstep/standin/platform"
	"petrelstep/wire"
)

// history is what a box has served by.
type history struct {
	revision int
	writes   map[string]resource.Position // last write of each resource, by kind/name
}

// checkForward checks that a box serves by nothing older than before.
func (h *history) checkForward(t *rapid.T, b *box) {
	v := b.resources.View()
	if v.Revision < h.revision {
		t.Fatalf("revision %d after %d", v.Revision, h.revision)
	}
	h.revision = v.Revision
	now := map[string]resource.Position{}
	for _, item := range completeState(b) {
		now[resource.Key(item.Kind, item.Name)] = resource.Position{Era: item.Era, Revision: item.Revision}
	}
	for key, before := range h.writes {
		if before.After(now[key]) {
			t.Fatalf("%s went back from %v to %v", key, before, now[key])
		}
	}
	h.writes = now
}

// completeState returns the resources of a box and the removals that it knows.
func completeState(b *box) []wire.Resource {
	all := map[string]wire.Resource{}
	for _, item := range b.resources.Since(0).Items {
		all[resource.Key(item.Kind, item.Name)] = item
	}
	items := make([]wire.Resource, 0, len(all))
	for _, item := range all {
		items = append(items, item)
	}
	return items
}

// randomPlay is a table, its copies, and what its boxes have served by.
type randomPlay struct {
	*restorable
	copies    []*platform.Copy
	histories map[*box]*history
}

// step lets one box do something, or something happen to the table.
func (p *randomPlay) step(t *rapid.T, step int) {
	b := rapid.SampledFrom(p.boxes).Draw(t, "box")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		p.copies = append(p.copies, p.platform.Copy())
	case 1:
		p.copied = rapid.SampledFrom(p.copies).Draw(t, "copy")
		p.restoreAfter(rapid.IntRange(0, 8).Draw(t, "calls"))
	case 2:
		if len(p.boxes) < 5 {
			p.start()
		}
	case 3, 4:
		_ = b.catchUp.Run(t.Context())
	case 5, 6:
		b.fetch(rapid.SampledFrom(p.boxes).Draw(t, "from"))
	default:
		if rapid.IntRange(0, 19).Draw(t, "lost") == 0 {
			p.platform.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply, Count: 1})
		}
		b.putRandom(t, step)
	}
}

func (p *randomPlay) checkForward(t *rapid.T) {
	for _, b := range p.boxes {
		if p.histories[b] == nil {
			p.histories[b] = &history{}
		}
		p.histories[b].checkForward(t, b)
	}
}

// checkSame checks that all boxes have the same.
func (p *randomPlay) checkSame(t *rapid.T) {
	first := p.boxes[0]
	for _, b := range p.boxes {
		if b.content() != first.content() || b.resources.View().Position() != first.resources.View().Position() {
			t.Fatalf("%v %s, %v %s", first.resources.View().Position(), first.content(), b.resources.View().Position(), b.content())
		}
	}
}

// TestRestoredRandom lets boxes write, read and fetch from each other in random order, while the
// table is restored from random copies and boxes start: no box serves by what is older than what
// it had, and in the end all have the same.
func TestRestoredRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &randomPlay{restorable: newRestorable(), histories: map[*box]*history{}}
		defer p.server.Close()
		p.copies = []*platform.Copy{p.copied}
		p.startReading()
		p.start()
		for step := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			p.step(rt, step)
			p.checkForward(rt)
		}
		p.onReceived(func(*http.Request) {}) // no restore while the boxes settle
		p.settle(rt.Context())
		p.checkForward(rt)
		p.checkSame(rt)
	})
}

// restoreAfter restores the table at once, or when some calls have arrived.
func (r *restorable) restoreAfter(calls int) {
	if calls == 0 {
		r.restore()
		return
	}
	var left atomic.Int64
	left.Store(int64(calls))
	r.onReceived(func(*http.Request) {
		if left.Add(-1) == 0 {
			r.restore()
		}
	})
}

// putRandom writes, changes or removes a hall, or the organisation.
func (b *box) putRandom(t *rapid.T, step int) {
	item := hall(rapid.SampledFrom([]string{"h0", "h3", "h4"}).Draw(t, "name"), 0, fmt.Sprint("r", step))
	if rapid.IntRange(0, 3).Draw(t, "organisation") == 0 {
		keys := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"k1", "k2", "k3"}), rapid.ID[string]).Draw(t, "keys")
		item = organisation(0, keys...)
	}
	item.Removed = rapid.IntRange(0, 4).Draw(t, "removed") == 0
	for _, known := range completeState(b) {
		if known.Kind == item.Kind && known.Name == item.Name {
			item.Version = known.Version
		}
	}
	b.put(item)
}

// TestRestoredTogether lets many boxes read a restored table at once, each of which has all that is
// lost: it is written again once, and all boxes have the same.
func TestRestoredTogether(t *testing.T) {
	is := is.New(t)
	r := newRestorable()
	defer r.server.Close()
	for i := range 30 {
		r.boxes[0].put(hall(fmt.Sprint("lost-", i), 0, "r"))
	}
	for range 40 {
		r.startReading()
	}
	r.restore()
	reads, commits := r.platform.Counts()
	for range 2 { // the first answer does not count
		var all sync.WaitGroup
		for _, b := range r.boxes {
			all.Go(func() { _ = b.catchUp.Run(context.Background()) })
		}
		all.Wait()
	}
	readsAfter, commitsAfter := r.platform.Counts()
	t.Log(readsAfter-reads, "reads,", commitsAfter-commits, "commits")
	is.Equal(commitsAfter-commits, 1)
	for _, b := range r.boxes {
		is.Equal(len(b.resources.View().Halls), 33)
		is.Equal(b.resources.View().Position(), r.boxes[0].resources.View().Position())
	}
}
