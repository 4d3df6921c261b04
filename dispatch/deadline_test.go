package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/answers"
	"petrelstep/cells"
	"petrelstep/engineload"
	"petrelstep/health"
	"petrelstep/inflight"
	"petrelstep/metrics"
	"petrelstep/outputlen"
	"petrelstep/placement"
	"petrelstep/quota"
	"petrelstep/resource"
	"petrelstep/retry"
	"petrelstep/upstream/engine"
	"petrelstep/wire"
)

// silentEngines is an engine client that is never connected.
type silentEngines struct{ calls int }

// Generate implements generation.Client.
func (s *silentEngines) Generate(ctx context.Context, _ string, _ wire.EngineJob) (*engine.Stream, error) {
	s.calls++
	<-ctx.Done()
	return nil, &engine.Error{Kind: kindOfUnsent(), Err: &answers.UnsentError{Err: ctx.Err()}}
}

// kindOfUnsent returns the kind of a real call that is cancelled before it is connected.
func kindOfUnsent() engine.Kind {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := engine.New().Generate(ctx, "127.0.0.1:1", wire.EngineJob{})
	return engine.KindOf(err)
}

// Resume implements generation.Client.
func (*silentEngines) Resume(context.Context, string, string, int) (*engine.Stream, error) {
	return nil, context.Canceled
}

// Cancel implements Engines.
func (*silentEngines) Cancel(context.Context, string, string) (wire.CancelAnswer, error) {
	return wire.CancelAnswer{State: wire.CancelAnswerStateNeverStarted}, nil
}

// noHomes knows no home boxes.
type noHomes struct{}

func (noHomes) Settle(context.Context, string, func(string) []wire.SettleItem) bool { return true }
func (noHomes) IsHome(string) bool                                                  { return true }
func (noHomes) HomeOf(string) string                                                { return "" }

// newDispatcher returns a dispatcher that knows engines e0 to e2.
func newDispatcher(t *testing.T, engines Engines) *Dispatcher {
	list := []wire.Resource{{Kind: wire.ResourceKindModel, Name: "m", Spec: json.RawMessage("{}"), Revision: 1}}
	loads, known, resources, lengths := engineload.New(), health.New(), resource.New(), outputlen.New()
	for i := range 3 {
		name := fmt.Sprint("e", i)
		list = append(list, wire.Resource{Kind: wire.ResourceKindUpstream, Name: name, Revision: i + 2, Spec: json.RawMessage(fmt.Sprintf(`{"address":"127.0.0.1:%d","hall":"h","role":"engine"}`, i+1))})
		loads.Report(time.Now(), wire.EngineLoad{Engine: name, Model: "m", Ready: true, Capacity: 1000, Incarnation: 1, AtMs: int(time.Now().UnixMilli())})
		known.MarkSeen(time.Now(), name, 1, time.Millisecond, time.Minute)
	}
	is.New(t).True(resources.Apply(wire.ChangeSet{Revision: len(list), Items: list}))
	counts, err := metrics.New()
	is.New(t).NoErr(err)
	divided := cells.New(resources.View(), len(list))
	return New(Components{
		Resources: resources, Cells: func() *cells.Cells { return divided }, Engines: engines, Loads: loads, Health: known, Lengths: lengths,
		Quota: quota.New(1), Budget: retry.New(), Flights: inflight.New(noHomes{}, lengths, engines, time.Second),
		Placer: func(_ placement.Method, views []placement.View) int { return min(len(views), 1) - 1 }, Metrics: counts, Started: func() bool { return true },
	})
}

// TestDeadlineWhileConnecting guards against requests that are tried at further engines after their
// deadline, which passed while one was connected to, and make these engines count as failing.
func TestDeadlineWhileConnecting(t *testing.T) {
	is := is.New(t)
	engines := &silentEngines{}
	d := newDispatcher(t, engines)
	const requests = 3
	for range requests {
		_, err := d.Start(t.Context(), Request{Organisation: "o", Body: wire.GenerationRequest{Model: "m", Prompt: "a", MaxTokens: 10, DeadlineMs: 20}})
		is.True(err != nil)
	}
	for _, name := range []string{"e1", "e2"} {
		is.True(d.Health.Eligible(time.Now(), name)) // only e0 was waited for
	}
	is.Equal(engines.calls, requests)
}
