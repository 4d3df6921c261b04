package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/dispatch"
	"petrelstep/generation"
	"petrelstep/metrics"
	"petrelstep/refusal"
	"petrelstep/sse"
	"petrelstep/ticket"
	"petrelstep/upstream/engine"
	"petrelstep/wire"
)

// Waiting beyond these bounds counts as stall; see docs/MEASURES.md.
const (
	maxFirstDelay = 440 * time.Millisecond // from the request to the first token
	maxGap        = 200 * time.Millisecond // between tokens
)

// maxWholeTries bounds the attempts to generate an answer that is delivered whole: if an
// engine is lost, the next attempt starts from the beginning.
const maxWholeTries = 3

func (f *Front) serveGeneration(w http.ResponseWriter, r *http.Request, c caller) (string, error) {
	raw, end, err := f.receive(w, r, c)
	if err != nil {
		return "", err
	}
	defer end()
	var body wire.GenerationRequest
	if err := f.generation.Decode(raw, &body); err != nil {
		return "", badRequest(err)
	}
	view := f.Resources.View()
	if len(c.terms.Models) > 0 && !slices.Contains(c.terms.Models, body.Model) {
		return "", refusal.New(refusal.NotAllowed, "the organisation may not use "+body.Model)
	}
	if model, ok := view.Models[body.Model]; ok {
		body.MaxTokens = min(body.MaxTokens, model.MaxTokens)
	}
	req := dispatch.Request{Organisation: c.name, Terms: c.terms, Body: body}
	if body.Deliver == wire.GenerationRequestDeliverWhole {
		return f.serveWhole(w, r, req)
	}
	return f.serveStream(w, r, req)
}

// seal returns the request id: a sealed ticket that any box can open to resume or
// cancel the generation.
func (f *Front) seal(organisation string, running *dispatch.Running, model string) string {
	return f.Tickets.Seal(ticket.Claims{
		Attempt: running.Attempt, Engine: running.Engine, Address: running.Address, Organisation: organisation, Model: model, Box: f.Box,
	})
}

// serveStream forwards tokens as they arrive.
func (f *Front) serveStream(w http.ResponseWriter, r *http.Request, req dispatch.Request) (string, error) {
	began := time.Now()
	running, err := f.Dispatcher.Start(r.Context(), req)
	if err != nil {
		return "", err
	}
	id := f.seal(req.Organisation, running, req.Body.Model)
	out := newWriter(w, began)
	out.start(id)
	err = f.relay(r.Context(), out, running, 0)
	f.finish(r.Context(), running, out, id, err)
	return id, nil
}

// relay forwards the tokens from an offset on until the generation ends.
func (f *Front) relay(ctx context.Context, out *writer, running *dispatch.Running, from int) error {
	if !running.Empty {
		if err := out.token(running.First, from); err != nil {
			return err
		}
	}
	for {
		if !running.Buffered() {
			running.Progress()
			if err := out.flush(); err != nil {
				return err
			}
		}
		token, err := running.Next(ctx)
		if err != nil {
			return err
		}
		if err := out.token(token, from); err != nil {
			return err
		}
	}
}

// finish writes the end event and settles the generation. If the caller has
// disconnected, the generation stays at its engine to be resumed.
func (f *Front) finish(ctx context.Context, running *dispatch.Running, out *writer, id string, err error) {
	log := f.Log.WithFields(logrus.Fields{"request": short(id), "engine": running.Engine, "attempt": running.Attempt, "tokens": running.Count()})
	if ctx.Err() != nil || errors.As(err, new(*writeError)) {
		running.Abandon()
		f.Metrics.Streamed(out.sent, out.first.Seconds(), out.longest.Seconds(), out.stall.Seconds())
		log.Info("caller_gone")
		return
	}
	end := f.endEvent(running, err)
	out.end(end)
	running.End(err != io.EOF)
	f.Metrics.Streamed(out.sent, out.first.Seconds(), out.longest.Seconds(), out.stall.Seconds())
	f.Metrics.Ended(refusal.Outcome(end.Ending))
	if end.Reason != "" {
		f.Metrics.Refused(refusal.Reason(end.Reason))
	}
	log.WithFields(logrus.Fields{"ending": end.Ending, "reason": end.Reason, "first_ms": out.first.Milliseconds()}).Info("generation_ended")
}

