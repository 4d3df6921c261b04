package site

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/standin/faultproxy"
	"petrelstep/standin/platform"
	"petrelstep/standin/worker"
)

// Worker is one incarnation of a stand-in worker, behind its link.
type Worker struct {
	*worker.Worker
	ID      string
	Service string
	Hall    string
	Version string // of its software; "" for the one that the site starts with
	Link    *faultproxy.Proxy
	server  *http.Server
	badness *worker.Badness // of its version; nil for none
	endOnce sync.Once       // ended by a fault, or by a poison request

	mu         sync.Mutex
	linkBroken []checker.Span
}

// WhileBroken calls do, which breaks the worker's link, and records the time it takes.
func (w *Worker) WhileBroken(do func()) {
	from := time.Now()
	do()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkBroken = append(w.linkBroken, checker.Span{From: from, Until: time.Now()})
}

// Join starts and announces a new worker of a service, of the version in service.
func (s *Site) Join(service string) error {
	s.mu.Lock()
	w := &Worker{Service: service, Version: s.releases[service]}
	s.mu.Unlock()
	return s.join(w)
}

// replace starts a new worker in place of one, of the same version or, if that is retired, of
// the one in service.
func (s *Site) replace(w *Worker) error {
	return s.join(&Worker{Service: w.Service, Version: w.Version, badness: w.badness})
}

// join starts and announces a worker, in the next hall if it has none.
func (s *Site) join(w *Worker) error {
	s.mu.Lock()
	s.nextID++
	w.ID = fmt.Sprint(w.Service, "-", s.nextID)
	if s.mixed && w.Service == "llm" && w.Version == "" {
		w.Version = fmt.Sprint("m", 1+s.nextID%2)
	}
	if w.Hall == "" {
		w.Hall = halls[s.nextID%len(halls)]
	}
	s.mu.Unlock()
	if err := w.start(); err != nil {
		return err
	}
	s.mu.Lock()
	retired := s.retired[releaseKey(w.Service, w.Version)]
	if s.mended[releaseKey(w.Service, w.Version)] {
		w.EndBadness()
	}
	if !retired {
		s.workers[w.ID] = w
		s.current = append(s.current, w)
	}
	s.mu.Unlock()
	if retired {
		w.end()
		return s.Join(w.Service)
	}
	s.crashOnPoison(w)
	s.announce(w, false)
	return nil
}

// crashOnPoison makes a worker crash when it runs a poison request.
func (s *Site) crashOnPoison(w *Worker) {
	w.CrashOn(PoisonBody, func() {
		s.mu.Lock()
		s.lastPoisonCrash = time.Now()
		s.mu.Unlock()
		if s.isLive(w) {
			go func() { _ = s.Crash(w) }() // if the replacement fails to start, requests go unserved and the run fails
		}
		w.end()
	})
}

// start opens a worker's address and its link.
func (w *Worker) start() error {
	w.Worker = worker.New(w.ID, Events, pace)
	w.SetRelease(w.Version)
	if w.badness != nil {
		w.SetBadness(*w.badness)
	}
	address, server, err := serve(w.Handler())
	if err != nil {
		return err
	}
	w.server = server
	w.Link, err = faultproxy.New(address)
	return err
}

func (s *Site) announce(w *Worker, leaving bool) {
	slots := 0
	if w.Service == "plain" {
		slots = s.plainSlots
	}
	s.Platform.Announce(platform.Worker{
		Slots: slots,
		ID:    w.ID, Service: w.Service, Address: w.Link.Address(), Hall: w.Hall, Version: w.Version, Leaving: leaving, StartedAt: w.StartedAt(),
	})
}

// Restart ends a worker without announcement and starts it again under the same id. With
// silent, its open connections stall instead of being closed.
func (s *Site) Restart(w *Worker, silent bool) error {
	next := &Worker{ID: w.ID, Service: w.Service, Hall: w.Hall, Version: w.Version, badness: w.badness}
	if err := next.start(); err != nil {
		return err
	}
	s.mu.Lock()
	index := slices.Index(s.current, w)
	live := index >= 0 && s.workers[w.ID] == w
	if s.mended[releaseKey(w.Service, w.Version)] {
		next.EndBadness()
	}
	if live {
		s.workers[w.ID], s.current[index] = next, next
		s.past = append(s.past, w)
	}
	s.mu.Unlock()
	if !live { // removed in the meantime
		next.end()
		return nil
	}
	s.crashOnPoison(next)
	if silent {
		w.Link.Mute()
	}
	_ = w.server.Close()
	s.announce(next, false)
	if silent {
		time.Sleep(Notice)
	}
	w.end()
	return nil
}

