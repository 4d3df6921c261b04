// Package service is the stand-in for a plain service, with calls that may be repeated and
// calls that may not. It keeps a history of the calls that it ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"petrelstep/wire"
)

// Ran is one call that the service carried out.
type Ran struct {
	Method string
	Path   string
	Body   string
	Token  string // the attempt token that the box sent
}

// Service runs calls and records them. It is safe for use by several goroutines.
type Service struct {
	mu        sync.Mutex
	ran       []Ran
	mode      wire.FaultMode
	delay     time.Duration
	remaining int
	limited   bool
}

// New returns a service without faults.
func New() *Service { return &Service{mode: wire.FaultModeNone} }

// History returns the calls that were carried out, in order.
func (s *Service) History() []Ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Ran{}, s.ran...)
}

// Fault injects a fault: down drops calls before they run, lose_reply drops the response
// after the run, slow delays the run.
func (s *Service) Fault(f wire.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = f.Mode, time.Duration(f.DelayMs)*time.Millisecond
	s.remaining, s.limited = f.Count, f.Count > 0
}

func (s *Service) takeFault() (wire.FaultMode, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := s.mode
	if s.limited && mode != wire.FaultModeNone {
		s.remaining--
		if s.remaining <= 0 {
			s.mode = wire.FaultModeNone
		}
	}
	return mode, s.delay
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f wire.Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Fault(f)
		return
	case "/history":
		_ = json.NewEncoder(w).Encode(s.History())
		return
	}
	s.run(w, r)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete call is not run
	}
	mode, delay := s.takeFault()
	if mode == wire.FaultModeDown {
		panic(http.ErrAbortHandler)
	}
	if mode == wire.FaultModeSlow {
		time.Sleep(delay)
	}
	s.mu.Lock()
	s.ran = append(s.ran, Ran{Method: r.Method, Path: r.URL.Path, Body: string(body), Token: r.Header.Get("Petrelstep-Attempt")})
	n := len(s.ran)
	s.mu.Unlock()
	if mode == wire.FaultModeLoseReply {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "method": r.Method, "serial": n})
}