func (f *Front) endEvent(running *dispatch.Running, err error) wire.EndEvent {
	end := wire.EndEvent{Count: running.Count(), Generation: running.Attempt}
	switch {
	case err == io.EOF:
		end.Ending, end.Hash = wire.EndEventEndingDone, running.Hash()
	case errors.As(err, new(*generation.CancelledError)):
		end.Ending, end.Reason = wire.EndEventEndingFailed, string(refusal.GenerationCancel)
	default:
		end.Ending, end.Reason = wire.EndEventEndingFailed, string(refusal.GenerationLost)
		end.RetryAfterMs = int(defaultRetryAfter.Milliseconds())
	}
	return end
}

// serveWhole forwards nothing until the generation is complete, so that it can be
// started again if its engine is lost.
func (f *Front) serveWhole(w http.ResponseWriter, r *http.Request, req dispatch.Request) (string, error) {
	began := time.Now()
	var last error
	for n := range maxWholeTries {
		if n > 0 {
			if !f.Budget.Spend() {
				break
			}
			f.Metrics.Retried(metrics.RetryEngineLost)
		}
		running, err := f.Dispatcher.Start(r.Context(), req)
		if err != nil {
			if last != nil {
				return "", last
			}
			return "", err
		}
		id := f.seal(req.Organisation, running, req.Body.Model)
		buffered := &buffer{}
		err = f.collect(r.Context(), running, buffered)
		if err == io.EOF {
			out := newWriter(w, began)
			out.start(id)
			out.tokens(buffered)
			f.finish(r.Context(), running, out, id, err)
			return id, nil
		}
		running.End(true)
		if r.Context().Err() != nil || errors.As(err, new(*generation.CancelledError)) {
			f.cancelAbandoned(running)
			return id, refusal.New(refusal.GenerationCancel, "cancelled")
		}
		last = refusal.New(refusal.GenerationLost, "the engine was lost").WithRetryAfter(defaultRetryAfter)
	}
	return "", last
}

// cancelAbandoned cancels a generation that has no caller any more.
func (f *Front) cancelAbandoned(running *dispatch.Running) {
	ctx, cancel := context.WithTimeout(context.Background(), defaultRetryAfter)
	defer cancel()
	// If the engine is unreachable, there is nothing to cancel.
	_, _ = f.Engines.Cancel(ctx, running.Address, running.Attempt)
}

// collect buffers the tokens of a generation until it ends.
func (f *Front) collect(ctx context.Context, running *dispatch.Running, out *buffer) error {
	if !running.Empty {
		out.add(running.First)
	}
	for {
		token, err := running.Next(ctx)
		if err != nil {
			return err
		}
		out.add(token)
		running.Progress()
	}
}

// serveResume resumes a stream after the last token that the caller received. Any
// box may have started it.
func (f *Front) serveResume(w http.ResponseWriter, r *http.Request, c caller) (string, error) {
	id := mux.Vars(r)["id"]
	claims, err := f.claims(id, c)
	if err != nil {
		return id, err
	}
	from := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			return id, refusal.New(refusal.BadRequest, "the header is not an offset").WithPlaces([]string{"Last-Event-ID"})
		}
		from = n + 1
	}
	if !f.Flights.Resumed(claims.Attempt) && claims.Box != f.Box {
		f.NotifyResumed(claims.Box, claims.Attempt)
	}
	return id, f.resume(w, r, id, claims, from)
}

func (f *Front) resume(w http.ResponseWriter, r *http.Request, id string, claims ticket.Claims, from int) error {
	g, err := generation.Resume(r.Context(), f.Engines, claims.Address, claims.Attempt, func() { f.Metrics.Retried(metrics.RetryResume) })
	if err != nil {
		if engine.KindOf(err) == engine.AttemptUnknown {
			return refusal.New(refusal.GenerationLost, "the engine no longer has it").WithRetryAfter(defaultRetryAfter)
		}
		return refusal.New(refusal.UpstreamLost, "the engine does not answer").WithOutcome(refusal.Unknown).WithRetryAfter(defaultRetryAfter)
	}
	f.Metrics.Retried(metrics.RetryResume)
	running := f.Dispatcher.Resume(claims, g)
	out := newWriter(w, time.Now())
	out.start(id)
	err = f.relay(r.Context(), out, running, from)
	f.finish(r.Context(), running, out, id, err)
	return nil
}

