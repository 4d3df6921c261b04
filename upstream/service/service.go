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
)

// Call is one call to carry out. Values are immutable.
type Call struct {
	Method  string
	Address string // IP:port
	Path    string // with the query
	Type    string // of the body
	Body    []byte
	Attempt string // token of the one try that may run it
}

// Answer is a service's whole answer.
type Answer struct {
	Status     int
	Type       string
	RetryAfter string // when to come back, as its head says; empty where it does not
	Body       []byte
}

// Error is a call without an answer.
type Error struct {
	NotSent bool // certain that no byte left the box
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return "service: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent tells whether an error means that nothing left the box.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent
}

// Service calls plain services. It is safe for use by several goroutines.
type Service struct{ http *http.Client }

const (
	dialTime = time.Second
	// answerMost bounds an answer, in bytes.
	answerMost = 16 << 20
)

// New returns a client whose calls last no longer than timeout. Idle
// connections are not kept: the transport repeats calls on a connection that
// it finds closed, and a call that must not be repeated may not run that risk.
func New(timeout time.Duration) *Service {
	dialer := &net.Dialer{Timeout: dialTime}
	return &Service{http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// Do carries out a call once.
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
		var op *net.OpError
		return Answer{}, &Error{NotSent: errors.As(err, &op) && op.Op == "dial", Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err != nil {
		return Answer{}, &Error{Err: err}
	}
	return Answer{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), RetryAfter: resp.Header.Get("Retry-After"), Body: body}, nil
}
