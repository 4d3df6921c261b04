package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"petrelstep/sse"
	"petrelstep/standin/text"
	"petrelstep/wire"
)

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/generate", e.serveGenerate).Methods(http.MethodPost)
	r.HandleFunc("/generations/{attempt}", e.serveResume).Methods(http.MethodGet)
	r.HandleFunc("/generations/{attempt}/cancel", e.serveCancel).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/cache", e.serveCache).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/faults", e.serveFault).Methods(http.MethodPost)
	r.HandleFunc("/history", e.serveHistory).Methods(http.MethodGet)
	return e.requireAlive(r)
}

// requireAlive delays calls while the engine is frozen and aborts them while it is dead,
// except those for faults and the history.
func (e *Engine) requireAlive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" || r.URL.Path == "/history" {
			next.ServeHTTP(w, r)
			return
		}
		if !e.awaitThaw(r.Context()) {
			return
		}
		e.mu.Lock()
		dead := e.dead
		e.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var job wire.EngineJob
	if err := json.NewDecoder(r.Body).Decode(&job); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, ok := e.submit(job)
	if !ok {
		// 503 means that nothing was started.
		http.Error(w, "not taken", http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, job.Attempt, g, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from: not an offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g, ok := e.generations[attempt]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	e.stream(w, r, attempt, g, from)
}

// stream sends a generation's tokens from an offset on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, attempt string, g *generation, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	buf := sse.AppendEvent(nil, sse.Start, mustJSON(e.startOf(attempt, g)))
	for {
		e.mu.Lock()
		count, why, published, dead := g.count, g.why, g.published, e.dead
		e.mu.Unlock()
		if dead || why == wire.EngineEndWhyLost {
			panic(http.ErrAbortHandler)
		}
		for ; from < count; from++ {
			buf = sse.AppendToken(buf, from, mustJSON(text.Token(attempt, from)))
		}
		if why != "" {
			buf = sse.AppendEvent(buf, sse.End, mustJSON(wire.EngineEnd{Attempt: attempt, Count: count, Why: why}))
		}
		if _, err := w.Write(buf); err != nil || out.Flush() != nil || why != "" {
			return
		}
		buf = buf[:0]
		select {
		case <-r.Context().Done():
			return
		case <-published:
		}
		if !e.awaitThaw(r.Context()) {
			return
		}
	}
}

func (e *Engine) startOf(attempt string, g *generation) wire.EngineStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	start := wire.EngineStart{Attempt: attempt, PromptTokens: g.prompt}
	if g.run != nil {
		start.CachedTokens = g.run.Cached
	}
	return start
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	answer(w, e.cancel(mux.Vars(r)["attempt"]))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.snapshot()
	if len(e.reports) > 0 {
		l = e.reports[0]
	}
	e.mu.Unlock()
	answer(w, l)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := wire.CacheEvents{Incarnation: e.load.Incarnation, Events: []wire.CacheEvent{}}
	for _, c := range e.core.Cache().Since(after) {
		if c.Seq%7 == 0 {
			continue // simulates lost events
		}
		events.Events = append(events.Events, wire.CacheEvent{
			Seq: c.Seq, Stored: c.Stored, Blocks: []string{strconv.FormatUint(c.Block, 16)},
		})
	}
	answer(w, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, e.order(o))
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f wire.Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Fault(f)
	answer(w, wire.Nothing{Ok: true})
}

func (e *Engine) serveHistory(w http.ResponseWriter, _ *http.Request) { answer(w, e.History()) }

// takeWeights waits until the platform's weight store permits the read; it returns false if
// ctx ended first.
func takeWeights(ctx context.Context, platform, model string) bool {
	body := mustJSON(wire.WeightsTake{Model: model})
	for {
		wait := time.Second
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+platform+"/weights/take", bytes.NewReader(body))
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if errors.Is(err, context.Canceled) {
			return false
		}
		if err == nil {
			var a wire.WeightsAnswer
			err = json.NewDecoder(resp.Body).Decode(&a)
			resp.Body.Close()
			if err == nil && a.Granted {
				return true
			}
			wait = max(time.Duration(a.RetryAfterMs)*time.Millisecond, 50*time.Millisecond)
		}
		if !sleep(ctx, wait) {
			return false
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(v))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // v is always a type of this program
	}
	return b
}
