// Package generation reads one generation from its engine: every token once, in order, all
// of the same attempt. It resumes the stream when the connection breaks or is silent for
// too long, and never continues with another attempt.
package generation

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"petrelstep/retry"
	"petrelstep/sse"
	"petrelstep/upstream/engine"
	"petrelstep/wire"
)

const (
	// maxSilence is how long a stream may send nothing before it is resumed on another
	// connection.
	maxSilence = 10 * time.Second
	// resumeTimeout bounds the time to resume a stream.
	resumeTimeout = 5 * time.Second
	// maxFruitlessResumes bounds the consecutive resumes that bring no new token.
	maxFruitlessResumes = 5
)

// Client is the part of the engine client that a generation uses.
type Client interface {
	Generate(ctx context.Context, address string, job wire.EngineJob) (*engine.Stream, error)
	Resume(ctx context.Context, address, attempt string, from int) (*engine.Stream, error)
}

// Token is one token. Data is its JSON string, valid until the next call of Next.
type Token struct {
	Offset int
	Data   []byte
}

// LostError says that the engine no longer has the generation.
type LostError struct {
	Tokens int // tokens read before
	Err    error
}

// Error implements error.
func (e *LostError) Error() string {
	return "generation lost after " + strconv.Itoa(e.Tokens) + " tokens: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// CancelledError says that the generation was cancelled at the engine.
type CancelledError struct{ Tokens int }

// Error implements error.
func (e *CancelledError) Error() string {
	return "generation cancelled after " + strconv.Itoa(e.Tokens) + " tokens"
}

// ProtocolError says that an engine's stream does not belong to this generation or is
// invalid.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "invalid stream: " + e.Detail }

// Generation is a generation that is being read. It is not safe for use by several
// goroutines.
type Generation struct {
	client           Client
	address          string
	attempt          string
	onResume         func()
	stream           *engine.Stream
	silenceTimer     *time.Timer
	next             int
	hash             *xxhash.Digest
	startSeen        bool // the current stream has sent its start event
	prompt           int
	fruitlessResumes int // since the last new token
}

// New starts a generation at an engine. onResume is called each time its stream is
// resumed.
func New(ctx context.Context, client Client, address string, job wire.EngineJob, onResume func()) (*Generation, error) {
	stream, err := client.Generate(ctx, address, job)
	if err != nil {
		return nil, err
	}
	return newGeneration(client, address, job.Attempt, onResume, stream), nil
}

// Resume reads an existing generation again from its first token, so that Hash covers all
// tokens.
func Resume(ctx context.Context, client Client, address, attempt string, onResume func()) (*Generation, error) {
	stream, err := client.Resume(ctx, address, attempt, 0)
	if err != nil {
		return nil, err
	}
	return newGeneration(client, address, attempt, onResume, stream), nil
}

func newGeneration(client Client, address, attempt string, onResume func(), stream *engine.Stream) *Generation {
	g := &Generation{client: client, address: address, attempt: attempt, onResume: onResume, hash: xxhash.New()}
	g.setStream(stream)
	return g
}

func (g *Generation) setStream(stream *engine.Stream) {
	g.stream, g.startSeen = stream, false
	g.silenceTimer = time.AfterFunc(maxSilence, stream.Close)
}

// Close stops reading; the engine keeps the generation.
func (g *Generation) Close() {
	g.silenceTimer.Stop()
	g.stream.Close()
}

// Count returns the number of tokens read.
func (g *Generation) Count() int { return g.next }

// PromptTokens returns the length of the prompt as counted by the engine.
func (g *Generation) PromptTokens() int { return g.prompt }

// Hash returns the hash of the text of all tokens read, in hexadecimal.
func (g *Generation) Hash() string { return strconv.FormatUint(g.hash.Sum64(), 16) }

// Buffered reports whether the next token has already arrived.
func (g *Generation) Buffered() bool { return g.stream.Buffered() }

// Next returns the next token, or io.EOF at the end of the generation. Other errors are a
// *LostError, a *CancelledError or the error of ctx.
func (g *Generation) Next(ctx context.Context) (Token, error) {
	for {
		token, err := g.read()
		if err == nil || err == io.EOF {
			return token, err
		}
		var cancelled *CancelledError
		if errors.As(err, &cancelled) {
			return Token{}, err
		}
		if ctx.Err() != nil {
			return Token{}, ctx.Err()
		}
		if err := g.resume(ctx, err); err != nil {
			return Token{}, err
		}
	}
}

// read returns the next token of the current stream. Duplicates are dropped; a gap is an
// error, so that the stream is resumed before it.
func (g *Generation) read() (Token, error) {
	for {
		if !g.stream.Buffered() {
			g.silenceTimer.Reset(maxSilence)
		}
		e, err := g.stream.Next()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Token{}, err
		}
		switch {
		case e.Name == sse.Start:
			err = g.handleStart(e.Data)
		case !g.startSeen:
			err = &ProtocolError{Detail: "no start event"}
		case e.Name == sse.End:
			return Token{}, g.handleEnd(e.Data)
		case e.ID < g.next:
			continue
		case e.ID > g.next:
			err = &ProtocolError{Detail: "a gap before token " + strconv.Itoa(e.ID)}
		default:
			return g.accept(e)
		}
		if err != nil {
			return Token{}, err
		}
	}
}

