// Package own keeps callers and operators at work on a running set with
// petrelstep's own interface while something else strikes it, and checks what they were told against what the
// stand-ins' own histories say was run.
package own

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"petrelstep/client"
	"petrelstep/standin/service"
	"petrelstep/standin/text"
	"petrelstep/wire"
)

// Options say whom to work on.
type Options struct {
	Callers  []string // base URLs
	Admins   []string
	History  string // URL of the plain service's history
	Key      string // of a caller
	Admin    string // key of an operator
	Duration time.Duration
	Seed     uint64
	Workers  int
}

// Result is what came of it. Lost, Twice, Wrong, Reverted and Cut must be zero.
type Result struct {
	Requests, Done, NotRun, Failed, Unknown   int
	Lost, Twice, Wrong, Reverted, Cut, Behind int
}

// String returns the closing line.
func (t Result) String() string {
	return fmt.Sprintf("SOAK requests=%d done=%d not_run=%d failed=%d unknown=%d lost=%d twice=%d wrong=%d reverted=%d cut=%d",
		t.Requests, t.Done, t.NotRun, t.Failed, t.Unknown, t.Lost, t.Twice, t.Wrong, t.Reverted, t.Cut)
}

// Violated tells whether a promise was broken.
func (t Result) Violated() bool { return t.Lost+t.Twice+t.Wrong+t.Reverted+t.Cut > 0 }

// Own is one run.
type Own struct {
	Options
	callers *client.Client
	mu      sync.Mutex
	tally   Result
	told    map[string]string // endings told, in order, by key of a call
	notes   []string
}

// New returns a run that Run starts.
func New(options Options) *Own {
	return &Own{Options: options, callers: client.New(options.Callers, options.Key), told: map[string]string{}}
}

// Run works until its time is over, waits for all answers, and checks them.
func (s *Own) Run(ctx context.Context) (Result, []string) {
	work, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	var all sync.WaitGroup
	for w := range s.Workers {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(w)))
		all.Go(func() { s.generate(ctx, work, rng, w) })
		all.Go(func() { s.call(ctx, work, rng, w) })
	}
	all.Go(func() { s.declare(ctx, work) })
	all.Go(func() { s.watch(work) })
	all.Wait()
	s.checkHistory()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally, s.notes
}

func (s *Own) count(ending string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Requests++
	switch ending {
	case "done":
		s.tally.Done++
	case "not_run":
		s.tally.NotRun++
	case "failed":
		s.tally.Failed++
	case "unknown":
		s.tally.Unknown++
	default:
		s.tally.Lost++
	}
}

