package configwriter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/catchup"
	"petrelstep/configwriter"
	"petrelstep/platform/store"
	"petrelstep/platform/table"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/standin/platform"
	"petrelstep/verify"
	"petrelstep/wire"
)

// verifier is shared, as it takes long to compile.
var verifier = verify.New()

// restorable is a table that can be restored from a copy, and the boxes that use it.
type restorable struct {
	platform *platform.Platform
	server   *httptest.Server
	received atomic.Pointer[func(call *http.Request)] // called when a call has arrived, before it is handled
	boxes    []*box
	copied   *platform.Copy
}

// newRestorable returns a table with three halls and an organisation of two keys, its copy, and
// a box that wrote them.
func newRestorable() *restorable {
	r := &restorable{platform: platform.New(platform.Options{})}
	r.onReceived(func(*http.Request) {})
	serve := r.platform.Handler()
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			body, _ := io.ReadAll(req.Body) // a short body is refused
			req.Body = io.NopCloser(bytes.NewReader(body))
		}
		(*r.received.Load())(req)
		serve.ServeHTTP(w, req)
	}))
	first := r.start()
	for i := range 3 {
		_, _ = first.put(hall(fmt.Sprint("h", i), 0, "r1"))
	}
	_, _ = first.put(organisation(0, "k1", "k2"))
	r.copied = r.platform.Copy()
	return r
}

// start adds a box that knows nothing yet.
func (r *restorable) start() *box {
	rows := table.New(store.New(strings.TrimPrefix(r.server.URL, "http://"), nil), time.Second)
	resources := resource.New()
	c := catchup.New(rows, resources)
	b := &box{resources: resources, catchUp: c, writer: configwriter.New(rows, verifier, resources, c.Run)}
	r.boxes = append(r.boxes, b)
	return b
}

func (r *restorable) onReceived(f func(call *http.Request)) { r.received.Store(&f) }

func (r *restorable) restore() {
	r.platform.Suspend()
	r.platform.Restore(r.copied)
}

// settle lets all boxes read the table. The first answer after a restore does not count yet.
func (r *restorable) settle(ctx context.Context) {
	for range 4 {
		for _, b := range r.boxes {
			_ = b.catchUp.Run(ctx)
		}
	}
}

// put writes a resource and applies it, as a daemon does, and returns the reason of a refusal.
func (b *box) put(item wire.Resource) (wire.Resource, refusal.Reason) {
	done, err := b.writer.Write(context.Background(), item)
	if err == nil {
		b.resources.Apply(wire.ChangeSet{Era: done.Era, Revision: done.Revision, Since: done.Revision - 1, Items: []wire.Resource{done}})
	}
	var refused refusal.Refusal
	errors.As(err, &refused)
	return done, refused.Reason()
}

// fetch applies what another box has, as after a heartbeat.
func (b *box) fetch(from *box) {
	now, at := b.resources.View().Position(), from.resources.View().Position()
	if !b.resources.IsNews(at) {
		return
	}
	since := 0
	if now.Era == at.Era {
		since = now.Revision
	}
	b.resources.Apply(from.resources.Since(since))
}

// content returns what a box serves by: halls by region, and keys.
func (b *box) content() string {
	v := b.resources.View()
	regions, keys := map[string]string{}, []string{}
	for name, h := range v.Halls {
		regions[name] = h.Region
	}
	for hash := range v.Keys {
		keys = append(keys, hash)
	}
	slices.Sort(keys)
	return fmt.Sprint(regions, keys)
}

func organisation(version int, keys ...string) wire.Resource {
	spec, err := json.Marshal(map[string]any{"key_hashes": keys})
	if err != nil {
		panic(err) // strings
	}
	return wire.Resource{Kind: wire.ResourceKindOrganisation, Name: "lothian", Version: version, Spec: spec}
}

func removal(r wire.Resource) wire.Resource {
	r.Removed = true
	return r
}