func (g *Generation) accept(e sse.Event) (Token, error) {
	if err := g.hashToken(e.Data); err != nil {
		return Token{}, err
	}
	g.next++
	g.fruitlessResumes = 0
	return Token{Offset: e.ID, Data: e.Data}, nil
}

// hashToken adds the text of a token to the hash. Most tokens have no escapes and need no
// decoding.
func (g *Generation) hashToken(data []byte) error {
	if len(data) >= 2 && data[0] == '"' && data[len(data)-1] == '"' && bytes.IndexByte(data, '\\') < 0 {
		_, _ = g.hash.Write(data[1 : len(data)-1])
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &ProtocolError{Detail: "token is not a JSON string"}
	}
	_, _ = g.hash.WriteString(text)
	return nil
}

func (g *Generation) handleStart(data []byte) error {
	var s wire.EngineStart
	if err := json.Unmarshal(data, &s); err != nil {
		return &ProtocolError{Detail: err.Error()}
	}
	if s.Attempt != g.attempt {
		return &ProtocolError{Detail: "start of another attempt"}
	}
	g.startSeen, g.prompt = true, s.PromptTokens
	return nil
}

func (g *Generation) handleEnd(data []byte) error {
	var e wire.EngineEnd
	if err := json.Unmarshal(data, &e); err != nil {
		return &ProtocolError{Detail: err.Error()}
	}
	switch {
	case e.Attempt != g.attempt:
		return &ProtocolError{Detail: "end of another attempt"}
	case e.Why == wire.EngineEndWhyCancelled:
		return &CancelledError{Tokens: g.next}
	case e.Why != wire.EngineEndWhyDone || e.Count != g.next:
		return &ProtocolError{Detail: "end without all tokens"}
	}
	return io.EOF
}

// resume reopens the stream after the last token read.
func (g *Generation) resume(ctx context.Context, cause error) error {
	g.Close()
	g.fruitlessResumes++
	if g.fruitlessResumes > maxFruitlessResumes {
		return &LostError{Tokens: g.next, Err: cause}
	}
	waits := retry.Waits()
	until := time.Now().Add(resumeTimeout)
	for time.Now().Before(until) {
		stream, err := g.client.Resume(ctx, g.address, g.attempt, g.next)
		if err == nil {
			g.onResume()
			g.setStream(stream)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		cause = err
		if engine.KindOf(err) == engine.AttemptUnknown {
			break
		}
		time.Sleep(waits.NextBackOff())
	}
	return &LostError{Tokens: g.next, Err: cause}
}
