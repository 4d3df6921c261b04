// Package front serves callers over HTTP: generations as server-sent events,
// and plain services.
package front

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/dispatch"
	"petrelstep/inflight"
	"petrelstep/ledger"
	"petrelstep/metrics"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/retry"
	"petrelstep/schemacheck"
	"petrelstep/ticket"
	"petrelstep/upstream/engine"
	"petrelstep/upstream/service"
	"petrelstep/wire"
)

// comeAgain is when to come back where nothing better is known.
const comeAgain = time.Second

// Components are what the front works with.
type Components struct {
	Box           string
	Resources     *resource.Resources
	Dispatcher    *dispatch.Dispatcher
	Engines       *engine.Engine
	Services      *service.Service
	Ledger        *ledger.Ledger
	Flights       *inflight.Tracker
	Tickets       *ticket.Ticket
	Budget        *retry.Budget
	Metrics       *metrics.Metrics
	Log           *logrus.Entry
	NotifyResumed func(box, attempt string) // that this box goes on with a generation
	Ready         func() bool
	MaxBodySize   int
	MaxStreams    int
}

// Front is safe for use by several goroutines.
type Front struct {
	Components
	generation *schemacheck.Checker
	streams    atomic.Int64
	draining   atomic.Bool
	turn       atomic.Uint64
}

// New returns a front.
func New(parts Components) *Front {
	return &Front{Components: parts, generation: schemacheck.New("GenerationRequest")}
}

// Drain makes the front take nothing new.
func (f *Front) Drain() { f.draining.Store(true) }

// Serving returns how many requests are being served.
func (f *Front) Serving() int { return int(f.streams.Load()) }

// Handler serves the callers' addresses.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generations", f.serving(f.serveGeneration)).Methods(http.MethodPost)
	r.HandleFunc("/v1/generations/{id}", f.serving(f.serveTakeUp)).Methods(http.MethodGet)
	r.HandleFunc("/v1/generations/{id}", f.serving(f.serveCancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/services/{service}/{path:.*}", f.serving(f.serveService))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.refuse(w, r, "", refusal.New(refusal.UnknownResource, "no such path: "+r.URL.Path))
	})
	return r
}

// caller is an authenticated organisation.
type caller struct {
	name  string
	terms wire.Organisation
}

type handler func(w http.ResponseWriter, r *http.Request, c caller) (id string, err error)

// serving holds a request against what goes before all else: the box is
// ready, the caller is known, there is room. What the handler returns as an
// error is written as the answer.
func (f *Front) serving(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n := f.streams.Add(1)
		defer f.streams.Add(-1)
		c, err := f.admit(r, int(n))
		id := ""
		if err == nil {
			id, err = next(w, r, c)
		}
		if err == nil {
			return
		}
		var refused refusal.Refusal
		if !errors.As(err, &refused) {
			refused = refusal.New(refusal.InternalUnexpected, err.Error())
		}
		f.refuse(w, r, id, refused)
	}
}

func (f *Front) admit(r *http.Request, serving int) (caller, error) {
	taking := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/generations/")
	if f.draining.Load() && !taking {
		return caller{}, refusal.New(refusal.Draining, "this box is leaving").WithRetryAfter(comeAgain)
	}
	if !f.Ready() {
		return caller{}, refusal.New(refusal.NotReady, "no configuration yet").WithRetryAfter(comeAgain)
	}
	if serving > f.MaxStreams {
		return caller{}, refusal.New(refusal.BoxFull, "too many requests at this box").WithRetryAfter(comeAgain)
	}
	return f.authenticate(r)
}

func (f *Front) authenticate(r *http.Request) (caller, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return caller{}, refusal.New(refusal.NoKey, "send Authorization: Bearer and the API key")
	}
	view := f.Resources.View()
	name, ok := view.Keys[HashKey(key)]
	if !ok {
		return caller{}, refusal.New(refusal.WrongKey, "the key belongs to no organisation")
	}
	return caller{name: name, terms: view.Organisations[name]}, nil
}

// HashKey returns the form in which API keys are kept: SHA-256, hexadecimal.
// Keys are long and random, so that a plain hash is enough.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// refuse answers, counts and logs a refusal.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, id string, refused refusal.Refusal) {
	f.Metrics.Refused(refused.Reason())
	f.Metrics.Ended(refused.Outcome())
	f.Log.WithFields(logrus.Fields{
		"request": short(id), "path": pathOf(r), "ending": refused.Outcome(), "reason": refused.Reason(),
		"retry_after_ms": refused.RetryAfter().Milliseconds(),
	}).Info("refused")
	refused.WithRequest(id).Write(w)
}

// pathOf returns a path fit for a log line: request ids in it are long.
func pathOf(r *http.Request) string {
	const most = 60
	return r.URL.Path[:min(len(r.URL.Path), most)]
}

// short returns the part of a request id that logs carry.
func short(id string) string {
	const part = 24
	return id[:min(len(id), part)]
}

// body reads a request's body within bounds.
func (f *Front) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(f.MaxBodySize)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusal.New(refusal.TooLarge, "the body is too large")
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body did not come whole")
	}
	return raw, nil
}

func mistakes(err error) error {
	var m *schemacheck.Mistakes
	if errors.As(err, &m) {
		return refusal.New(refusal.BadRequest, "the request has mistakes").WithPlaces(m.Places)
	}
	return refusal.New(refusal.BadRequest, err.Error())
}
