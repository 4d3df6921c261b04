package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/dispatch"
	"petrelstep/generation"
	"petrelstep/inflight"
	"petrelstep/metrics"
	"petrelstep/outputlen"
	"petrelstep/sse"
	"petrelstep/standin/text"
	"petrelstep/upstream/engine"
	"petrelstep/upstream/service"
	"petrelstep/wire"
)

const attempt = "a1"

// stream returns an engine's stream of so many tokens.
func stream(tokens int) []byte {
	b := sse.AppendEvent(nil, sse.Start, mustJSON(wire.EngineStart{Attempt: attempt}))
	for i := range tokens {
		b = sse.AppendToken(b, i, mustJSON(text.Token(attempt, i)))
	}
	return sse.AppendEvent(b, sse.End, mustJSON(wire.EngineEnd{Attempt: attempt, Count: tokens, Why: wire.EngineEndWhyDone}))
}

// fixed is an engine that sends one stream, a bit at a time.
type fixed struct {
	raw  []byte
	each int // bytes that arrive together, 0 for all
}

func (f fixed) Generate(context.Context, string, wire.EngineJob) (*engine.Stream, error) {
	return engine.NewStream(io.NopCloser(&dribble{raw: f.raw, each: f.each})), nil
}

func (f fixed) Resume(ctx context.Context, _, _ string, _ int) (*engine.Stream, error) {
	return f.Generate(ctx, "", wire.EngineJob{})
}

type dribble struct {
	raw  []byte
	each int
}

func (d *dribble) Read(p []byte) (int, error) {
	if len(d.raw) == 0 {
		return 0, io.EOF
	}
	n := len(p)
	if d.each > 0 {
		n = min(n, d.each)
	}
	n = copy(p[:n], d.raw)
	d.raw = d.raw[n:]
	return n, nil
}

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

func open(tb testing.TB, f fixed) *dispatch.Running {
	tb.Helper()
	g, err := generation.New(context.Background(), f, "", wire.EngineJob{Attempt: attempt}, func() {})
	if err != nil {
		tb.Fatal(err)
	}
	flights := inflight.New(nil, outputlen.New(), nil, 0)
	return dispatch.NewRunning(g, &inflight.Generation{Attempt: attempt}, flights)
}

// TestRelay holds what a caller is sent against what the engine sent, from an
// offset on.
func TestRelay(t *testing.T) {
	tests := map[string]struct{ from, each int }{
		"all at once":      {},
		"a byte at a time": {each: 1},
		"from an offset":   {from: 7, each: 100},
		"from the end":     {from: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const tokens = 20
			running := open(t, fixed{raw: stream(tokens), each: tt.each})
			recorder := httptest.NewRecorder()
			out := newWriter(recorder, time.Now())
			err := new(Front).relay(context.Background(), out, running, tt.from)
			is.Equal(err, io.EOF)
			is.NoErr(out.flush())
			var want []byte
			for i := tt.from; i < tokens; i++ {
				want = sse.AppendToken(want, i, mustJSON(text.Token(attempt, i)))
			}
			is.True(bytes.Equal(recorder.Body.Bytes(), want))
			is.Equal(running.Hash(), text.Hash(attempt, tokens))
		})
	}
}

// BenchmarkRelay is a box's own work for each token of a stream, without the
// network: one operation is one token.
func BenchmarkRelay(b *testing.B) {
	for name, each := range map[string]int{"tokens together": 0, "each alone": 26} {
		b.Run(name, func(b *testing.B) {
			const tokens = 10_000
			raw := stream(tokens)
			b.ReportAllocs()
			for left := b.N; left > 0; left -= tokens {
				running := open(b, fixed{raw: raw, each: each})
				out := newWriter(&discard{header: http.Header{}}, time.Now())
				if err := new(Front).relay(context.Background(), out, running, 0); err != io.EOF {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkRelayNetwork is one token from an engine through a box to a caller,
// each alone, over loopback connections: the processor time of the engine's
// and the caller's ends is in it too.
func BenchmarkRelayNetwork(b *testing.B) {
	raw := stream(1)
	per := len(stream(1001)) - len(raw)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := http.NewResponseController(w)
		_, _ = w.Write(sse.AppendEvent(nil, sse.Start, mustJSON(wire.EngineStart{Attempt: attempt})))
		for i := range b.N {
			_, _ = w.Write(sse.AppendToken(nil, i, mustJSON(text.Token(attempt, i))))
			_ = out.Flush()
		}
		_, _ = w.Write(sse.AppendEvent(nil, sse.End, mustJSON(wire.EngineEnd{Attempt: attempt, Count: b.N, Why: wire.EngineEndWhyDone})))
	}))
	defer upstream.Close()
	engines := engine.New()
	defer engines.Close()
	box := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g, err := generation.New(r.Context(), engines, upstream.Listener.Addr().String(), wire.EngineJob{Attempt: attempt}, func() {})
		if err != nil {
			return
		}
		running := dispatch.NewRunning(g, &inflight.Generation{Attempt: attempt}, inflight.New(nil, outputlen.New(), nil, 0))
		out := newWriter(w, time.Now())
		_ = new(Front).relay(r.Context(), out, running, 0)
		_ = out.flush()
	}))
	defer box.Close()
	b.SetBytes(int64(per / 1000))
	b.ResetTimer()
	resp, err := http.Get(box.URL)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// TestAnswerAgain guards against a caller that is not told when a service wants it back.
func TestAnswerAgain(t *testing.T) {
	is := is.New(t)
	counts, err := metrics.New()
	is.NoErr(err)
	w := httptest.NewRecorder()
	New(Components{Metrics: counts}).answer(w, service.Answer{Status: http.StatusServiceUnavailable, Again: "7"})
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "7")
}
