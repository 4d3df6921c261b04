// Package exchange holds what callers, the relay and the clients of upstreams
// hand to each other: requests, sends and answers, without any protocol's names.
package exchange

import (
	"context"
	"time"

	"petrelstep/fingerprint"
)

// Segment is one part of a prompt, in order. Parts are shared between requests;
// the last is a request's own.
type Segment struct {
	ID     string
	Tokens int
}

// Request is one try of a caller. Values are immutable.
type Request struct {
	ID        string
	Arrived   time.Time
	Host      string
	Path      string
	Key       string // of the caller's organisation; empty without one
	Wait      time.Duration
	Model     string
	Prompt    int // tokens
	MaxTokens int // most tokens of the answer; 0 where it is not told
	Hint      int // the caller's guess of the answer's tokens; 0 for none
	Segments  []Segment
	After     int                     // last event that the caller has of an earlier try; NoEvent for none
	Regions   []string                // where it may be served; none for anywhere
	Content   fingerprint.Fingerprint // of its method, target and whole body
	Message   any                     // what only the adapters of callers and upstreams read
}

// NoEvent stands for the time before a stream's first event.
const NoEvent = -1

// Copy names the memory of a run that an upstream holds.
type Copy struct {
	Holder string // address of the upstream that made it
	ID     string
}

// Send is one dispatch of a request to an upstream. Values are immutable.
type Send struct {
	Request      *Request
	Upstream     string // its lifetime's id; any other refuses
	Address      string
	Left         time.Duration
	Organisation string
	Urgency      int   // 0 goes first
	After        int   // last event delivered; NoEvent from the start
	From         *Copy // memory to go on from
}

// Answer is an upstream's answer from its head on. Close must be called.
type Answer struct {
	Status  int
	NotRun  bool // the upstream states that it did not run the request
	Sealed  bool // it carries the upstream's seal
	Framed  bool // its end is told apart from a broken connection
	Limit   Limit
	Leaving bool          // the upstream says that it leaves
	Backoff time.Duration // for so long it wants nothing from this box; 0 if it does not say so
	Message any           // what only the adapters read
	Body    Body
}

// Limit is what an upstream says in an answer of how many requests it takes.
type Limit struct {
	Kind      LimitKind
	PerSecond float64 // from all boxes together, where it names a limit; 0 or more
}

// LimitKind tells what an answer says of a limit.
type LimitKind int

// What an answer says of a limit.
const (
	NoLimit        LimitKind = iota // nothing
	LimitAnnounced                  // how many requests a second
	LimitInvalid                    // something that is no limit
)

// Body reads what follows an answer's head.
type Body interface {
	// Next returns the next whole event of a stream; io.EOF after the last.
	Next() (Event, error)
	// All returns a body that is no stream, if it is no longer than most bytes;
	// more tells that there is more to Read.
	All(most int) (body []byte, more bool, err error)
	// Read goes on after All.
	Read(p []byte) (int, error)
	Close()
}

// Event is one event of a stream as it came.
type Event struct {
	ID  int // NoEvent where it has none
	Raw []byte
}

// Caller takes the answer to a request. One answer is written, by one of
// Answer, Refuse and Abort, and then what follows the head.
type Caller interface {
	// Answer sends an upstream's head; length is that of the body, or negative.
	Answer(a *Answer, length int) error
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Refuse ends the request with the system's own answer.
	Refuse(err error)
	// Abort breaks the answer off, so that it cannot look complete.
	Abort()
}

// FailedError says that a send has no answer.
type FailedError struct {
	NotSent bool // certain that nothing reached the upstream
	Refused bool // nothing listens at its address
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
