// Package worker is the stand-in for the workers of the users' platform, as
// far as the published calls go that petrelstep makes: requests with plain and
// streamed answers, reports, and moves of a run's memory. Each fault that the
// pages name can be put into the next answers.
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Fault is what befalls one answer.
type Fault string

// The faults of answers.
const (
	None      Fault = ""
	Full      Fault = "full"       // 503 with the mark that nothing ran
	Busy      Fault = "busy"       // 503 without it
	Failure   Fault = "failure"    // its own 500, which counts as run
	Reset     Fault = "reset"      // the connection is cut before the answer
	Cut       Fault = "cut"        // in the middle of the answer
	Unsealed  Fault = "unsealed"   // a success without a seal
	Foreign   Fault = "foreign"    // the answer to another request
	Extra     Fault = "extra"      // bytes after the answer's end
	Unframed  Fault = "unframed"   // no length; ends with its connection
	NotHTTP   Fault = "not_http"   // bytes that are no answer
	Early     Fault = "early"      // refused before the body was read
	LostReply Fault = "lost_reply" // it ran, and its answer is lost
)

// Run is one request that the worker has begun to work on.
type Run struct {
	ID           string
	Method       string
	Target       string
	Body         string
	Organisation string
	DeadlineMs   int // ms that it was given
	From         string
	After        string
	Header       http.Header
	At           time.Time
}

// Arrival is one request that has reached the worker, and what the answer said.
type Arrival struct {
	ID      string
	At      time.Time
	Leaving bool
	Backoff time.Duration // that was asked for as the request was turned away
}

type state struct {
	events  int           // made so far
	stop    chan struct{} // closed by the last of a move
	stopped bool
}

// Worker is safe for use by several goroutines.
type Worker struct {
	id     string
	events int
	pace   time.Duration
	born   time.Time

	mu      sync.Mutex
	faults  []Fault
	runs    []Run
	came    []Arrival
	streams map[string]*state
	copies  map[string]int // events made, by handle
	leaving bool           // its report says so
	says    bool           // its answers do
	rests   time.Time      // it turns all away until then
	noRoom  bool
	limit   string // that its answers name; empty for none
	endsOn  string // a body; empty for none
	end     func()
}

// New returns a worker with an id, whose streams have so many events, one each
// pace. One that starts again under its id is made anew.
func New(id string, events int, pace time.Duration) *Worker {
	return &Worker{id: id, events: events, pace: pace, born: time.Now(), streams: map[string]*state{}, copies: map[string]int{}}
}

// StartedAt returns when it started, in Unix milliseconds.
func (w *Worker) StartedAt() int64 { return w.born.UnixMilli() }

// Next puts faults into the answers that come next.
func (w *Worker) Next(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, faults...)
}

// Leave makes its report and all its answers say that it leaves.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving, w.says = true, true
}

// AnnounceLeaving makes its answers say that it leaves, and nothing else.
func (w *Worker) AnnounceLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.says = true
}

// Backoff lets it turn all away for a time, and ask for as much rest as is left of it.
func (w *Worker) Backoff(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rests = time.Now().Add(d)
}

// Arrivals returns the requests that have reached it.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.came...)
}

// arrive notes a request, and returns for how long it is to be left alone instead.
func (w *Worker) arrive(id string) (rest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	rest = max(w.rests.Sub(now), 0)
	w.came = append(w.came, Arrival{ID: id, At: now, Leaving: w.says, Backoff: rest})
	return rest
}

// RefuseCopies makes it refuse copies.
func (w *Worker) RefuseCopies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noRoom = true
}

// SetLimit lets its answers name a limit, as it stands; empty for none.
func (w *Worker) SetLimit(limit string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// speak puts what the worker says of itself into an answer's head.
func (w *Worker) speak(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit != "" {
		out.Header().Set("Server-Limit", w.limit)
	}
	if w.says {
		out.Header().Set("Server-Leaving", "1")
	}
}

// CrashOn lets the worker call end, which is to end it without a word, once it has begun
// to run a request with a body.
func (w *Worker) CrashOn(body string, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endsOn, w.end = body, end
}

// Runs returns what it has worked on.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Handler serves the worker's protocol.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/api/report", w.serveReport).Methods(http.MethodGet)
	r.HandleFunc("/api/kv-move", w.serveMove).Methods(http.MethodPost)
	r.HandleFunc("/api/kv-handle/{id}", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodDelete)
	r.PathPrefix("/").HandlerFunc(w.serve)
	return r
}

