// Package caller is the stand-in for a caller of the users' platform: it sends single
// requests by the published protocol over persistent connections.
package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a caller's request.
type Request struct {
	ID     string
	Host   string
	Target string
	Body   string // empty for a GET request
	Key    string
	Wait   time.Duration // sent as the deadline
	Tokens string        // prompt tokens and maximum response tokens: "900,240"
	Pause  time.Duration // before the body is read

	Resumes string // id of the request whose stream it resumes; empty for none
	After   int    // last event of that stream
}

// Answer is the response to a request. Its status is 0 if there was none.
type Answer struct {
	Status     int
	Sealed     bool // has a worker's seal
	Body       string
	Complete   bool          // the body ended normally
	RetryAfter time.Duration // 0 without a Retry-After header
}

// Caller sends requests over connections that it keeps open. It is safe for use by several
// goroutines.
type Caller struct{ transport *http.Transport }

// New returns a caller without connections.
func New() *Caller { return &Caller{&http.Transport{DisableCompression: true}} }

// Close drops idle connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Send sends a request to an address, without retries, and reads the whole response.
func (c *Caller) Send(ctx context.Context, address string, r Request) Answer {
	method := http.MethodGet
	if r.Body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+r.Target, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}
	}
	req.Host = r.Host
	req.GetBody = nil // the transport must not retry
	for name, value := range map[string]string{
		"Request-Id": r.ID, "Api-Key": r.Key, "Deadline-Ms": strconv.FormatInt(r.Wait.Milliseconds(), 10), "Token-Count": r.Tokens,
	} {
		req.Header.Set(name, value)
	}
	if r.Resumes != "" {
		req.Header.Set("Resumes", r.Resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(r.After))
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	time.Sleep(r.Pause)
	body, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Sealed: resp.Header.Get("Response-Seal") != "", Body: string(body), Complete: err == nil}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}