// restoredTests are what happens in the lost seconds and after the restore. The first box has read
// the copy; the second, if a row starts one, knows only what it reads.
var restoredTests = map[string]struct {
	play func(r *restorable, first *box)
	want string // finally in force at all boxes
}{
	"added": {
		play: func(r *restorable, first *box) {
			first.put(hall("h3", 0, "r1"))
			r.restore()
			r.startReading().put(hall("h4", 0, "r1"))
		},
		want: "map[h0:r1 h1:r1 h2:r1 h3:r1 h4:r1] [k1 k2]",
	},
	"added, nothing is written since": {
		play: func(r *restorable, first *box) {
			first.put(hall("h3", 0, "r1"))
			r.restore()
		},
		want: "map[h0:r1 h1:r1 h2:r1 h3:r1] [k1 k2]",
	},
	"changed": {
		play: func(r *restorable, first *box) {
			first.put(hall("h0", 1, "r2"))
			r.restore()
			r.startReading().put(hall("h4", 0, "r1"))
		},
		want: "map[h0:r2 h1:r1 h2:r1 h4:r1] [k1 k2]",
	},
	"changed, and again since": {
		play: func(r *restorable, first *box) {
			first.put(hall("h0", 1, "r2"))
			r.restore()
			r.startReading().put(hall("h0", 1, "r3"))
		},
		want: "map[h0:r3 h1:r1 h2:r1] [k1 k2]",
	},
	"removed": {
		play: func(r *restorable, first *box) {
			first.put(removal(hall("h0", 1, "r1")))
			r.restore()
			r.startReading().put(hall("h4", 0, "r1"))
		},
		want: "map[h1:r1 h2:r1 h4:r1] [k1 k2]",
	},
	"removed and added since by a box that knows it": {
		play: func(r *restorable, first *box) {
			first.put(removal(hall("h0", 1, "r1")))
			r.restore()
			r.settle(context.Background())
			first.put(hall("h0", 2, "r2"))
		},
		want: "map[h0:r2 h1:r1 h2:r1] [k1 k2]",
	},
	"added and removed, the first to write again missed the removal": {
		play: func(r *restorable, first *box) {
			behind := r.startReading()
			first.put(hall("h3", 0, "r1"))
			behind.fetch(first)
			first.put(removal(hall("h3", 1, "r1")))
			r.restore()
			for range 2 {
				_ = behind.catchUp.Run(context.Background())
			}
		},
		want: "map[h0:r1 h1:r1 h2:r1] [k1 k2]",
	},
	"key revoked": {
		play: func(r *restorable, first *box) {
			first.put(organisation(1, "k2"))
			r.restore()
			r.startReading().put(hall("h4", 0, "r1"))
		},
		want: "map[h0:r1 h1:r1 h2:r1 h4:r1] [k2]",
	},
	"key revoked, the organisation is written since": {
		play: func(r *restorable, first *box) {
			first.put(organisation(1, "k2"))
			r.restore()
			r.startReading().put(organisation(1, "k1", "k2", "k3"))
		},
		want: "map[h0:r1 h1:r1 h2:r1] [k2]", // k1 may be revoked, and k3 cannot be distinguished from it
	},
	"organisation removed, and written since": {
		play: func(r *restorable, first *box) {
			first.put(removal(organisation(1, "k1", "k2")))
			r.restore()
			r.startReading().put(organisation(1, "k1", "k2"))
		},
		want: "map[h0:r1 h1:r1 h2:r1] []",
	},
	"nothing lost": {
		play: func(r *restorable, _ *box) { r.restore() },
		want: "map[h0:r1 h1:r1 h2:r1] [k1 k2]",
	},
	"two restores, a write after each": {
		play: func(r *restorable, first *box) {
			first.put(hall("h0", 1, "r2"))
			r.restore()
			r.startReading().put(hall("h4", 0, "r1"))
			_ = first.catchUp.Run(context.Background())
			r.restore()
			r.startReading().put(hall("h5", 0, "r1"))
		},
		want: "map[h0:r2 h1:r1 h2:r1 h4:r1 h5:r1] [k1 k2]",
	},
	"two restores, written again between them": {
		play: func(r *restorable, first *box) {
			first.put(hall("h0", 1, "r2"))
			first.put(organisation(1, "k2"))
			r.restore()
			r.settle(context.Background())
			r.restore()
			r.startReading().put(hall("h4", 0, "r1"))
		},
		want: "map[h0:r2 h1:r1 h2:r1 h4:r1] [k2]",
	},
	"more lost than one transaction writes": {
		play: func(r *restorable, first *box) {
			for i := range 120 {
				first.put(hall(fmt.Sprint("lost-", i), 0, "r"))
			}
			for i := range 120 {
				first.put(removal(hall(fmt.Sprint("lost-", i), 1, "r")))
			}
			r.restore()
		},
		want: "map[h0:r1 h1:r1 h2:r1] [k1 k2]",
	},
	"a box without the table hears of it from another": {
		play: func(r *restorable, first *box) {
			cut := r.startReading()
			cut.put(organisation(1, "k2"))
			r.boxes = slices.DeleteFunc(r.boxes, func(b *box) bool { return b == cut })
			r.restore()
			r.settle(context.Background())
			first.put(hall("h0", 1, "r2"))
			cut.fetch(first)
			if cut.content() != "map[h0:r2 h1:r1 h2:r1] [k2]" {
				panic("not joined: " + cut.content())
			}
			r.boxes = append(r.boxes, cut)
		},
		want: "map[h0:r2 h1:r1 h2:r1] [k2]",
	},
}