// broken notes a broken promise.
func (s *Own) broken(counter *int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

// generate asks for generations and holds each against its attempt's own text.
func (s *Own) generate(ctx, work context.Context, rng *rand.Rand, worker int) {
	for n := 0; work.Err() == nil; n++ {
		req := wire.GenerationRequest{
			Model: "assessor", Prompt: fmt.Sprintf("draft %d of worker %d", n, worker), Class: "draft",
			MaxTokens: 2000, DeadlineMs: 20000, Deliver: "stream",
		}
		if rng.IntN(3) == 0 {
			req.Deliver = "whole"
		}
		var got []string
		out := s.callers.Generate(ctx, rng.IntN(len(s.Callers)), req, func(t string) { got = append(got, t) })
		s.count(out.Ending)
		s.checkTokens(out, got)
		wait := max(out.RetryAfter, 20*time.Millisecond)
		time.Sleep(min(wait, 500*time.Millisecond))
	}
}

func (s *Own) checkTokens(out client.Outcome, got []string) {
	if out.Wrong != "" || out.Ending == "done" && !out.Whole {
		s.broken(&s.tally.Wrong, "generation %s: %s", out.Generation, out.Wrong)
	}
	if out.Reason == "cut_off" {
		s.broken(&s.tally.Lost, "generation of %d tokens was never taken up", out.Tokens)
	}
	if out.Generation == "" {
		return
	}
	for i, t := range got {
		if t != text.Token(out.Generation, i) {
			s.broken(&s.tally.Wrong, "generation %s: token %d is of another", out.Generation, i)
			return
		}
	}
}

// call sends calls that must not be repeated, each again and again with its
// key until its outcome is settled.
func (s *Own) call(ctx, work context.Context, rng *rand.Rand, worker int) {
	for n := 0; work.Err() == nil; n++ {
		key := fmt.Sprintf("notice-%d-%d", worker, n)
		ending, trail := "", ""
		const tries = 6
		for range tries {
			ending = s.callOnce(ctx, rng, key)
			trail += ending + " "
			if ending == "done" {
				break
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		s.count(ending)
		s.mu.Lock()
		s.told[key] = trail
		s.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

func (s *Own) callOnce(ctx context.Context, rng *rand.Rand, key string) string {
	body, _ := json.Marshal(map[string]string{"key": key})
	status, _, err := s.callers.Service(ctx, rng.IntN(len(s.Callers)), http.MethodPost, "portal/notices", key, body)
	var refused *client.Error
	switch {
	case errors.As(err, &refused):
		return string(refused.Body.Ending)
	case err != nil || status == 0:
		return "unknown" // no answer came
	}
	return "done"
}

// declare writes one resource over and over and looks whether what was
// accepted is in force at each ready box within 3 s.
func (s *Own) declare(ctx, work context.Context) {
	const inForce = 3 * time.Second
	admins := client.New(s.Admins, s.Admin)
	for n := 0; work.Err() == nil; n++ {
		time.Sleep(time.Second)
		var now, done wire.Resource
		const path = "/v1/resources/Hall/musselburgh"
		if admins.Call(ctx, http.MethodGet, path, nil, &now) != nil {
			continue
		}
		now.Spec = json.RawMessage(fmt.Sprintf(`{"region":"r%d"}`, n))
		if admins.Call(ctx, http.MethodPut, path, now, &done) != nil {
			continue
		}
		time.Sleep(inForce)
		for _, admin := range s.Admins {
			if at, ok := s.revision(ctx, admin); ok && at < done.Revision {
				s.broken(&s.tally.Behind, "%s is at revision %d, 3 s after %d was accepted", admin, at, done.Revision)
			}
		}
	}
}

// watch looks that no ready box ever goes back to an older revision, restarts
// included.
func (s *Own) watch(work context.Context) {
	highest := map[string]int{}
	for work.Err() == nil {
		for _, admin := range s.Admins {
			at, ok := s.revision(work, admin)
			if !ok {
				continue
			}
			if at < highest[admin] {
				s.broken(&s.tally.Reverted, "%s went back from revision %d to %d", admin, highest[admin], at)
			}
			highest[admin] = max(highest[admin], at)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// revision returns the configuration in force at a box that says it is ready.
func (s *Own) revision(ctx context.Context, admin string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	one := client.New([]string{admin}, s.Admin)
	defer one.Close()
	var list wire.ResourceList
	if one.Call(ctx, http.MethodGet, "/readyz", nil, nil) != nil {
		return 0, false
	}
	err := one.Call(ctx, http.MethodGet, "/v1/resources/Hall", nil, &list)
	return list.Revision, err == nil
}

// checkHistory holds what callers were told against what the service ran.
func (s *Own) checkHistory() {
	resp, err := http.Get(s.History)
	if err != nil {
		s.broken(&s.tally.Lost, "no history: %v", err)
		return
	}
	defer resp.Body.Close()
	var ran []service.Ran
	if err := json.NewDecoder(resp.Body).Decode(&ran); err != nil {
		s.broken(&s.tally.Lost, "no history: %v", err)
		return
	}
	times := map[string]int{}
	for _, r := range ran {
		var body struct{ Key string }
		if strings.HasSuffix(r.Path, "/notices") && json.Unmarshal([]byte(r.Body), &body) == nil {
			times[body.Key]++
		}
	}
	for key, n := range times {
		if n > 1 {
			s.broken(&s.tally.Twice, "%s ran %d times", key, n)
		}
		// not_run speaks of the one sending. Only where no sending of the key
		// ended open, or without an answer, must the service never have seen it.
		if trail := s.told[key]; !strings.Contains(trail, "done") && !strings.Contains(trail, "unknown") && !strings.Contains(trail, "failed") {
			s.broken(&s.tally.Wrong, "%s was told %sand ran", key, trail)
		}
	}
	for key, trail := range s.told {
		if strings.HasSuffix(trail, "done ") && times[key] == 0 {
			s.broken(&s.tally.Wrong, "%s was told done and never ran", key)
		}
	}
}
