// Package worker is the stand-in for the workers of the users' platform. It implements the
// published calls that petrelstep makes: requests with plain and streamed responses,
// reports, and moves of a run's memory. Faults can be injected into its next responses.
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

// Fault is a fault of one response.
type Fault string

// The faults of responses.
const (
	None      Fault = ""
	Full      Fault = "full"       // 503 with Not-Executed
	Busy      Fault = "busy"       // 503 without Not-Executed
	Failure   Fault = "failure"    // the worker's own 500, which counts as run
	Reset     Fault = "reset"      // connection closed before the response
	Cut       Fault = "cut"        // connection closed within the response
	Unsealed  Fault = "unsealed"   // success without a seal
	Foreign   Fault = "foreign"    // response to another request
	Extra     Fault = "extra"      // bytes after the response's end
	Unframed  Fault = "unframed"   // no Content-Length; ends with the connection
	NotHTTP   Fault = "not_http"   // not an HTTP response
	Early     Fault = "early"      // rejected before the body was read
	LostReply Fault = "lost_reply" // run, but the response is lost
	Hang      Fault = "hang"       // no response until the caller leaves
)

// ReleaseMark precedes the release in an event of a worker that names it.
const ReleaseMark = " by "

// Run is one request that the worker has begun to work on.
type Run struct {
	ID           string
	Method       string
	Target       string
	Body         string
	Organisation string
	DeadlineMs   int // 0 if missing
	From         string
	After        string
	Header       http.Header
	At           time.Time
}

// Arrival is one request that has reached the worker, with the announcements in its response.
type Arrival struct {
	ID      string
	At      time.Time
	Leaving bool
	Backoff time.Duration // announced as the request was rejected
	Stopped bool          // arrived after Stop
	BadAt   time.Time     // end of a response affected by Badness; zero for others
	Spared  bool          // Badness would affect the response, if it had not been ended
}

type streamState struct {
	events  int           // generated so far
	stop    chan struct{} // closed by the last call of a move
	stopped bool
}

// Worker is a stand-in worker. It is safe for use by several goroutines.
type Worker struct {
	id        string
	events    int
	pace      time.Duration
	startedAt time.Time
	release   string // named in each event of streams; empty for none

	mu              sync.Mutex
	faults          []Fault
	runs            []Run
	arrivals        []Arrival
	streams         map[string]*streamState
	copies          map[string]int // events generated, by handle
	leaving         bool           // announced in reports
	announceLeaving bool           // announced in responses
	backoffUntil    time.Time      // all requests are rejected until then
	refuseCopies    bool
	limit           string // announced in responses; empty for none
	crashOn         string // body of a request that crashes it; empty for none
	crash           func()
	stoppedAt       time.Time // zero until Stop
	badness         *Badness  // nil for none
	received        int       // requests that badness counts
	running         int
	brittle         *Brittleness // nil: it bears any number of rejections
	inSlots         int          // requests accepted
	rejections      []rejection  // in the last second
	falls           []Fall
	downUntil       time.Time // crashed until then
}

// New returns a worker whose streams have the given number of events at an interval of pace.
// Each incarnation of an id needs a new worker.
func New(id string, events int, pace time.Duration) *Worker {
	return &Worker{id: id, events: events, pace: pace, startedAt: time.Now(), streams: map[string]*streamState{}, copies: map[string]int{}}
}

// SetRelease makes the worker name a release in each event of its streams. It must be called
// before the worker serves.
func (w *Worker) SetRelease(release string) { w.release = release }

// StartedAt returns the start time in Unix milliseconds.
func (w *Worker) StartedAt() int64 { return w.startedAt.UnixMilli() }

// Next injects faults into the next responses, one each.
func (w *Worker) Next(faults ...Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, faults...)
}

// Leave makes the worker announce leaving in its report and all responses.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving, w.announceLeaving = true, true
}

// AnnounceLeaving makes the worker announce leaving in its responses only.
func (w *Worker) AnnounceLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announceLeaving = true
}

// Backoff makes the worker reject all requests for d, with the remaining time in Retry-After.
func (w *Worker) Backoff(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backoffUntil = time.Now().Add(d)
}

// Arrivals returns the requests that have reached the worker.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// recordArrival records a request, and returns its index and the remaining backoff if it is to
// be rejected.
func (w *Worker) recordArrival(id string) (index int, backoff time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	backoff = max(w.backoffUntil.Sub(now), 0)
	w.arrivals = append(w.arrivals, Arrival{ID: id, At: now, Leaving: w.announceLeaving, Backoff: backoff, Stopped: !w.stoppedAt.IsZero()})
	return len(w.arrivals) - 1, backoff
}

// Stop makes the worker close the connections of all further requests without a response, as
// if it had ended. Requests that still arrive are recorded.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stoppedAt = time.Now()
}

// Stopped returns when Stop was called; the zero time if it was not.
func (w *Worker) Stopped() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stoppedAt
}

