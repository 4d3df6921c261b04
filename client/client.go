// Package client is an HTTP client for the interfaces that boxes offer to callers and
// operators. The command line is built on it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"petrelstep/answers"
	"petrelstep/sse"
	"petrelstep/wire"
)

// Outcome is the result of one generation as the caller saw it.
type Outcome struct {
	Ending     string
	Reason     string
	RetryAfter time.Duration
	Tokens     int
	Whole      bool   // the token count and the hash match
	Wrong      string // what was invalid in the stream, if anything
	Generation string
	Request    string
	First      time.Duration
	Gaps       []time.Duration
	Resumed    int // number of times that the stream was resumed
}

// Error is a refusal from a box.
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

// Client calls any of several boxes and tries the next one if a box is unreachable.
type Client struct {
	http  *http.Client
	boxes []string // base URLs
	key   string
}

const (
	// maxResumes bounds the attempts to resume one stream.
	maxResumes = 20
	resumeWait = 100 * time.Millisecond
)

// New returns a client for the boxes with the given base URLs and an API key.
func New(boxes []string, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{http: &http.Client{Transport: answers.NewTransport(transport)}, boxes: boxes, key: key}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate requests a generation from the box with the given index and reads it to its
// end. If the connection is lost, it resumes the stream at other boxes. It calls token
// with the text of each token.
func (c *Client) Generate(ctx context.Context, box int, req wire.GenerationRequest, token func(text string)) Outcome {
	raw, err := json.Marshal(req)
	if err != nil {
		return Outcome{Ending: "not_run", Reason: err.Error()}
	}
	r := &streamState{start: time.Now(), hash: xxhash.New(), token: token}
	resp, err := c.do(ctx, http.MethodPost, c.boxURL(box)+"/v1/generations", raw, nil)
	for n := 1; n < len(c.boxes) && answers.Unsent(err); n++ {
		box++
		resp, err = c.do(ctx, http.MethodPost, c.boxURL(box)+"/v1/generations", raw, nil)
	}
	if err != nil {
		// A POST without an answer may or may not have been executed.
		return Outcome{Ending: "unknown", Reason: "no_answer"}
	}
	r.read(resp)
	for n := 0; !r.finished && r.out.Request != "" && n < maxResumes && ctx.Err() == nil; n++ {
		time.Sleep(resumeWait)
		box++
		c.resume(ctx, box, r)
	}
	if !r.finished {
		r.out.Ending, r.out.Reason = "unknown", "cut_off"
	}
	return r.out
}

// resume continues a stream after the last received token.
func (c *Client) resume(ctx context.Context, box int, r *streamState) {
	header := http.Header{}
	if r.out.Tokens > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(r.out.Tokens-1))
	}
	resp, err := c.do(ctx, http.MethodGet, c.boxURL(box)+"/v1/generations/"+r.out.Request, nil, header)
	if err != nil {
		return
	}
	r.out.Resumed++
	r.read(resp)
}

func (c *Client) boxURL(n int) string { return c.boxes[n%len(c.boxes)] }

// Call sends one request and decodes the answer into out. The error is an *Error if a box
// answered with a refusal.
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
		resp, err := c.do(ctx, method, c.boxURL(n)+path, raw, nil)
		if err != nil {
			last = err
			continue
		}
		return decode(resp, out)
	}
	return last
}

// Service calls a plain service through the box with the given index.
func (c *Client) Service(ctx context.Context, box int, method, path, key string, body []byte) (int, []byte, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	resp, err := c.do(ctx, method, c.boxURL(box)+"/v1/services/"+path, body, header)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if resp.Header.Get("Petrelstep-Ending") == "" && err == nil {
		return resp.StatusCode, raw, decodeRefusal(raw)
	}
	return resp.StatusCode, raw, err
}

// Open sends a request whose answer is a stream of events. The caller calls the returned
// function to close the stream.
func (c *Client) Open(ctx context.Context, path string) (*sse.Reader, func(), error) {
	resp, err := c.do(ctx, http.MethodGet, c.boxURL(0)+path, nil, nil)
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
		return decodeRefusal(raw)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

func decodeRefusal(raw []byte) error {
	var body wire.RefusalBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return err
	}
	return &Error{Body: body}
}

// streamState is the state of a stream across all boxes that deliver it.
type streamState struct {
	out      Outcome
	start    time.Time
	last     time.Time
	hash     *xxhash.Digest
	token    func(text string)
	finished bool
}

func (r *streamState) read(resp *http.Response) {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.handleRefusal(resp)
		return
	}
	events := sse.New(resp.Body)
	for {
		e, err := events.Next()
		if err != nil {
			return // disconnected; the stream may be resumed
		}
		switch e.Name {
		case sse.Start:
			var s wire.StartEvent
			if json.Unmarshal(e.Data, &s) == nil {
				r.out.Request = s.Request
			}
		case sse.End:
			r.handleEnd(e.Data)
			return
		default:
			r.addToken(e)
		}
	}
}

// handleRefusal ends a request with the refusal's outcome. While a stream is being resumed,
// a temporary refusal does not end it.
func (r *streamState) handleRefusal(resp *http.Response) {
	raw, _ := io.ReadAll(resp.Body)
	var refused *Error
	if !errors.As(decodeRefusal(raw), &refused) {
		r.out.Ending, r.out.Reason, r.finished = "unknown", "status_"+strconv.Itoa(resp.StatusCode), true
		return
	}
	temporary := resp.StatusCode == http.StatusServiceUnavailable || refused.Body.Reason == "upstream_lost"
	if r.out.Request != "" && temporary {
		return
	}
	r.out.Ending, r.out.Reason, r.finished = string(refused.Body.Ending), refused.Body.Reason, true
	r.out.RetryAfter = time.Duration(refused.Body.RetryAfterMs) * time.Millisecond
}

// addToken records a token and checks that it is the next one.
func (r *streamState) addToken(e sse.Event) {
	now := time.Now()
	if e.ID != r.out.Tokens {
		r.out.Wrong = "token " + strconv.Itoa(e.ID) + " where " + strconv.Itoa(r.out.Tokens) + " was expected"
	}
	if r.out.Tokens == 0 {
		r.out.First = now.Sub(r.start)
	} else {
		r.out.Gaps = append(r.out.Gaps, now.Sub(r.last))
	}
	r.last = now
	r.out.Tokens++
	var text string
	if err := json.Unmarshal(e.Data, &text); err != nil {
		r.out.Wrong = "token is not a string"
	}
	_, _ = r.hash.WriteString(text)
	if r.token != nil {
		r.token(text)
	}
}

// handleEnd takes the outcome from the end event and checks the token count and the hash.
func (r *streamState) handleEnd(data []byte) {
	var e wire.EndEvent
	if err := json.Unmarshal(data, &e); err != nil {
		r.out.Wrong = err.Error()
		return
	}
	r.finished = true
	r.out.Ending, r.out.Reason, r.out.Generation = string(e.Ending), e.Reason, e.Generation
	r.out.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	r.out.Whole = e.Ending == wire.EndEventEndingDone && e.Count == r.out.Tokens && r.out.Wrong == "" &&
		e.Hash == strconv.FormatUint(r.hash.Sum64(), 16)
}
