// Package service is the client of plain services.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"petrelstep/answers"
)

// Call is one call to a service. Values are immutable.
type Call struct {
	Method  string
	Address string // IP:port
	Path    string // with the query string
	Type    string // content type of the body
	Body    []byte
	Attempt string // token of the only attempt that may run the call
}

// Answer is the complete answer of a service.
type Answer struct {
	Status     int
	Type       string
	RetryAfter string // value of the Retry-After header; empty if absent
	Body       []byte
}

// Error reports a call that got no answer.
type Error struct {
	NotSent bool // no byte left the box
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return "service: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether an error means that no byte left the box.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent
}

// Service is a client for plain services. It is safe for concurrent use.
type Service struct{ http *http.Client }

const (
	dialTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
)

// New returns a client whose calls last no longer than timeout. It keeps no idle
// connections, as the HTTP transport may repeat a call on a connection that was closed
// meanwhile, which a call that must run at most once does not allow.
func New(timeout time.Duration) *Service {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Service{http: &http.Client{
		Timeout:   timeout,
		Transport: answers.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
	}}
}

// Do sends a call once.
func (s *Service) Do(ctx context.Context, c Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{}, &Error{NotSent: true, Err: err}
	}
	if c.Type != "" {
		req.Header.Set("Content-Type", c.Type)
	}
	req.Header.Set("Petrelstep-Attempt", c.Attempt)
	resp, err := s.http.Do(req)
	if err != nil {
		return Answer{}, &Error{NotSent: answers.Unsent(err), Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, &Error{Err: err}
	}
	return Answer{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), RetryAfter: resp.Header.Get("Retry-After"), Body: body}, nil
}