// startReading adds a box that has read the table.
func (r *restorable) startReading() *box {
	b := r.start()
	for range 2 {
		_ = b.catchUp.Run(context.Background())
	}
	return b
}

// TestConfigurationRestoredRows guards against lost changes, revoked keys that work again, and
// boxes with different configurations after the table was restored from an older copy.
func TestConfigurationRestoredRows(t *testing.T) {
	for name, tt := range restoredTests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRestorable()
			defer r.server.Close()
			tt.play(r, r.boxes[0])
			r.settle(t.Context())
			r.startReading()
			for _, b := range r.boxes {
				is.Equal(b.content(), tt.want)
				is.Equal(b.resources.View().Position(), r.boxes[0].resources.View().Position())
			}
		})
	}
}

// restoreAtTransaction restores the table before it handles the next transaction or, if the reply
// to that is to be lost, the call after it. before is called first.
func (r *restorable) restoreAtTransaction(lost bool, before func()) {
	if lost {
		r.platform.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply, Count: 1})
	}
	var sent atomic.Bool
	r.onReceived(func(call *http.Request) {
		if !sent.Load() {
			sent.Store(call.Method == http.MethodPost)
			if lost || !sent.Load() {
				return
			}
		}
		r.onReceived(func(*http.Request) {})
		before()
		r.restore()
	})
}

// TestWriteUnderWay guards against a write that is refused as not accepted, or confirmed, while
// the other happens, as the table was restored before it answered.
func TestWriteUnderWay(t *testing.T) {
	tests := map[string]struct {
		lost   bool // the reply; the restore is before the next call
		read   bool // another box has read the write before the restore
		reason refusal.Reason
		want   string // region of h0
	}{
		"arrives after the restore":           {reason: refusal.UnknownOutcome, want: "r1"},
		"reply lost, then restored":           {lost: true, reason: refusal.UnknownOutcome, want: "r1"},
		"reply lost, read, and then restored": {lost: true, read: true, reason: refusal.UnknownOutcome, want: "r2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRestorable()
			defer r.server.Close()
			first := r.boxes[0]
			other := r.startReading()
			first.put(hall("h3", 0, "r1"))
			r.restoreAtTransaction(tt.lost, func() {
				if tt.read {
					_ = other.catchUp.Run(t.Context())
				}
			})
			_, reason := first.put(hall("h0", 1, "r2"))
			is.Equal(reason, tt.reason)
			r.settle(t.Context())
			for _, b := range r.boxes {
				is.Equal(b.resources.View().Halls["h0"].Region, tt.want)
				is.Equal(b.content(), first.content())
			}
		})
	}
}

// TestVersionsRestored guards against a write on condition of the version that a lost write had: the
// restored table has given it out again to another.
func TestVersionsRestored(t *testing.T) {
	tests := map[string]struct {
		since  bool // the resource is written since the restore, without knowledge of the lost write
		reason refusal.Reason
	}{
		"the lost write is there again": {},
		"another write had its version": {since: true, reason: refusal.Conflict},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRestorable()
			defer r.server.Close()
			r.boxes[0].put(hall("h0", 1, "r2"))
			done, _ := r.boxes[0].put(hall("h0", 2, "r3"))
			r.restore()
			if tt.since {
				since := r.startReading()
				since.put(hall("h0", 1, "r4"))
				since.put(hall("h0", 2, "r4"))
			}
			r.settle(t.Context())
			_, reason := r.boxes[0].put(hall("h0", done.Version, "r5"))
			is.Equal(reason, tt.reason)
		})
	}
}
