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
	r.Handle("/table/transact", p.struckBy(TableWrites, p.struckBy(Table, p.serveTransact).ServeHTTP)).Methods(http.MethodPost)
	r.Handle("/table/row", p.struckBy(Table, p.serveRow)).Methods(http.MethodGet)
	r.Handle("/table/scan", p.struckBy(Table, p.serveScan)).Methods(http.MethodGet)
	r.Handle("/objects/{name:.*}", p.struckBy(Objects, p.serveObject)).Methods(http.MethodGet, http.MethodPut)
	r.Handle("/members", p.struckBy(Members, p.serveMembers)).Methods(http.MethodGet)
	r.Handle("/members", p.struckBy(Members, p.serveJoin)).Methods(http.MethodPost)
	r.Handle("/weights/take", p.struckBy(Weights, p.serveWeights)).Methods(http.MethodPost)
	r.HandleFunc("/faults", p.serveFault).Methods(http.MethodPost)
	return r
}

// struckBy lets the part's fault strike a call: before it for down, after it
// for a lost reply.
func (p *Platform) struckBy(part string, serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mode, delay := p.struck(part)
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

// discard takes an answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (p *Platform) serveTransact(w http.ResponseWriter, r *http.Request) {
	if !p.mayWrite(time.Now()) {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	var t wire.Transaction
	if !decode(w, r, &t) {
		return
	}
	answer(w, p.Transact(t))
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	answer(w, p.Get(r.URL.Query().Get("key")))
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer(w, wire.Rows{Rows: p.Scan(q.Get("prefix"), q.Get("after"))})
}

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

func (p *Platform) serveMembers(w http.ResponseWriter, _ *http.Request) { answer(w, p.List()) }

func (p *Platform) serveJoin(w http.ResponseWriter, r *http.Request) {
	var m wire.Member
	if !decode(w, r, &m) {
		return
	}
	p.change(m, r.URL.Query().Get("gone") == "true")
	answer(w, wire.Nothing{Ok: true})
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