// RefuseCopies makes the worker reject copies of runs for lack of memory.
func (w *Worker) RefuseCopies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuseCopies = true
}

// SetLimit sets the limit announced in responses, sent unchanged; empty for none.
func (w *Worker) SetLimit(limit string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// writeAnnouncements sets the response headers that announce the limit and leaving.
func (w *Worker) writeAnnouncements(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit != "" {
		out.Header().Set("Server-Limit", w.limit)
	}
	if w.announceLeaving {
		out.Header().Set("Server-Leaving", "1")
	}
	w.announceBrittle(out)
}

// CrashOn makes the worker call crash, which has to end it, once it has begun to run a request
// with the given body.
func (w *Worker) CrashOn(body string, crash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashOn, w.crash = body, crash
}

// Runs returns the requests that the worker has begun to work on.
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
	w.writeAnnouncements(out)
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
	var call struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		http.Error(out, "no JSON", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.streams[call.ID]
	switch {
	case !ok:
		http.Error(out, "no such run", http.StatusNotFound)
	case w.refuseCopies:
		http.Error(out, "no room", http.StatusServiceUnavailable)
	default:
		if call.Last && !s.stopped {
			s.stopped = true
			close(s.stop)
		}
		handle := "copy-" + call.ID
		w.copies[handle] = s.events
		writeJSON(out, map[string]any{"session": handle, "made": s.events})
	}
}

// takeFault removes and returns the fault of the next response.
func (w *Worker) takeFault() Fault {
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
	w.writeAnnouncements(out)
	index, backoff := w.recordArrival(id)
	if !w.Stopped().IsZero() {
		panic(http.ErrAbortHandler)
	}
	if w.rejectBackoff(out, backoff) || w.rejectBrittle(out, id) {
		return
	}
	defer w.returnSlot()
	fault, slowdown, bad := w.takeFault(), Slowdown{}, false
	if fault == None {
		var end func()
		fault, slowdown, end = w.applyBadness(r, index)
		defer end()
		bad = fault != None
	}
	if fault == Full || fault == Early {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == Early200 {
		w.breakOff(out, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.recordRun(r, id, string(body)) {
		time.Sleep(w.pace)
		w.crash()
		panic(http.ErrAbortHandler)
	}
	if w.sendInvalid(out, id, fault) || w.fail(out, r, id, fault, bad) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.stream(out, r, id, fault, slowdown)
		return
	}
	time.Sleep(slowdown.first(w.pace)) // a plain response takes as long as one event
	w.whole(out, id, fault)
}

// rejectBackoff rejects a request if there is a backoff left, and reports whether it did.
func (w *Worker) rejectBackoff(out http.ResponseWriter, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	out.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// recordRun records a request that the worker begins to work on, and reports whether it crashes
// the worker.
func (w *Worker) recordRun(r *http.Request, id, body string) (crashes bool) {
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")) // 0 if missing
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Body: body, Organisation: r.Header.Get("Tenant"), DeadlineMs: deadline,
		From: r.Header.Get("Kv-From"), After: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(),
		At: time.Now(),
	})
	return w.crashOn != "" && body == w.crashOn
}

// whole sends a plain response that names the request and the worker.
func (w *Worker) whole(out http.ResponseWriter, id string, fault Fault) {
	body := "answer to " + id + " by " + w.id
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + w.id + "\r\n"
	for _, name := range []string{"Server-Limit", "Server-Leaving", "Server-Brittle"} { // set by writeAnnouncements
		if value := out.Header().Get(name); value != "" {
			head += name + ": " + value + "\r\n"
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
		writeRaw(out, head+length+body[:5])
	case Foreign:
		writeRaw(out, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: seal\r\n"+length+body)
	case Extra:
		writeRaw(out, head+length+body+"HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 5\r\n\r\nextra")
	case Unframed:
		writeRaw(out, head+"Connection: close\r\n\r\n"+body)
	case NotHTTP:
		writeRaw(out, "\x00\x01 what is this\r\n\r\n")
	}
}

// writeRaw writes raw bytes to the connection and closes it.
func writeRaw(out http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// releaseSuffix returns the end of each event.
func (w *Worker) releaseSuffix() string {
	if w.release == "" {
		return ""
	}
	return ReleaseMark + w.release
}

// stream sends events until all are sent or a move stops the run.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id string, fault Fault, slowdown Slowdown) {
	if fault == Reset {
		panic(http.ErrAbortHandler)
	}
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	s := &streamState{events: first, stop: make(chan struct{})}
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
	interval := slowdown.first(w.pace)
	for i := first; i < w.events; i++ {
		select {
		case <-s.stop:
			panic(http.ErrAbortHandler) // closes the stream without its end
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
		interval = slowdown.next(w.pace)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d%s\n\n", i, id, i, w.releaseSuffix())
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
