package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"petrelstep/sse"
	"petrelstep/standin/cluster"
	"petrelstep/standin/engine"
	"petrelstep/wire"
)

// BenchmarkFirstToken measures the time to the first token of a short request, directly
// from a stand-in engine and through a box.
func BenchmarkFirstToken(b *testing.B) {
	options := []engine.Options{{Name: "e0", Model: "m", Speed: 1000}}
	s, err := cluster.New(cluster.Options{Boxes: 1, Engines: options})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	direct := engine.New(options[0])
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go direct.Run(ctx)
	server := httptest.NewServer(direct.Handler())
	defer server.Close()
	b.Run("direct", func(b *testing.B) {
		n := 0
		for b.Loop() {
			n++
			job := wire.EngineJob{Attempt: "x" + strconv.Itoa(n), Model: "m", Prompt: "is it so?", Class: "check", MaxTokens: 4}
			readFirst(b, server.URL+"/generate", job)
		}
	})
	b.Run("box", func(b *testing.B) {
		for b.Loop() {
			req := wire.GenerationRequest{Model: "m", Prompt: "is it so?", Class: "check", MaxTokens: 4, Deliver: "stream", DeadlineMs: 10000}
			readFirst(b, "http://"+s.Boxes[0].Settings.Listen.Callers+"/v1/generations", req)
		}
	})
}

// readFirst posts a request, times its first token and reads the rest untimed.
func readFirst(b *testing.B, url string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+cluster.CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	events := sse.New(resp.Body)
	for {
		e, err := events.Next()
		if err != nil {
			b.Fatal(err)
		}
		if e.ID == 0 {
			break
		}
	}
	b.StopTimer()
	_, _ = io.Copy(io.Discard, resp.Body)
	b.StartTimer()
}