func (w *Worker) serveReport(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.speak(out)
	w.mu.Lock()
	defer w.mu.Unlock()
	state, left := "ready", 0
	if w.leaving {
		state, left = "draining", 1700
	}
	writeJSON(out, map[string]any{"state": state, "leaves_ms": left, "queued": 1, "running": len(w.streams), "kv_used": 4100, "kv_total": 9000, "born": w.StartedAt()})
}

func writeJSON(out http.ResponseWriter, v any) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(v)
}

func (w *Worker) serveMove(out http.ResponseWriter, r *http.Request) {
	var ask struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		http.Error(out, "no JSON", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.streams[ask.ID]
	switch {
	case !ok:
		http.Error(out, "no such run", http.StatusNotFound)
	case w.noRoom:
		http.Error(out, "no room", http.StatusServiceUnavailable)
	default:
		if ask.Last && !s.stopped {
			s.stopped = true
			close(s.stop)
		}
		handle := "copy-" + ask.ID
		w.copies[handle] = s.events
		writeJSON(out, map[string]any{"session": handle, "made": s.events})
	}
}

// fault takes the fault of the next answer.
func (w *Worker) fault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return None
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.speak(out)
	if rest := w.arrive(id); rest > 0 {
		out.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fault := w.fault()
	if fault == Full || fault == Early {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")) // 0 shows that there was none
	w.mu.Lock()
	w.runs = append(w.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body), Organisation: r.Header.Get("Tenant"), DeadlineMs: left,
		From: r.Header.Get("Kv-From"), After: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(),
		At: time.Now(),
	})
	ends := w.endsOn != "" && string(body) == w.endsOn
	w.mu.Unlock()
	if ends {
		time.Sleep(w.pace)
		w.end()
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.stream(out, r, id, fault)
		return
	}
	time.Sleep(w.pace) // it works on a whole answer as long as on an event
	w.whole(out, id, fault)
}

// whole answers with a body that names the request and the worker.
func (w *Worker) whole(out http.ResponseWriter, id string, fault Fault) {
	body := "answer to " + id + " by " + w.id
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + w.id + "\r\n"
	for _, word := range []string{"Server-Limit", "Server-Leaving"} { // in all its answers
		if said := out.Header().Get(word); said != "" {
			head += word + ": " + said + "\r\n"
		}
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	switch fault {
	case None:
		out.Header().Set("Response-Seal", "seal-"+w.id)
		_, _ = io.WriteString(out, body)
	case Busy:
		out.WriteHeader(http.StatusServiceUnavailable)
	case Failure:
		out.Header().Set("Response-Seal", "seal-"+w.id)
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(out, "failed")
	case Unsealed:
		_, _ = io.WriteString(out, body)
	case Reset, LostReply:
		panic(http.ErrAbortHandler)
	case Cut:
		raw(out, head+length+body[:5])
	case Foreign:
		raw(out, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: seal\r\n"+length+body)
	case Extra:
		raw(out, head+length+body+"HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 5\r\n\r\nextra")
	case Unframed:
		raw(out, head+"Connection: close\r\n\r\n"+body)
	case NotHTTP:
		raw(out, "\x00\x01 what is this\r\n\r\n")
	}
}

// raw writes bytes as they are and closes the connection.
func raw(out http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// stream makes events until all are made or the run is stopped by a move.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id string, fault Fault) {
	if fault == Reset {
		panic(http.ErrAbortHandler)
	}
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	s := &state{events: first, stop: make(chan struct{})}
	w.mu.Lock()
	w.streams[id] = s
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.streams, id)
		w.mu.Unlock()
	}()
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Response-Seal", "seal-"+w.id)
	control := http.NewResponseController(out)
	for i := first; i < w.events; i++ {
		select {
		case <-s.stop:
			panic(http.ErrAbortHandler) // the stream closes without its end
		case <-r.Context().Done():
			return
		case <-time.After(w.pace):
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", i, id, i)
		_ = control.Flush()
		w.mu.Lock()
		s.events = i + 1
		w.mu.Unlock()
		if fault == Cut && i == first+1 {
			_, _ = io.WriteString(out, "id: 9")
			panic(http.ErrAbortHandler)
		}
	}
}
