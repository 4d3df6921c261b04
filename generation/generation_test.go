package generation_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"petrelstep/generation"
	"petrelstep/sse"
	"petrelstep/standin/text"
	"petrelstep/upstream/engine"
	"petrelstep/wire"
)

const (
	attempt = "a1"
	whole   = 6
)

// body is the body of one connection to an engine. A frozen one blocks at its end until it
// is closed.
type body struct {
	io.Reader
	frozen bool
	once   sync.Once
	closed chan struct{}
}

func newBody(s string, frozen bool) *body {
	return &body{Reader: strings.NewReader(s), frozen: frozen, closed: make(chan struct{})}
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.frozen {
		<-b.closed
		return 0, io.ErrClosedPipe
	}
	return n, err
}

func (b *body) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// stream builds the stream of an engine.
type stream struct {
	strings.Builder
	frozen bool
}

func (s *stream) start(of string) *stream {
	s.Write(sse.AppendEvent(nil, sse.Start, toJSON(wire.EngineStart{Attempt: of})))
	return s
}

func (s *stream) tokens(of string, from, to int) *stream {
	for i := from; i < to; i++ {
		s.Write(sse.AppendToken(nil, i, toJSON(text.Token(of, i))))
	}
	return s
}

func (s *stream) end(of string, count int, why wire.EngineEndWhy) *stream {
	s.Write(sse.AppendEvent(nil, sse.End, toJSON(wire.EngineEnd{Attempt: of, Count: count, Why: why})))
	return s
}

func (s *stream) freeze() *stream { s.frozen = true; return s }

func toJSON(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// engines is a client that returns the scripted streams in order, and after them complete
// streams from the requested offset, or the error that the generation is gone.
type engines struct {
	scripts []*stream
	gone    bool
	resumes []int // offsets requested
}

func (e *engines) Generate(context.Context, string, wire.EngineJob) (*engine.Stream, error) {
	return e.next(0)
}

func (e *engines) Resume(_ context.Context, _, _ string, from int) (*engine.Stream, error) {
	e.resumes = append(e.resumes, from)
	return e.next(from)
}

func (e *engines) next(from int) (*engine.Stream, error) {
	if len(e.scripts) > 0 {
		s := e.scripts[0]
		e.scripts = e.scripts[1:]
		return engine.NewStream(newBody(s.String(), s.frozen)), nil
	}
	if e.gone {
		return nil, &engine.Error{Kind: engine.AttemptUnknown, Err: &engine.StatusError{Status: 404}}
	}
	complete := new(stream).start(attempt).tokens(attempt, from, whole).end(attempt, whole, wire.EngineEndWhyDone)
	return engine.NewStream(newBody(complete.String(), false)), nil
}

// read reads a generation to its end and returns its tokens and hash.
func read(e *engines) (got []string, hash string, err error) {
	ctx := context.Background()
	g, err := generation.New(ctx, e, "", wire.EngineJob{Attempt: attempt}, func() {})
	if err != nil {
		return nil, "", err
	}
	defer g.Close()
	for {
		token, err := g.Next(ctx)
		if err != nil {
			return got, g.Hash(), err
		}
		var s string
		_ = json.Unmarshal(token.Data, &s)
		got = append(got, s)
	}
}

// TestNext covers each fault at each step of a generation. It guards against missing,
// repeated and reordered tokens, tokens of another attempt, and an end that is not
// reported.
func TestNext(t *testing.T) {
	type s = stream
	tests := map[string]struct {
		scripts []*stream
		gone    bool
		lost    int // tokens read before a LostError; -1 for none
		cancel  bool
		resumes []int
	}{
		"no fault":                     {lost: -1},
		"cut x before start":           {scripts: []*s{new(s)}, lost: -1, resumes: []int{0}},
		"cut x after start":            {scripts: []*s{new(s).start(attempt)}, lost: -1, resumes: []int{0}},
		"cut x middle":                 {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3)}, lost: -1, resumes: []int{3}},
		"cut x before the end":         {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, whole)}, lost: -1, resumes: []int{whole}},
		"cut x twice":                  {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 2), new(s).start(attempt).tokens(attempt, 2, 4)}, lost: -1, resumes: []int{2, 4}},
		"freeze x before start":        {scripts: []*s{new(s).freeze()}, lost: -1, resumes: []int{0}},
		"freeze x middle":              {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3).freeze()}, lost: -1, resumes: []int{3}},
		"freeze, then cut":             {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3).freeze(), new(s)}, lost: -1, resumes: []int{3, 3}},
		"repeat x middle":              {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 4).tokens(attempt, 1, whole).end(attempt, whole, wire.EngineEndWhyDone)}, lost: -1},
		"gap x middle":                 {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 2).tokens(attempt, 3, whole)}, lost: -1, resumes: []int{2}},
		"other attempt x start":        {scripts: []*s{new(s).start("a2").tokens("a2", 0, whole).end("a2", whole, wire.EngineEndWhyDone)}, lost: -1, resumes: []int{0}},
		"other attempt x resume":       {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3), new(s).start("a2").tokens("a2", 3, whole)}, lost: -1, resumes: []int{3, 3}},
		"other attempt x end":          {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3).end("a2", 3, wire.EngineEndWhyDone)}, lost: -1, resumes: []int{3}},
		"no start x other attempt":     {scripts: []*s{new(s).tokens("a2", 0, whole)}, lost: -1, resumes: []int{0}},
		"early end x middle":           {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3).end(attempt, whole, wire.EngineEndWhyDone)}, lost: -1, resumes: []int{3}},
		"kill x before first":          {scripts: []*s{new(s).start(attempt)}, gone: true, lost: 0, resumes: []int{0}},
		"kill x middle":                {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3)}, gone: true, lost: 3, resumes: []int{3}},
		"cut, then kill":               {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 1), new(s).start(attempt).tokens(attempt, 1, 4)}, gone: true, lost: 4, resumes: []int{1, 4}},
		"reclaim x lost at the end":    {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3).end(attempt, 3, wire.EngineEndWhyLost)}, gone: true, lost: 3, resumes: []int{3}},
		"cancel x middle":              {scripts: []*s{new(s).start(attempt).tokens(attempt, 0, 3).end(attempt, 3, wire.EngineEndWhyCancelled)}, cancel: true, lost: -1},
		"always other attempt x start": {scripts: []*s{new(s).start("x"), new(s).start("x"), new(s).start("x"), new(s).start("x"), new(s).start("x"), new(s).start("x"), new(s).start("x")}, lost: 0, resumes: []int{0, 0, 0, 0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &engines{scripts: tt.scripts, gone: tt.gone}
				began := time.Now()
				got, hash, err := read(e)
				is.True(time.Since(began) < time.Minute) // in virtual time: silence is detected
				var lost *generation.LostError
				switch {
				case tt.lost >= 0:
					is.True(errors.As(err, &lost))
					is.Equal(lost.Tokens, tt.lost)
				case tt.cancel:
					is.True(errors.As(err, new(*generation.CancelledError)))
				default:
					is.Equal(err, io.EOF)
					is.Equal(len(got), whole)
					is.Equal(hash, text.Hash(attempt, whole))
				}
				for i := range got {
					is.Equal(got[i], text.Token(attempt, i))
				}
				is.Equal(e.resumes, tt.resumes)
			})
		})
	}
}

