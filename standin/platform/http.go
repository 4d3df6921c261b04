package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"petrelstep/wire"
)

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/api/rows-tx", p.serveTx).Methods(http.MethodPost)
	r.HandleFunc("/api/rows-get", p.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/api/rows-feed", p.serveFeed).Methods(http.MethodGet)
	r.Handle("/objects/{name:.*}", p.withFault(Objects, p.serveObject)).Methods(http.MethodGet, http.MethodPut)
	r.Handle("/weights/take", p.withFault(Weights, p.serveWeights)).Methods(http.MethodPost)
	r.HandleFunc("/faults", p.serveFault).Methods(http.MethodPost)
	return p.serveUnlessSuspended(r)
}

// withFault applies a component's fault to a call: before it for down, after it for a lost
// reply.
func (p *Platform) withFault(component string, serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mode, delay := p.nextFault(component)
		switch mode {
		case wire.FaultModeDown:
			http.Error(w, "out of service", http.StatusServiceUnavailable)
			return
		case wire.FaultModeSlow:
			time.Sleep(delay)
		case wire.FaultModeLoseReply:
			serve(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		serve(w, r)
	})
}

// discard discards a response.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.objects[name] = body
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	body, ok := p.objects[name]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) serveWeights(w http.ResponseWriter, _ *http.Request) {
	answer(w, p.TakeWeights(time.Now()))
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f wire.Fault
	if !decode(w, r, &f) {
		return
	}
	p.Fault(f)
	answer(w, wire.Nothing{Ok: true})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
