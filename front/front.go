// Package front is the HTTP interface for callers: generations as server-sent
// events, and calls to plain services.
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

// defaultRetryAfter is the Retry-After of refusals that have no better estimate.
const defaultRetryAfter = time.Second

// Components are the dependencies and limits of a Front.
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
	NotifyResumed func(box, attempt string) // notifies a box that this one resumed a generation that it started
	Ready         func() bool
	MaxBodySize   int // in bytes
	MaxStreams    int // requests served at the same time
}

// Front is safe for use by several goroutines.
type Front struct {
	Components
	generation *schemacheck.Checker
	streams    atomic.Int64 // requests being served
	draining   atomic.Bool
	rotation   atomic.Uint64 // rotates the order of a service's upstreams
}

// New returns a front.
func New(c Components) *Front {
	return &Front{Components: c, generation: schemacheck.New("GenerationRequest")}
}

// Drain makes the front reject new requests; streams can still be resumed.
func (f *Front) Drain() { f.draining.Store(true) }

// Serving returns the number of requests being served.
func (f *Front) Serving() int { return int(f.streams.Load()) }

// Handler returns the HTTP handler for callers.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generations", f.admitted(f.serveGeneration)).Methods(http.MethodPost)
	r.HandleFunc("/v1/generations/{id}", f.admitted(f.serveResume)).Methods(http.MethodGet)
	r.HandleFunc("/v1/generations/{id}", f.admitted(f.serveCancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/services/{service}/{path:.*}", f.admitted(f.serveService))
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

// admitted calls next only for requests that pass admit. An error from either is
// written as the response.
func (f *Front) admitted(next handler) http.HandlerFunc {
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

// admit checks that the box serves requests and has capacity for one more, and
// authenticates the caller. A draining box admits only resumed streams.
func (f *Front) admit(r *http.Request, serving int) (caller, error) {
	resuming := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/generations/")
	if f.draining.Load() && !resuming {
		return caller{}, refusal.New(refusal.Draining, "this box is shutting down").WithRetryAfter(defaultRetryAfter)
	}
	if !f.Ready() {
		return caller{}, refusal.New(refusal.NotReady, "no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	if serving > f.MaxStreams {
		return caller{}, refusal.New(refusal.BoxFull, "too many requests at this box").WithRetryAfter(defaultRetryAfter)
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

// HashKey returns the form in which API keys are stored: SHA-256 in hexadecimal.
// Keys are long and random, so they need no salt or slow hash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// refuse writes a refusal as the response, counts it and logs it.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, id string, refused refusal.Refusal) {
	f.Metrics.Refused(refused.Reason())
	f.Metrics.Ended(refused.Outcome())
	f.Log.WithFields(logrus.Fields{
		"request": short(id), "path": pathOf(r), "ending": refused.Outcome(), "reason": refused.Reason(),
		"retry_after_ms": refused.RetryAfter().Milliseconds(),
	}).Info("refused")
	refused.WithRequest(id).Write(w)
}

// pathOf returns the path for the log, truncated because request ids in it are long.
func pathOf(r *http.Request) string {
	const maxLength = 60
	return r.URL.Path[:min(len(r.URL.Path), maxLength)]
}

// short returns the beginning of a request id for the log.
func short(id string) string {
	const maxLength = 24
	return id[:min(len(id), maxLength)]
}

// readBody reads a request's body, up to MaxBodySize bytes.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(f.MaxBodySize)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusal.New(refusal.TooLarge, "the body is too large")
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body is incomplete")
	}
	return raw, nil
}

// badRequest returns the refusal for a request that does not match the schema.
func badRequest(err error) error {
	var m *schemacheck.Mistakes
	if errors.As(err, &m) {
		return refusal.New(refusal.BadRequest, "the request does not match the schema").WithPlaces(m.Places)
	}
	return refusal.New(refusal.BadRequest, err.Error())
}
