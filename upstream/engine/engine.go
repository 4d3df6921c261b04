// Package engine is the client of model engines. The concrete protocol is the
// users' to name; this adapter speaks the stand-in's.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"petrelstep/sse"
	"petrelstep/wire"
)

// Kind tells what is certain after a failure.
type Kind int

// The kinds of failure.
const (
	NotSent        Kind = iota // no byte left the box
	Rejected                   // the engine answered that it started nothing
	AttemptUnknown             // the engine does not hold the attempt
	Indeterminate              // nothing is certain
)

// Error is a failed call to an engine.
type Error struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return "engine: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// StatusError is an answer that is not the one asked for.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// KindOf returns the kind of a failure; Lost for any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Indeterminate
}

// Engine calls engines by their addresses. It is safe for use by several
// goroutines.
type Engine struct{ http *http.Client }

const (
	dialTime = time.Second
	idleMost = 256
	// answerMost bounds an answer that is no stream, in bytes.
	answerMost = 8 << 20
)

// New returns a client.
func New() *Engine {
	dialer := &net.Dialer{Timeout: dialTime}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleMost,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Engine{http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (e *Engine) Close() { e.http.CloseIdleConnections() }

// Stream is the body of one generation's events.
type Stream struct {
	*sse.Reader
	body io.Closer
}

// NewStream returns the stream of a body that an engine sends.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{Reader: sse.New(body), body: body}
}

// Close ends the reading; the engine keeps the generation.
func (s *Stream) Close() { _ = s.body.Close() }

// Generate starts a generation and returns its stream.
func (e *Engine) Generate(ctx context.Context, address string, job wire.EngineJob) (*Stream, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return nil, &Error{Kind: NotSent, Err: err}
	}
	return e.open(ctx, http.MethodPost, "http://"+address+"/generate", bytes.NewReader(raw))
}

// Resume takes a generation up from an offset.
func (e *Engine) Resume(ctx context.Context, address, attempt string, from int) (*Stream, error) {
	return e.open(ctx, http.MethodGet, fmt.Sprintf("http://%s/generations/%s?from=%d", address, attempt, from), nil)
}

func (e *Engine) open(ctx context.Context, method, target string, body io.Reader) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, &Error{Kind: NotSent, Err: err}
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, &Error{Kind: kindOfTransport(err), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &Error{Kind: kindOfStatus(resp.StatusCode), Err: &StatusError{Status: resp.StatusCode}}
	}
	return NewStream(resp.Body), nil
}

// Cancel ends a generation and tells whether it ever started.
func (e *Engine) Cancel(ctx context.Context, address, attempt string) (wire.CancelAnswer, error) {
	var a wire.CancelAnswer
	err := e.call(ctx, http.MethodPost, "http://"+address+"/generations/"+attempt+"/cancel", nil, &a)
	return a, err
}

// Load reads the engine's load report.
func (e *Engine) Load(ctx context.Context, address string) (wire.EngineLoad, error) {
	var l wire.EngineLoad
	err := e.call(ctx, http.MethodGet, "http://"+address+"/load", nil, &l)
	return l, err
}

// CacheEvents reads the changes of the prefix cache after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, address string, after int) (wire.CacheEvents, error) {
	var c wire.CacheEvents
	err := e.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/cache?after=%d", address, after), nil, &c)
	return c, err
}

// Order sends an order.
func (e *Engine) Order(ctx context.Context, address string, o wire.EngineOrder) (wire.OrderAnswer, error) {
	var a wire.OrderAnswer
	err := e.call(ctx, http.MethodPost, "http://"+address+"/orders", o, &a)
	return a, err
}

func (e *Engine) call(ctx context.Context, method, target string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return &Error{Kind: NotSent, Err: err}
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return &Error{Kind: NotSent, Err: err}
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return &Error{Kind: kindOfTransport(err), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Error{Kind: kindOfStatus(resp.StatusCode), Err: &StatusError{Status: resp.StatusCode}}
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		return &Error{Kind: Indeterminate, Err: err}
	}
	return nil
}

func kindOfTransport(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotSent
	}
	return Indeterminate
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return Rejected
	case http.StatusNotFound:
		return AttemptUnknown
	}
	return Indeterminate
}