// TestNextRandom reads random streams with random faults: the tokens must be a prefix of
// the generation, each once.
func TestNextRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := &engines{gone: rapid.Bool().Draw(rt, "gone")}
		for range rapid.IntRange(0, 4).Draw(rt, "streams") {
			e.scripts = append(e.scripts, randomStream(rt))
		}
		var got []string
		var err error
		synctest.Test(t, func(*testing.T) { got, _, err = read(e) })
		if err == io.EOF && len(got) != whole {
			rt.Fatalf("generation ended after %d tokens", len(got))
		}
		for i := range got {
			if got[i] != text.Token(attempt, i) {
				rt.Fatalf("token %d is of another generation or offset", i)
			}
		}
	})
}

func randomStream(rt *rapid.T) *stream {
	of := rapid.SampledFrom([]string{attempt, attempt, attempt, "a2"}).Draw(rt, "attempt")
	s := new(stream)
	if rapid.IntRange(0, 9).Draw(rt, "start") > 0 {
		s.start(of)
	}
	for range rapid.IntRange(0, 3).Draw(rt, "runs") {
		from := rapid.IntRange(0, whole).Draw(rt, "from")
		s.tokens(of, from, rapid.IntRange(from, whole).Draw(rt, "to"))
	}
	if rapid.Bool().Draw(rt, "end") {
		// An engine that reports the end of its own generation too early cannot be
		// detected, so it is not among the faults.
		s.end(of, whole, rapid.SampledFrom([]wire.EngineEndWhy{wire.EngineEndWhyDone, wire.EngineEndWhyLost}).Draw(rt, "why"))
	}
	if rapid.IntRange(0, 4).Draw(rt, "frozen") == 0 {
		s.freeze()
	}
	return s
}