// CorruptRows puts invalid rows among those of the workers for a while, one of them over a
// live worker's own.
func (s *Site) CorruptRows(w *Worker, duration time.Duration) {
	rows := map[string]string{
		"foreign-1": "\xff\x00", "foreign-2": `{"service":7}`, "foreign-3": `{"service":"llm","address":"nowhere","zone":"leith","slots":-1,"state":"ready"}`,
		"foreign-4": `{"service":"llm","address":"127.0.0.1:9","zone":"leith","slots":4,"state":"resting"}`, w.ID: "{",
	}
	for id, value := range rows {
		s.Platform.PutRow(id, []byte(value))
	}
	time.Sleep(duration)
	for id := range rows {
		if id != w.ID {
			s.Platform.Withdraw(id)
		}
	}
	if s.isLive(w) {
		s.announce(w, false)
	}
}

// isLive reports whether w is the current incarnation of its worker and isn't leaving.
func (s *Site) isLive(w *Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[w.ID] == w
}

// DropRow removes a live worker's row for a while, as if the worker had lost its
// connection to the store.
func (s *Site) DropRow(w *Worker, duration time.Duration) {
	s.Platform.Withdraw(w.ID)
	time.Sleep(duration)
	if s.isLive(w) {
		s.announce(w, false)
	}
}

// Live returns the live workers of a service, oldest first.
func (s *Site) Live(service string) []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*Worker
	for _, w := range s.current {
		if w.Service == service && s.workers[w.ID] == w {
			list = append(list, w)
		}
	}
	return list
}

// Pick returns the live worker of a service at index n, modulo their number; nil if there
// is none.
func (s *Site) Pick(service string, n int) *Worker {
	list := s.Live(service)
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// LeaveByRow starts a replacement, then ends a worker a while after the store has confirmed that
// it leaves. Only its row says so, which is removed at once if the leaving is not announced.
func (s *Site) LeaveByRow(w *Worker, announced bool, notice time.Duration) (checker.Departure, error) {
	if err := s.replace(w); err != nil {
		return checker.Departure{}, err
	}
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	d := s.depart(w, announced)
	time.Sleep(notice)
	s.Platform.Withdraw(w.ID)
	w.end()
	return d, nil
}

// depart writes to a worker's row that it leaves, or removes it.
func (s *Site) depart(w *Worker, announced bool) checker.Departure {
	s.storeThere.RLock()
	defer s.storeThere.RUnlock()
	if announced {
		s.announce(w, true)
	} else {
		s.Platform.Withdraw(w.ID)
	}
	s.confirm(checker.Change{Worker: w.ID})
	return checker.Departure{Worker: w.ID, At: time.Now()}
}

// Leave starts a replacement, then ends a worker after its notice. A worker that doesn't
// announce that it is leaving only loses its row.
func (s *Site) Leave(w *Worker, announced bool) error {
	if err := s.replace(w); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	if announced {
		w.Worker.Leave()
		s.announce(w, true)
	} else {
		s.Platform.Withdraw(w.ID)
	}
	time.Sleep(Notice)
	s.Platform.Withdraw(w.ID)
	w.end()
	return nil
}

// LeaveInResponses starts a replacement, then ends a worker that announces its leaving in its
// responses only.
func (s *Site) LeaveInResponses(w *Worker, notice time.Duration) error {
	if err := s.replace(w); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	w.AnnounceLeaving()
	time.Sleep(notice)
	s.Platform.Withdraw(w.ID)
	w.end()
	return nil
}

// Crash ends a worker without announcement and starts a replacement; the row is removed
// some heartbeats later.
func (s *Site) Crash(w *Worker) error {
	s.mu.Lock()
	delete(s.workers, w.ID)
	s.mu.Unlock()
	w.end()
	if err := s.replace(w); err != nil {
		return err
	}
	time.Sleep(Notice)
	s.Platform.Withdraw(w.ID)
	return nil
}

func (w *Worker) end() {
	w.endOnce.Do(func() {
		_ = w.server.Close()
		w.Link.Close()
	})
}
