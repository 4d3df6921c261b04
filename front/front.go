// Package front is the HTTP interface for callers: generations as server-sent
// events, and calls to plain services.
package front

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
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
	"petrelstep/protect/intake"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/retry"
	"petrelstep/schemacheck"
	"petrelstep/ticket"
	"petrelstep/upstream/engine"
	"petrelstep/upstream/service"
	"petrelstep/wire"
)

const (
	// defaultRetryAfter is the Retry-After of refusals that have no better estimate.
	defaultRetryAfter = time.Second
	// maxBodyTime bounds the time in which a body arrives.
	maxBodyTime = 2 * time.Minute
)

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
	MaxBodySize   int         // in bytes
	MaxStreams    int         // requests served at the same time
	Full          func() bool // reports whether the account of the callers' memory is used up
}

// Front is safe for use by several goroutines.
type Front struct {
	Components
	generation *schemacheck.Checker
	streams    atomic.Int64 // requests that have not ended
	complete   atomic.Int64 // of these, requests whose body has arrived
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
	r.HandleFunc("/v1/generations/{id}", f.admitted(f.whole(f.serveResume))).Methods(http.MethodGet)
	r.HandleFunc("/v1/generations/{id}", f.admitted(f.whole(f.serveCancel))).Methods(http.MethodDelete)
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
		f.streams.Add(1)
		defer f.streams.Add(-1)
		c, err := f.admit(r)
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
func (f *Front) admit(r *http.Request) (caller, error) {
	resuming := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/generations/")
	if f.draining.Load() && !resuming {
		return caller{}, refusal.New(refusal.Draining, "this box is shutting down").WithRetryAfter(defaultRetryAfter)
	}
	if !f.Ready() {
		return caller{}, refusal.New(refusal.NotReady, "no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	if int(f.complete.Load()) >= f.MaxStreams {
		return caller{}, errFull
	}
	return f.authenticate(r)
}

// errFull refuses a request that this box has no room for.
var errFull = refusal.New(refusal.BoxFull, "too many requests at this box").WithRetryAfter(defaultRetryAfter)

// begin counts a complete request of an organisation as one that is being served, until the
// returned function is called.
func (f *Front) begin(r *http.Request, c caller) (end func(), err error) {
	n := f.complete.Add(1)
	end = func() { f.complete.Add(-1) }
	if !intake.From(r.Context()).BeginRequest(c.name) || int(n) > f.MaxStreams || f.Full() {
		end()
		return nil, errFull
	}
	return end, nil
}

// whole calls next for a request without a body.
func (f *Front) whole(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, c caller) (string, error) {
		end, err := f.begin(r, c)
		if err != nil {
			return "", err
		}
		defer end()
		return next(w, r, c)
	}
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

// receive reads a request's body, up to MaxBodySize bytes, and counts the request as one that is
// being served, until the returned function is called.
func (f *Front) receive(w http.ResponseWriter, r *http.Request, c caller) (body []byte, end func(), err error) {
	body, err = intake.ReadBody(w, r, intake.Body{Limit: f.MaxBodySize, Until: time.Now().Add(maxBodyTime), RetryAfter: defaultRetryAfter})
	if err != nil {
		return nil, nil, err
	}
	end, err = f.begin(r, c)
	return body, end, err
}

// badRequest returns the refusal for a request that does not match the schema.
func badRequest(err error) error {
	var m *schemacheck.Mistakes
	if errors.As(err, &m) {
		return refusal.New(refusal.BadRequest, "the request does not match the schema").WithPlaces(m.Places)
	}
	return refusal.New(refusal.BadRequest, err.Error())
}
