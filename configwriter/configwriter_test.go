package configwriter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"petrelstep/catchup"
	"petrelstep/configwriter"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/standin/platform"
	"petrelstep/verify"
	"petrelstep/wire"
)

// box holds the components of a box that take part in a write.
type box struct {
	resources *resource.Resources
	catchUp   *catchup.CatchUp
	writer    *configwriter.Writer
}

func newBox(p *platform.Platform) *box {
	r := resource.New()
	c := catchup.New(p.Direct(), r)
	return &box{resources: r, catchUp: c, writer: configwriter.New(p.Direct(), verify.New(), r, c.Run)}
}

func (b *box) write(version int, region string) (wire.Resource, refusal.Refusal) {
	done, err := b.writer.Write(context.Background(), hall("leith", version, region))
	var r refusal.Refusal
	errors.As(err, &r)
	return done, r
}

func (b *box) region() string { return b.resources.View().Halls["leith"].Region }

func hall(name string, version int, region string) wire.Resource {
	return wire.Resource{
		Kind: wire.ResourceKindHall, Name: name, Version: version,
		Spec: json.RawMessage(fmt.Sprintf(`{"region":%q}`, region)),
	}
}

func fault(p *platform.Platform, mode wire.FaultMode, count int) {
	p.Fault(wire.Fault{Part: platform.Table, Mode: mode, Count: count})
}

// writeTest is a fault at one step of a write.
type writeTest struct {
	before  func(p *platform.Platform, a, b *box)
	version int
	reason  refusal.Reason
	after   func(p *platform.Platform, a, b *box)
	region  string // finally in force
}

var writeTests = map[string]writeTest{
	"no fault x write": {region: "new"},
	"reply lost x commit": {
		before: func(p *platform.Platform, _, _ *box) { loseWrites(p) },
		region: "new",
	},
	"store down x read": {
		before: func(p *platform.Platform, _, _ *box) { fault(p, wire.FaultModeDown, 0) },
		reason: refusal.StoreDown,
		region: "old",
	},
	"concurrent write x commit": {
		before: func(_ *platform.Platform, _, b *box) { b.write(1, "faster") },
		reason: refusal.Conflict,
		region: "faster",
	},
	"concurrent write x another resource": {
		before: func(_ *platform.Platform, _, b *box) {
			_, _ = b.writer.Write(context.Background(), hall("gorgie", 0, "x"))
		},
		region: "new",
	},
	"old version x write": {version: 7, reason: refusal.Conflict, region: "old"},
	"older table state x after": {
		after: func(p *platform.Platform, _, b *box) {
			p.HandOut(map[string]wire.Row{})
			_ = b.catchUp.Run(context.Background())
			fault(p, wire.FaultModeNone, 0)
		},
		region: "new",
	},
}

// TestWrite is the fault matrix of a configuration write, fault x step. Box a
// writes, then box b and a new box catch up: an accepted write is in force at
// both, a refused one at neither.
func TestWrite(t *testing.T) {
	for name, tt := range writeTests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.run(t) })
		})
	}
}

func (tt writeTest) run(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	a, b := newBox(p), newBox(p)
	_, r := a.write(0, "old")
	is.Equal(r.Reason(), refusal.Reason(""))
	if tt.before != nil {
		tt.before(p, a, b)
	}
	_, r = a.write(max(tt.version, 1), "new")
	is.Equal(r.Reason(), tt.reason)
	is.Equal(r.Body().Version > 0, tt.reason == refusal.Conflict) // the refusal has the version in force
	fault(p, wire.FaultModeNone, 0)
	if tt.after != nil {
		tt.after(p, a, b)
	}
	for _, one := range []*box{a, b, newBox(p)} {
		is.NoErr(one.catchUp.Run(context.Background()))
		is.Equal(one.region(), tt.region)
	}
}

// loseWrites makes the table lose replies of writes only.
func loseWrites(p *platform.Platform) {
	p.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply, Count: 2})
}

