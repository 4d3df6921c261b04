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

// stream returns an engine's stream of n tokens.
func stream(n int) []byte {
	b := sse.AppendEvent(nil, sse.Start, mustJSON(wire.EngineStart{Attempt: attempt}))
	for i := range n {
		b = sse.AppendToken(b, i, mustJSON(text.Token(attempt, i)))
	}
	return sse.AppendEvent(b, sse.End, mustJSON(wire.EngineEnd{Attempt: attempt, Count: n, Why: wire.EngineEndWhyDone}))
}

// fakeEngine is an engine that always sends the same stream.
type fakeEngine struct {
	raw       []byte
	chunkSize int // maximum bytes per read; 0 for no limit
}

func (f fakeEngine) Generate(context.Context, string, wire.EngineJob) (*engine.Stream, error) {
	return engine.NewStream(io.NopCloser(&chunkReader{raw: f.raw, chunkSize: f.chunkSize})), nil
}

func (f fakeEngine) Resume(ctx context.Context, _, _ string, _ int) (*engine.Stream, error) {
	return f.Generate(ctx, "", wire.EngineJob{})
}

// chunkReader reads raw in chunks of at most chunkSize bytes.
type chunkReader struct {
	raw       []byte
	chunkSize int
}

func (d *chunkReader) Read(p []byte) (int, error) {
	if len(d.raw) == 0 {
		return 0, io.EOF
	}
	n := len(p)
	if d.chunkSize > 0 {
		n = min(n, d.chunkSize)
	}
	n = copy(p[:n], d.raw)
	d.raw = d.raw[n:]
	return n, nil
}

// discard is a caller that drops everything it receives.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

func open(tb testing.TB, f fakeEngine) *dispatch.Running {
	tb.Helper()
	g, err := generation.New(context.Background(), f, "", wire.EngineJob{Attempt: attempt}, func() {})
	if err != nil {
		tb.Fatal(err)
	}
	flights := inflight.New(nil, outputlen.New(), nil, 0)
	return dispatch.NewRunning(g, &inflight.Generation{Attempt: attempt}, flights)
}

// TestRelay checks that a caller receives exactly the engine's tokens from an offset
// on, however they are split into reads.
func TestRelay(t *testing.T) {
	tests := map[string]struct{ from, chunkSize int }{
		"all at once":      {},
		"a byte at a time": {chunkSize: 1},
		"from an offset":   {from: 7, chunkSize: 100},
		"from the end":     {from: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const tokens = 20
			running := open(t, fakeEngine{raw: stream(tokens), chunkSize: tt.chunkSize})
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

// BenchmarkRelay measures a box's work for each token of a stream, without the
// network. One operation is one token.
func BenchmarkRelay(b *testing.B) {
	for name, chunkSize := range map[string]int{"many tokens per read": 0, "one token per read": 26} {
		b.Run(name, func(b *testing.B) {
			const tokens = 10_000
			raw := stream(tokens)
			b.ReportAllocs()
			for left := b.N; left > 0; left -= tokens {
				running := open(b, fakeEngine{raw: raw, chunkSize: chunkSize})
				out := newWriter(&discard{header: http.Header{}}, time.Now())
				if err := new(Front).relay(context.Background(), out, running, 0); err != io.EOF {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkRelayNetwork measures single tokens from an engine through a box to a
// caller over loopback connections. It includes the processor time of the engine and
// the caller.
func BenchmarkRelayNetwork(b *testing.B) {
	raw := stream(1)
	size := len(stream(1001)) - len(raw) // of 1000 tokens
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
	b.SetBytes(int64(size / 1000))
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

// TestAnswerRetryAfter guards against an answer that loses the service's Retry-After.
func TestAnswerRetryAfter(t *testing.T) {
	is := is.New(t)
	counts, err := metrics.New()
	is.NoErr(err)
	w := httptest.NewRecorder()
	New(Components{Metrics: counts}).answer(w, service.Answer{Status: http.StatusServiceUnavailable, RetryAfter: "7"})
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "7")
}
