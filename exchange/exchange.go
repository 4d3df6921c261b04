// Package exchange defines the types that callers, the relay and the clients of upstreams
// exchange: requests, sends and answers, independent of the protocol on either side.
package exchange

import (
	"context"
	"time"

	"petrelstep/fingerprint"
)

// Segment is one segment of a prompt, in order. Requests may share segments; the last
// belongs to one request alone.
type Segment struct {
	ID     string
	Tokens int
}

// Request is a caller's request. Values are immutable.
type Request struct {
	ID        string
	Arrived   time.Time
	Host      string
	Path      string
	Key       string        // API key of the caller's organisation; empty without one
	Wait      time.Duration // how long the caller waits for the answer
	Model     string
	Prompt    int // tokens of the prompt
	MaxTokens int // maximum number of tokens of the answer; 0 if not given
	Hint      int // the caller's estimate of the answer's tokens; 0 if not given
	Segments  []Segment
	After     int                     // id of the last event that the caller has from an earlier request; NoEvent for none
	Resumes   string                  // id of the caller's request that brought the first of these events; empty if not given
	Regions   []string                // where it may be served; empty for anywhere
	Content   fingerprint.Fingerprint // of the method, target and whole body
	Message   any                     // for the adapters of callers and upstreams only
}

// SharedParts returns the ids of the prompt's segments that other requests may have: all but
// the last.
func (r *Request) SharedParts() []string {
	var ids []string
	for _, s := range r.Segments[:max(len(r.Segments)-1, 0)] {
		ids = append(ids, s.ID)
	}
	return ids
}

// NoEvent is the event id before the first event of a stream.
const NoEvent = -1

// Copy identifies a copy of a run's memory (its KV cache) at an upstream.
type Copy struct {
	Holder string // address of the upstream that made the copy
	ID     string
}

// Send is one send of a request to an upstream. Values are immutable.
type Send struct {
	Request      *Request
	Upstream     string // expected id; an upstream with another id rejects the request
	Address      string
	Left         time.Duration // until the deadline
	Organisation string
	Urgency      int   // 0 goes first
	After        int   // id of the last event delivered; NoEvent to start from the beginning
	From         *Copy // copy to continue from; nil for none
	// BeforeWrite is called once the connection is open, just before the first byte is sent.
	// After an error nothing is sent, and the send fails with it. nil: nothing is called.
	BeforeWrite func() error
}

// Answer is an upstream's answer with its head already read. The body must be closed.
type Answer struct {
	Status int
	NotRun bool // the upstream states that it did not run the request
	Sealed bool // the answer carries the upstream's seal
	Framed bool // the end of the body is distinguishable from a broken connection
	Limit  Limit
	// RejectionLimit is how many requests per second the upstream can reject for want of capacity
	// before it crashes.
	RejectionLimit Limit
	Leaving        bool          // the upstream announces that it is leaving
	Backoff        time.Duration // how long this box should send nothing; 0 for no backoff
	Message        any           // for the adapters only
	Body           Body
}

// Limit is the rate limit that an upstream announces in an answer.
type Limit struct {
	Kind      LimitKind
	PerSecond float64 // for all boxes together, if Kind is LimitAnnounced; 0 or more
}

// LimitKind says whether an answer announces a limit.
type LimitKind int

// The kinds of limit.
const (
	NoLimit        LimitKind = iota // no limit
	LimitAnnounced                  // a number of requests per second
	LimitInvalid                    // a value that is not a limit
)

// Body is the body of an answer.
type Body interface {
	// Next returns the next whole event of a stream; io.EOF after the last.
	Next() (Event, error)
	// All returns the body of an answer that is not a stream, up to maxSize bytes; more
	// reports whether the rest must be read by Read.
	All(maxSize int) (body []byte, more bool, err error)
	// Read reads the part of the body that All has not returned.
	Read(p []byte) (int, error)
	Close()
}

// Event is one event of a stream, unparsed.
type Event struct {
	ID  int // NoEvent if it has none
	Raw []byte
}

// Caller receives the answer to a request. Exactly one of Answer, Refuse and Abort is
// called first; Write and Abort may follow Answer.
type Caller interface {
	// Answer writes the head of an upstream's answer; length is that of the body, or
	// negative if unknown.
	Answer(a *Answer, length int) error
	// Write writes and flushes a chunk of the body.
	Write(p []byte) error
	// Refuse ends the request with a refusal.
	Refuse(err error)
	// Abort breaks off the answer, so that it cannot be taken for complete.
	Abort()
}

// FailedError says that a send got no answer.
type FailedError struct {
	NotSent bool // certainly nothing reached the upstream
	Refused bool // the connection was refused
	Link    bool // it may be this box's link that failed, rather than the upstream
	Err     error
}

// Error implements error.
func (e *FailedError) Error() string { return "upstream: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Err }

// Sender sends requests to upstreams.
type Sender interface {
	Send(ctx context.Context, s Send) (*Answer, error)
}
