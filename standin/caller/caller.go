// Package caller is the stand-in for a caller of the users' platform: it sends
// single requests by the published protocol, over connections that it keeps.
package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is what a caller asks.
type Request struct {
	ID     string
	Host   string
	Target string
	Body   string // none makes it a read
	Key    string
	Wait   time.Duration
	Tokens string        // of the prompt and, at most, of the answer: "900,240"
	Pause  time.Duration // before the body is read
}

// Answer is what a caller is told. Without any, its status is 0.
type Answer struct {
	Status     int
	Sealed     bool // by the worker that made it
	Body       string
	Complete   bool          // it ended as a whole answer does
	RetryAfter time.Duration // 0 where it names none
}

// Caller keeps its connections; it is safe for use by several goroutines.
type Caller struct{ transport *http.Transport }

// New returns a caller without connections.
func New() *Caller { return &Caller{&http.Transport{DisableCompression: true}} }

// Close drops idle connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Send sends a request to an address, once, and reads its answer to the end.
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
	req.GetBody = nil // the transport repeats nothing by itself
	for name, value := range map[string]string{
		"Request-Id": r.ID, "Api-Key": r.Key, "Deadline-Ms": strconv.FormatInt(r.Wait.Milliseconds(), 10), "Token-Count": r.Tokens,
	} {
		req.Header.Set(name, value)
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
