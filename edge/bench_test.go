package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"petrelstep/exchange"
	"petrelstep/platform/upstream"
	"petrelstep/standin/worker"
)

// timeToFirstEvent opens a stream and returns the time to its first event.
func timeToFirstEvent(b *testing.B, address, id string) time.Duration {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/stream/x", nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Api-Key", "key")
	began := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		b.Fatal(err)
	}
	took := time.Since(began)
	_, _ = io.Copy(io.Discard, resp.Body) // drain the stream
	return took
}

// BenchmarkFirstEvent measures the time to the first event directly from the stand-in
// worker and through a box.
func BenchmarkFirstEvent(b *testing.B) {
	s := newSite(b, 1)
	w := worker.New("e1", 2, 0)
	s.serve("e1", "llm", w)
	waitFor(b, "a box is ready", s.boxes[0].isReady)
	direct := strings.TrimPrefix(s.servers["e1"].URL, "http://")
	for name, address := range map[string]string{"direct": direct, "box": s.boxes[0].callers} {
		b.Run(name, func(b *testing.B) {
			var sum time.Duration
			for i := range b.N {
				sum += timeToFirstEvent(b, address, fmt.Sprint("r", i))
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(b.N), "us/first")
		})
	}
}

// BenchmarkEvent measures a box's work per event: parsing it from the worker's answer.
func BenchmarkEvent(b *testing.B) {
	text := strings.Repeat("id: 7\ndata: "+strings.Repeat("x", 270)+"\n\n", 1000)
	var body exchange.Body
	b.ReportAllocs()
	for i := range b.N {
		if i%1000 == 0 {
			body = upstream.NewBody(io.NopCloser(strings.NewReader(text)))
		}
		if _, err := body.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreams measures the memory per open stream, with both ends of the
// connections in this process.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			s := newSite(b, 1)
			s.slots = streams
			s.serve("e1", "llm", worker.New("e1", 1000, time.Second))
			waitFor(b, "a box is ready", s.boxes[0].isReady)
			before := heapSize()
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			for i := range streams {
				go holdStream(ctx, s.boxes[0].callers, fmt.Sprint("r", i))
			}
			waitFor(b, "all run", func() bool { return len(s.workers["e1"].Runs()) == streams })
			for range b.N {
				b.ReportMetric(float64(heapSize()-before)/float64(streams)/1024, "KB/stream")
			}
		})
	}
}

// holdStream retries until a stream is served and keeps it open until ctx ends.
func holdStream(ctx context.Context, address, id string) {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/stream/x", nil)
		if err != nil {
			return
		}
		req.Host = "a.example"
		req.Header.Set("Request-Id", id)
		req.Header.Set("Api-Key", "key")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body) // ends with ctx, or at once if rejected
		resp.Body.Close()
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