// claims opens a request id of the caller's organisation.
func (f *Front) claims(id string, c caller) (ticket.Claims, error) {
	claims, err := f.Tickets.Open(id)
	if err != nil || claims.Organisation != c.name {
		// An id of another organisation is refused like an invalid one, so that the
		// response does not reveal whether it exists.
		return claims, refusal.New(refusal.UnknownRequest, "no such request of this organisation")
	}
	return claims, nil
}

func (f *Front) serveCancel(w http.ResponseWriter, r *http.Request, c caller) (string, error) {
	id := mux.Vars(r)["id"]
	claims, err := f.claims(id, c)
	if err != nil {
		return id, err
	}
	answer, err := f.Engines.Cancel(r.Context(), claims.Address, claims.Attempt)
	if err != nil {
		return id, refusal.New(refusal.UpstreamLost, "the engine does not answer").WithOutcome(refusal.Unknown).WithRetryAfter(defaultRetryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	return id, json.NewEncoder(w).Encode(answer)
}

// buffer holds the tokens of an answer that is delivered whole.
type buffer struct {
	data []byte
	ends []int
}

func (b *buffer) add(t generation.Token) {
	b.data = append(b.data, t.Data...)
	b.ends = append(b.ends, len(b.data))
}

// writeError is a failed write to the caller.
type writeError struct{ err error }

func (e *writeError) Error() string { return "caller: " + e.err.Error() }

func (e *writeError) Unwrap() error { return e.err }

// writer writes a caller's event stream and measures its delays.
type writer struct {
	out     http.ResponseWriter
	control *http.ResponseController
	buf     []byte
	began   time.Time
	last    time.Time     // of the last write
	first   time.Duration // until the first write
	longest time.Duration // longest gap between writes
	stall   time.Duration // sum of all waiting beyond the bounds
	sent    int           // tokens
}

func newWriter(w http.ResponseWriter, began time.Time) *writer {
	return &writer{out: w, control: http.NewResponseController(w), began: began}
}

func (w *writer) start(id string) {
	h := w.out.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Petrelstep-Request", id)
	w.buf = sse.AppendEvent(w.buf, sse.Start, mustJSON(wire.StartEvent{Request: id}))
}

// token appends a token unless it lies before the offset from, which means that the
// caller has it already. A large buffer is flushed.
func (w *writer) token(t generation.Token, from int) error {
	if t.Offset < from {
		return nil
	}
	w.buf = sse.AppendToken(w.buf, t.Offset, t.Data)
	w.sent++
	const flushAt = 32 << 10
	if len(w.buf) >= flushAt {
		return w.flush()
	}
	return nil
}

// tokens appends all tokens of a buffer.
func (w *writer) tokens(b *buffer) {
	start := 0
	for i, end := range b.ends {
		// If a write fails, so does that of the end event.
		_ = w.token(generation.Token{Offset: i, Data: b.data[start:end]}, 0)
		start = end
	}
}

// flush sends the appended events to the caller by a single write.
func (w *writer) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	w.measure(time.Now())
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	if err == nil {
		err = w.control.Flush()
	}
	if err != nil {
		return &writeError{err}
	}
	return nil
}

func (w *writer) measure(now time.Time) {
	if w.last.IsZero() {
		w.first = now.Sub(w.began)
		w.stall += max(w.first-maxFirstDelay, 0)
	} else {
		gap := now.Sub(w.last)
		w.longest = max(w.longest, gap)
		w.stall += max(gap-maxGap, 0)
	}
	w.last = now
}

func (w *writer) end(e wire.EndEvent) {
	w.buf = sse.AppendEvent(w.buf, sse.End, mustJSON(e))
	_ = w.flush() // the caller may have disconnected
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: v is always a wire type
	}
	return b
}