// TestOlderState returns an older table state to a running box, and to a starting
// box with a peer: neither reverts to it.
func TestOlderState(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	a, b := newBox(p), newBox(p)
	a.write(0, "old")
	a.write(1, "new")
	is.NoErr(b.catchUp.Run(context.Background()))
	p.HandOut(map[string]wire.Row{})
	is.NoErr(b.catchUp.Run(context.Background()))
	is.Equal(b.region(), "new")
	c := newBox(p)
	c.resources.Apply(b.resources.Since(0)) // as from a peer's heartbeat
	is.NoErr(c.catchUp.Run(context.Background()))
	is.Equal(c.region(), "new")
}

// TestStoreDownStart starts a box while the table is down: it gets its peer's
// configuration, and the peer keeps it.
func TestStoreDownStart(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Options{})
	a := newBox(p)
	a.write(0, "old")
	is.NoErr(a.catchUp.Run(context.Background()))
	fault(p, wire.FaultModeDown, 0)
	c := newBox(p)
	is.True(c.catchUp.Run(context.Background()) != nil)
	c.resources.Apply(a.resources.Since(0))
	is.Equal(c.region(), "old")
	is.True(a.catchUp.Run(context.Background()) != nil)
	is.Equal(a.region(), "old")
}

// input is a read or write in the history that porcupine checks.
type input struct {
	write   bool
	version int
	region  string
}

type output struct {
	ok, unknown bool // unknown: the write may have taken effect
	version     int
	region      string
}

type state struct {
	version int
	region  string
}

// register is a versioned register with compare-and-set. A write with unknown
// outcome may have taken effect.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, in, out any) []any {
		st, i, o := s.(state), in.(input), out.(output)
		if !i.write {
			if o.version == st.version && o.region == st.region {
				return []any{st}
			}
			return nil
		}
		written := state{version: i.version + 1, region: i.region}
		fits := i.version == st.version
		switch {
		case o.unknown && fits:
			return []any{st, written}
		case o.unknown || !o.ok && !fits:
			return []any{st}
		case o.ok && fits:
			return []any{written}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestLinearizable writes and reads one resource concurrently at three boxes
// while replies are lost and the table is sometimes down: the recorded history
// must be linearizable.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := record(seed)
				if !porcupine.CheckOperations(register.ToModel(), history) {
					t.Fatal("the history is not linearizable")
				}
			})
		})
	}
}

func record(seed uint64) []porcupine.Operation {
	const writers, writes = 3, 8
	p := platform.New(platform.Options{})
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	// A counter, as many events have the same virtual time.
	clock := new(atomic.Int64)
	for w := range writers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			b := newBox(p)
			for n := range writes {
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
				injectFault(p, rng)
				in, out, call, end := b.operate(rng, clock, fmt.Sprintf("r%d-%d", w, n))
				if out.unknown {
					end = math.MaxInt64
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: w*writes + n, Input: in, Output: out, Call: call, Return: end})
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return history
}

func injectFault(p *platform.Platform, rng *rand.Rand) {
	switch rng.IntN(5) {
	case 0:
		p.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeLoseReply, Count: 1 + rng.IntN(6)})
	case 1:
		p.Fault(wire.Fault{Part: platform.TableWrites, Mode: wire.FaultModeDown, Count: 1})
	}
}

// operate reads, or writes based on the version last read.
func (b *box) operate(rng *rand.Rand, clock *atomic.Int64, region string) (in input, out output, call, end int64) {
	call = clock.Add(1)
	_ = b.catchUp.Run(context.Background())
	now := b.resources.View().Resources["Hall/leith"]
	if rng.IntN(3) == 0 {
		return input{}, output{version: now.Version, region: b.region()}, call, clock.Add(1)
	}
	call = clock.Add(1)
	done, refused := b.write(now.Version, region)
	in = input{write: true, version: now.Version, region: region}
	out = output{ok: refused.Reason() == "", unknown: refused.Reason() == refusal.UnknownOutcome || refused.Reason() == refusal.StoreDown, version: done.Version}
	return in, out, call, clock.Add(1)
}
