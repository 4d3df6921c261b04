// Package admin is the HTTP interface for operators: resources, status, health and
// metrics.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/front"
	"petrelstep/metrics"
	"petrelstep/protect/intake"
	"petrelstep/refusal"
	"petrelstep/resource"
	"petrelstep/schemacheck"
	"petrelstep/sse"
	"petrelstep/wire"
)

const (
	// maxBodySize bounds the body of a resource, in bytes.
	maxBodySize = 1 << 20
	// maxBodyTime bounds the time in which it arrives.
	maxBodyTime = 2 * time.Minute
	// retryAfterFull is the Retry-After of a request that this box has no memory for.
	retryAfterFull = time.Second
)

// statusInterval is the time between status events of a watch without changes.
const statusInterval = time.Second

// Components are the dependencies of an Admin.
type Components struct {
	Resources   *resource.Resources
	Write       func(ctx context.Context, r wire.Resource) (wire.Resource, error)
	Status      func() wire.Status
	Drain       func()
	Ready       func() bool
	Started     func() bool // whether the box had time to learn the engines
	Metrics     *metrics.Metrics
	OperatorKey string // hash of the first operator's key; empty for none
	Log         *logrus.Entry
}

// Admin is safe for use by several goroutines.
type Admin struct {
	Components
	resource *schemacheck.Checker
}

// New returns the interface.
func New(c Components) *Admin {
	return &Admin{Components: c, resource: schemacheck.New("Resource")}
}

// Handler returns the HTTP handler for operators.
func (a *Admin) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", a.Metrics.Handler())
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", a.serveReady)
	r.HandleFunc("/v1/resources", a.operator(a.serveList)).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}", a.operator(a.serveList)).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", a.operator(a.serveGet)).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", a.operator(a.servePut)).Methods(http.MethodPut)
	r.HandleFunc("/v1/resources/{kind}/{name}", a.operator(a.serveDelete)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/watch", a.operator(a.serveWatch)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", a.operator(a.serveStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain", a.operator(a.serveDrain)).Methods(http.MethodPost)
	return r
}

// Starting is the text of /readyz while a box with a configuration learns the engines.
const Starting = "starting"

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !a.Ready():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	case !a.Started():
		http.Error(w, Starting, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

type handler func(w http.ResponseWriter, r *http.Request) error

// operator calls next only for requests of operators. An error is written as a
// refusal.
func (a *Admin) operator(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := a.authorise(r)
		if err == nil {
			err = next(w, r)
		}
		if err == nil {
			return
		}
		var refused refusal.Refusal
		if !errors.As(err, &refused) {
			refused = refusal.New(refusal.InternalUnexpected, err.Error())
		}
		a.Metrics.Refused(refused.Reason())
		a.Log.WithFields(logrus.Fields{"path": r.URL.Path, "reason": refused.Reason()}).Info("admin_refused")
		refused.Write(w)
	}
}

func (a *Admin) authorise(r *http.Request) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return refusal.New(refusal.NoKey, "send Authorization: Bearer and an operator's key")
	}
	hash := front.HashKey(key)
	if a.OperatorKey != "" && hash == a.OperatorKey {
		return nil
	}
	view := a.Resources.View()
	name, ok := view.Keys[hash]
	switch {
	case !ok:
		return refusal.New(refusal.WrongKey, "the key belongs to no organisation")
	case !view.Organisations[name].Operator:
		return refusal.New(refusal.NotAllowed, name+" is not an operator")
	}
	return nil
}

func (a *Admin) serveList(w http.ResponseWriter, r *http.Request) error {
	view := a.Resources.View()
	kind := mux.Vars(r)["kind"]
	list := wire.ResourceList{Revision: view.Revision, Items: []wire.Resource{}}
	for _, item := range view.Resources {
		if kind == "" || kind == string(item.Kind) {
			list.Items = append(list.Items, withoutEra(item))
		}
	}
	sort.Slice(list.Items, func(i, j int) bool {
		x, y := list.Items[i], list.Items[j]
		return resource.Key(x.Kind, x.Name) < resource.Key(y.Kind, y.Name)
	})
	return send(w, list)
}

