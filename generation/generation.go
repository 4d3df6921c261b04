// Package generation reads one generation from its engine: every token once,
// in order, all of one attempt. It takes the stream up again when the
// connection breaks or falls silent, and never goes on with another attempt.
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
	// silence is how long a stream may say nothing before it is taken up on
	// another connection.
	silence = 10 * time.Second
	// takeUpFor bounds the tries to take up a stream.
	takeUpFor = 5 * time.Second
	// fruitlessMost bounds how often a stream is taken up without a new token.
	fruitlessMost = 5
)

// Client is what a generation needs of the engines' client.
type Client interface {
	Generate(ctx context.Context, address string, job wire.EngineJob) (*engine.Stream, error)
	Resume(ctx context.Context, address, attempt string, from int) (*engine.Stream, error)
}

// Token is one token. Data is its JSON string, valid until the next call.
type Token struct {
	Offset int
	Data   []byte
}

// LostError says that the engine no longer holds the generation.
type LostError struct {
	Tokens int // that were read
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

// ProtocolError says that an engine sent what cannot be of this generation.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "wrong stream: " + e.Detail }

// Generation is not safe for use by several goroutines.
type Generation struct {
	client  Client
	address string
	attempt string
	resumed func()
	stream  *engine.Stream
	watch   *time.Timer
	next    int
	hash    *xxhash.Digest
	started bool // the stream in hand has named its attempt
	prompt  int
	tries   int // to take up, since the last token
}

// New starts a generation at an engine; resumed is called each time its
// stream is taken up anew.
func New(ctx context.Context, client Client, address string, job wire.EngineJob, resumed func()) (*Generation, error) {
	stream, err := client.Generate(ctx, address, job)
	if err != nil {
		return nil, err
	}
	return from(client, address, job.Attempt, resumed, stream), nil
}

// Resume takes up a generation from its first token, so that the hash over all
// of it is whole.
func Resume(ctx context.Context, client Client, address, attempt string, resumed func()) (*Generation, error) {
	stream, err := client.Resume(ctx, address, attempt, 0)
	if err != nil {
		return nil, err
	}
	return from(client, address, attempt, resumed, stream), nil
}

func from(client Client, address, attempt string, resumed func(), stream *engine.Stream) *Generation {
	g := &Generation{client: client, address: address, attempt: attempt, resumed: resumed, hash: xxhash.New()}
	g.use(stream)
	return g
}

func (g *Generation) use(stream *engine.Stream) {
	g.stream, g.started = stream, false
	g.watch = time.AfterFunc(silence, stream.Close)
}

// Close ends the reading; the engine keeps the generation.
func (g *Generation) Close() {
	g.watch.Stop()
	g.stream.Close()
}

// Count returns how many tokens were read.
func (g *Generation) Count() int { return g.next }

// PromptTokens returns the engine's count of the prompt.
func (g *Generation) PromptTokens() int { return g.prompt }

// Hash returns the hash over the text of all tokens read, hexadecimal.
func (g *Generation) Hash() string { return strconv.FormatUint(g.hash.Sum64(), 16) }

// Buffered tells whether the next token has already arrived.
func (g *Generation) Buffered() bool { return g.stream.Buffered() }

// Next returns the next token, or io.EOF when the generation is whole. Other
// errors are a *LostError, a *CancelledError, or the end of ctx.
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
		if err := g.takeUp(ctx, err); err != nil {
			return Token{}, err
		}
	}
}

// read returns the next token of the stream in hand. Repeats are dropped; a
// gap is an error, so that the stream is taken up where it should go on.
func (g *Generation) read() (Token, error) {
	for {
		if !g.stream.Buffered() {
			g.watch.Reset(silence)
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
			err = g.start(e.Data)
		case !g.started:
			err = &ProtocolError{Detail: "no start"}
		case e.Name == sse.End:
			return Token{}, g.end(e.Data)
		case e.ID < g.next:
			continue
		case e.ID > g.next:
			err = &ProtocolError{Detail: "a gap before token " + strconv.Itoa(e.ID)}
		default:
			return g.take(e)
		}
		if err != nil {
			return Token{}, err
		}
	}
}

func (g *Generation) take(e sse.Event) (Token, error) {
	if err := g.add(e.Data); err != nil {
		return Token{}, err
	}
	g.next++
	g.tries = 0
	return Token{Offset: e.ID, Data: e.Data}, nil
}

// add hashes the text of a token. Most have no escapes and need no decoding.
func (g *Generation) add(data []byte) error {
	if len(data) >= 2 && data[0] == '"' && data[len(data)-1] == '"' && bytes.IndexByte(data, '\\') < 0 {
		_, _ = g.hash.Write(data[1 : len(data)-1])
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &ProtocolError{Detail: "token is no string"}
	}
	_, _ = g.hash.WriteString(text)
	return nil
}

func (g *Generation) start(data []byte) error {
	var s wire.EngineStart
	if err := json.Unmarshal(data, &s); err != nil {
		return &ProtocolError{Detail: err.Error()}
	}
	if s.Attempt != g.attempt {
		return &ProtocolError{Detail: "another attempt"}
	}
	g.started, g.prompt = true, s.PromptTokens
	return nil
}

func (g *Generation) end(data []byte) error {
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

// takeUp opens the stream anew where it broke.
func (g *Generation) takeUp(ctx context.Context, cause error) error {
	g.Close()
	g.tries++
	if g.tries > fruitlessMost {
		return &LostError{Tokens: g.next, Err: cause}
	}
	waits := retry.Waits()
	until := time.Now().Add(takeUpFor)
	for time.Now().Before(until) {
		stream, err := g.client.Resume(ctx, g.address, g.attempt, g.next)
		if err == nil {
			g.resumed()
			g.use(stream)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		cause = err
		if engine.KindOf(err) == engine.Gone {
			break
		}
		time.Sleep(waits.NextBackOff())
	}
	return &LostError{Tokens: g.next, Err: cause}
}
