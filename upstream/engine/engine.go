// Package engine is the client of model engines. It implements the protocol of the
// stand-in engine; users adapt it to the protocol of theirs.
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

	"petrelstep/answers"
	"petrelstep/sse"
	"petrelstep/wire"
)

// Kind classifies a failure by what is certain after it.
type Kind int

// The kinds of failure.
const (
	NotSent        Kind = iota // no byte left the box
	Rejected                   // the engine answered that it did not start the generation
	AttemptUnknown             // the engine does not know the attempt
	Indeterminate              // the engine may or may not have acted on the call
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

// StatusError is an answer with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// KindOf returns the kind of a failure; Indeterminate for any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Indeterminate
}

// Engine is a client for engines, which are named by address in each call. It is safe for
// concurrent use.
type Engine struct{ http *http.Client }

const (
	dialTimeout  = time.Second
	maxIdleConns = 256
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 8 << 20
)

// New returns a client with its own connection pool.
func New() *Engine {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Engine{http: &http.Client{Transport: answers.NewTransport(transport)}}
}

// Close closes idle connections.
func (e *Engine) Close() { e.http.CloseIdleConnections() }

// Stream reads the events of one generation.
type Stream struct {
	*sse.Reader
	body io.Closer
}

// NewStream returns a stream that reads events from a response body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{Reader: sse.New(body), body: body}
}

// Close stops reading; the generation continues at the engine.
func (s *Stream) Close() { _ = s.body.Close() }

// Generate starts a generation and returns its stream.
func (e *Engine) Generate(ctx context.Context, address string, job wire.EngineJob) (*Stream, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return nil, &Error{Kind: NotSent, Err: err}
	}
	return e.open(ctx, http.MethodPost, "http://"+address+"/generate", bytes.NewReader(raw))
}

// Resume returns the stream of a running generation from a token offset.
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
		return nil, &Error{Kind: transportErrorKind(err), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &Error{Kind: statusKind(resp.StatusCode), Err: &StatusError{Status: resp.StatusCode}}
	}
	return NewStream(resp.Body), nil
}

// Cancel cancels a generation and returns whether it had started.
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

// CacheEvents reads the prefix cache events after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, address string, after int) (wire.CacheEvents, error) {
	var c wire.CacheEvents
	err := e.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/cache?after=%d", address, after), nil, &c)
	return c, err
}

// Order sends an order, which declares what the engine serves.
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
		return &Error{Kind: transportErrorKind(err), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Error{Kind: statusKind(resp.StatusCode), Err: &StatusError{Status: resp.StatusCode}}
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		return &Error{Kind: Indeterminate, Err: err}
	}
	return nil
}

func transportErrorKind(err error) Kind {
	if answers.Unsent(err) {
		return NotSent
	}
	return Indeterminate
}

func statusKind(status int) Kind {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return Rejected
	case http.StatusNotFound:
		return AttemptUnknown
	}
	return Indeterminate
}
