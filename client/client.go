// Package client speaks to boxes as callers and operators do. The command
// line and the load tool are built on it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"petrelstep/sse"
	"petrelstep/wire"
)

// Outcome is what became of one request, as the caller saw it.
type Outcome struct {
	Ending     string
	Reason     string
	RetryAfter time.Duration
	Tokens     int
	Whole      bool // count and hash are right
	Wrong      string
	Generation string
	Request    string
	First      time.Duration
	Gaps       []time.Duration
	Resumed    int // times that the stream was taken up again
}

// Error is an answer of an interface that is not the one asked for.
type Error struct{ Body wire.RefusalBody }

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Body.Ending) + "/" + e.Body.Reason
	if e.Body.Detail != "" {
		text += ": " + e.Body.Detail
	}
	for _, p := range e.Body.Places {
		text += "\n  " + p
	}
	return text
}

// Client calls any of several boxes; it goes on to the next when one cannot
// be reached.
type Client struct {
	http  *http.Client
	boxes []string // base URLs
	key   string
}

const (
	// takeUps bounds how often one stream is taken up again.
	takeUps    = 20
	takeUpWait = 100 * time.Millisecond
)

// New returns a client of boxes by their base URLs, with an API key.
func New(boxes []string, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{http: &http.Client{Transport: transport}, boxes: boxes, key: key}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate asks for a generation at the box of a number and reads it to its
// end, taking it up at other boxes when its own is lost. token is called with
// the text of each.
func (c *Client) Generate(ctx context.Context, box int, req wire.GenerationRequest, token func(text string)) Outcome {
	raw, err := json.Marshal(req)
	if err != nil {
		return Outcome{Ending: "not_run", Reason: err.Error()}
	}
	r := &reading{began: time.Now(), hash: xxhash.New(), token: token}
	resp, err := c.do(ctx, http.MethodPost, c.box(box)+"/v1/generations", raw, nil)
	for n := 1; n < len(c.boxes) && neverSent(err); n++ {
		box++
		resp, err = c.do(ctx, http.MethodPost, c.box(box)+"/v1/generations", raw, nil)
	}
	if err != nil {
		// Nothing is known of a POST without an answer.
		return Outcome{Ending: "unknown", Reason: "no_answer"}
	}
	r.read(resp)
	for n := 0; !r.over && r.out.Request != "" && n < takeUps && ctx.Err() == nil; n++ {
		time.Sleep(takeUpWait)
		box++
		c.takeUp(ctx, box, r)
	}
	if !r.over {
		r.out.Ending, r.out.Reason = "unknown", "cut_off"
	}
	return r.out
}

// neverSent tells whether a call failed before any byte could go out.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) takeUp(ctx context.Context, box int, r *reading) {
	header := http.Header{}
	if r.out.Tokens > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(r.out.Tokens-1))
	}
	resp, err := c.do(ctx, http.MethodGet, c.box(box)+"/v1/generations/"+r.out.Request, nil, header)
	if err != nil {
		return
	}
	r.out.Resumed++
	r.read(resp)
}

func (c *Client) box(n int) string { return c.boxes[n%len(c.boxes)] }

// Call carries out one call of an interface and decodes its answer into out.
// The error is an *Error where a box answered.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var raw []byte
	if in != nil {
		var err error
		if raw, err = json.Marshal(in); err != nil {
			return err
		}
	}
	var last error
	for n := range c.boxes {
		resp, err := c.do(ctx, method, c.box(n)+path, raw, nil)
		if err != nil {
			last = err
			continue
		}
		return decode(resp, out)
	}
	return last
}

// Service carries out a call to a plain service at the box of a number.
func (c *Client) Service(ctx context.Context, box int, method, path, key string, body []byte) (int, []byte, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	resp, err := c.do(ctx, method, c.box(box)+"/v1/services/"+path, body, header)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if resp.Header.Get("Petrelstep-Ending") == "" && err == nil {
		return resp.StatusCode, raw, refusalOf(raw)
	}
	return resp.StatusCode, raw, err
}

// Open starts a call whose answer is a stream of events.
func (c *Client) Open(ctx context.Context, path string) (*sse.Reader, func(), error) {
	resp, err := c.do(ctx, http.MethodGet, c.box(0)+path, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, decode(resp, nil)
	}
	return sse.New(resp.Body), func() { _ = resp.Body.Close() }, nil
}

func (c *Client) do(ctx context.Context, method, target string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	return c.http.Do(req)
}

func decode(resp *http.Response, out any) error {
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalOf(raw)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

func refusalOf(raw []byte) error {
	var body wire.RefusalBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return err
	}
	return &Error{Body: body}
}

// reading is one caller's way through a stream, over all boxes that carry it.
type reading struct {
	out   Outcome
	began time.Time
	last  time.Time
	hash  *xxhash.Digest
	token func(text string)
	over  bool
}

func (r *reading) read(resp *http.Response) {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.refused(resp)
		return
	}
	events := sse.New(resp.Body)
	for {
		e, err := events.Next()
		if err != nil {
			return // cut off; it may be taken up
		}
		switch e.Name {
		case sse.Start:
			var s wire.StartEvent
			if json.Unmarshal(e.Data, &s) == nil {
				r.out.Request = s.Request
			}
		case sse.End:
			r.end(e.Data)
			return
		default:
			r.take(e)
		}
	}
}

// refused ends a request by its refusal. While a stream is taken up, a box
// that cannot serve now is no end.
func (r *reading) refused(resp *http.Response) {
	raw, _ := io.ReadAll(resp.Body)
	var refused *Error
	if !errors.As(refusalOf(raw), &refused) {
		r.out.Ending, r.out.Reason, r.over = "unknown", "status_"+strconv.Itoa(resp.StatusCode), true
		return
	}
	temporary := resp.StatusCode == http.StatusServiceUnavailable || refused.Body.Reason == "upstream_lost"
	if r.out.Request != "" && temporary {
		return
	}
	r.out.Ending, r.out.Reason, r.over = string(refused.Body.Ending), refused.Body.Reason, true
	r.out.RetryAfter = time.Duration(refused.Body.RetryAfterMs) * time.Millisecond
}

func (r *reading) take(e sse.Event) {
	now := time.Now()
	if e.ID != r.out.Tokens {
		r.out.Wrong = "token " + strconv.Itoa(e.ID) + " where " + strconv.Itoa(r.out.Tokens) + " was due"
	}
	if r.out.Tokens == 0 {
		r.out.First = now.Sub(r.began)
	} else {
		r.out.Gaps = append(r.out.Gaps, now.Sub(r.last))
	}
	r.last = now
	r.out.Tokens++
	var text string
	if err := json.Unmarshal(e.Data, &text); err != nil {
		r.out.Wrong = "token is no string"
	}
	_, _ = r.hash.WriteString(text)
	if r.token != nil {
		r.token(text)
	}
}

func (r *reading) end(data []byte) {
	var e wire.EndEvent
	if err := json.Unmarshal(data, &e); err != nil {
		r.out.Wrong = err.Error()
		return
	}
	r.over = true
	r.out.Ending, r.out.Reason, r.out.Generation = string(e.Ending), e.Reason, e.Generation
	r.out.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	r.out.Whole = e.Ending == wire.EndEventEndingDone && e.Count == r.out.Tokens && r.out.Wrong == "" &&
		e.Hash == strconv.FormatUint(r.hash.Sum64(), 16)
}