func (a *Admin) serveGet(w http.ResponseWriter, r *http.Request) error {
	vars := mux.Vars(r)
	item, ok := a.Resources.View().Resources[vars["kind"]+"/"+vars["name"]]
	if !ok {
		return refusal.New(refusal.UnknownResource, vars["kind"]+"/"+vars["name"])
	}
	return send(w, withoutEra(item))
}

// withoutEra returns a resource as operators get it. They may send it back to a box that does not
// know the field.
func withoutEra(item wire.Resource) wire.Resource {
	item.Era = 0
	return item
}

func (a *Admin) servePut(w http.ResponseWriter, r *http.Request) error {
	raw, err := intake.ReadBody(w, r, intake.Body{Limit: maxBodySize, Until: time.Now().Add(maxBodyTime), RetryAfter: retryAfterFull})
	if err != nil {
		return err
	}
	var item wire.Resource
	if err := a.resource.Decode(raw, &item); err != nil {
		return refusal.New(refusal.BadRequest, "the resource is invalid").WithPlaces(schemacheck.PlacesOf(err))
	}
	vars := mux.Vars(r)
	if string(item.Kind) != vars["kind"] || item.Name != vars["name"] {
		return refusal.New(refusal.BadRequest, "kind or name differ from the path").WithPlaces([]string{"/kind", "/name"})
	}
	return a.write(w, r, item)
}

func (a *Admin) serveDelete(w http.ResponseWriter, r *http.Request) error {
	vars := mux.Vars(r)
	item, ok := a.Resources.View().Resources[vars["kind"]+"/"+vars["name"]]
	if !ok {
		return refusal.New(refusal.UnknownResource, vars["kind"]+"/"+vars["name"])
	}
	if given := r.URL.Query().Get("version"); given != "" {
		version, err := strconv.Atoi(given)
		if err != nil {
			return refusal.New(refusal.BadRequest, "version is not a number").WithPlaces([]string{"?version"})
		}
		item.Version = version
	}
	item.Removed = true
	return a.write(w, r, item)
}

func (a *Admin) write(w http.ResponseWriter, r *http.Request, item wire.Resource) error {
	// The write continues if the operator disconnects.
	done, err := a.Write(context.WithoutCancel(r.Context()), item)
	if err != nil {
		return err
	}
	a.Log.WithFields(logrus.Fields{
		"kind": done.Kind, "name": done.Name, "version": done.Version, "revision": done.Revision, "removed": done.Removed,
	}).Info("resource_accepted")
	return send(w, withoutEra(done))
}

// serveWatch streams each change after a revision. It sends the status with each
// change, and otherwise at every statusInterval.
func (a *Admin) serveWatch(w http.ResponseWriter, r *http.Request) error {
	since, err := strconv.Atoi("0" + r.URL.Query().Get("revision"))
	if err != nil {
		return refusal.New(refusal.BadRequest, "revision is not a number").WithPlaces([]string{"?revision"})
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		changed := a.Resources.Changed()
		set := a.Resources.Since(since)
		var buf []byte
		for _, item := range set.Items {
			buf = sse.AppendEvent(buf, "resource", mustJSON(withoutEra(item)))
		}
		since = max(since, set.Revision)
		buf = sse.AppendEvent(buf, "status", mustJSON(a.Status()))
		if _, err := w.Write(buf); err != nil || control.Flush() != nil {
			return nil // the operator disconnected
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

func (a *Admin) serveStatus(w http.ResponseWriter, _ *http.Request) error { return send(w, a.Status()) }

func (a *Admin) serveDrain(w http.ResponseWriter, _ *http.Request) error {
	a.Drain()
	w.WriteHeader(http.StatusAccepted)
	_, err := fmt.Fprintln(w, "draining")
	return err
}

func send(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(mustJSON(v), '\n')) // the operator may have disconnected
	return nil
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: v is always a wire type
	}
	return b
}
