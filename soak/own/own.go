// Package own runs callers and operators of petrelstep's own interface against a running
// set, while a script injects faults, and compares the responses that they received with
// the stand-ins' histories of what was run.
package own

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"petrelstep/admin"
	"petrelstep/client"
	"petrelstep/standin/service"
	"petrelstep/standin/text"
	"petrelstep/wire"
)

// Options configure a run.
type Options struct {
	Callers  []string // base URLs of the boxes for callers
	Admins   []string // base URLs of the boxes for operators
	History  string   // URL of the plain service's history
	Key      string   // of a caller
	Admin    string   // key of an operator
	Duration time.Duration
	Seed     uint64
	Workers  int
}

// Result holds the counts of a run. Lost, Twice, Wrong, Reverted and Cut must be zero.
type Result struct {
	Requests, Done, NotRun, Failed, Unknown   int
	Lost, Twice, Wrong, Reverted, Cut, Behind int
}

// String returns the summary line.
func (t Result) String() string {
	return fmt.Sprintf("SOAK requests=%d done=%d not_run=%d failed=%d unknown=%d lost=%d twice=%d wrong=%d reverted=%d cut=%d",
		t.Requests, t.Done, t.NotRun, t.Failed, t.Unknown, t.Lost, t.Twice, t.Wrong, t.Reverted, t.Cut)
}

// Violated reports whether a guarantee was violated.
func (t Result) Violated() bool { return t.Lost+t.Twice+t.Wrong+t.Reverted+t.Cut > 0 }

// Own is one run of load and checks.
type Own struct {
	Options
	callers    *client.Client
	mu         sync.Mutex
	result     Result
	outcomes   map[string]string // outcomes received, in order, by idempotency key
	violations []string
}

// New returns a run; Run starts it.
func New(options Options) *Own {
	return &Own{Options: options, callers: client.New(options.Callers, options.Key), outcomes: map[string]string{}}
}

// Run sends load for the configured duration, waits for all responses, and checks them. It
// returns a line for each violation.
func (s *Own) Run(ctx context.Context) (Result, []string) {
	work, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	var all sync.WaitGroup
	for w := range s.Workers {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(w)))
		all.Go(func() { s.generate(ctx, work, rng, w) })
		all.Go(func() { s.call(ctx, work, rng, w) })
	}
	all.Go(func() { s.checkApplied(ctx, work) })
	all.Go(func() { s.checkMonotonic(work) })
	all.Wait()
	s.checkHistory()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.result, s.violations
}

func (s *Own) count(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Requests++
	switch outcome {
	case "done":
		s.result.Done++
	case "not_run":
		s.result.NotRun++
	case "failed":
		s.result.Failed++
	case "unknown":
		s.result.Unknown++
	default:
		s.result.Lost++
	}
}

// violation counts and records a violation.
func (s *Own) violation(counter *int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// generate requests generations and compares each with the text of its attempt.
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
		s.violation(&s.result.Wrong, "generation %s: %s", out.Generation, out.Wrong)
	}
	if out.Reason == "cut_off" {
		s.violation(&s.result.Lost, "generation of %d tokens was never resumed", out.Tokens)
	}
	if out.Generation == "" {
		return
	}
	for i, t := range got {
		if t != text.Token(out.Generation, i) {
			s.violation(&s.result.Wrong, "generation %s: token %d is of another generation", out.Generation, i)
			return
		}
	}
}

// call sends calls that must not run twice, and retries each with its idempotency key until
// it is done.
func (s *Own) call(ctx, work context.Context, rng *rand.Rand, worker int) {
	for n := 0; work.Err() == nil; n++ {
		key := fmt.Sprintf("notice-%d-%d", worker, n)
		outcome, history := "", ""
		const tries = 6
		for range tries {
			outcome = s.callOnce(ctx, rng, key)
			history += outcome + " "
			if outcome == "done" {
				break
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		s.count(outcome)
		s.mu.Lock()
		s.outcomes[key] = history
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
		return "unknown" // no response
	}
	return "done"
}

// checkApplied updates one resource repeatedly and checks that each accepted revision is in
// force at every ready box within 3 s.
func (s *Own) checkApplied(ctx, work context.Context) {
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
				s.violation(&s.result.Behind, "%s is at revision %d, 3 s after %d was accepted", admin, at, done.Revision)
			}
		}
	}
}

// checkMonotonic checks that no ready box returns to an older revision, even after a restart.
func (s *Own) checkMonotonic(work context.Context) {
	highest := map[string]int{}
	for work.Err() == nil {
		for _, admin := range s.Admins {
			at, ok := s.revision(work, admin)
			if !ok {
				continue
			}
			if at < highest[admin] {
				s.violation(&s.result.Reverted, "%s went back from revision %d to %d", admin, highest[admin], at)
			}
			highest[admin] = max(highest[admin], at)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// configured reports whether a box is ready, but for engines that it has to learn yet.
func configured(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && (resp.StatusCode == http.StatusOK || strings.TrimSpace(string(text)) == admin.Starting)
}

// revision returns the configuration revision in force at a box, and false if the box has
// none or is stopping.
func (s *Own) revision(ctx context.Context, admin string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	box := client.New([]string{admin}, s.Admin)
	defer box.Close()
	var list wire.ResourceList
	if !configured(ctx, admin) {
		return 0, false
	}
	err := box.Call(ctx, http.MethodGet, "/v1/resources/Hall", nil, &list)
	return list.Revision, err == nil
}

// checkHistory compares the outcomes that callers received with what the service ran.
func (s *Own) checkHistory() {
	resp, err := http.Get(s.History)
	if err != nil {
		s.violation(&s.result.Lost, "reading the service's history: %v", err)
		return
	}
	defer resp.Body.Close()
	var ran []service.Ran
	if err := json.NewDecoder(resp.Body).Decode(&ran); err != nil {
		s.violation(&s.result.Lost, "decoding the service's history: %v", err)
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
			s.violation(&s.result.Twice, "%s ran %d times", key, n)
		}
		// not_run refers to a single attempt. The service must never have seen the key only
		// if no attempt with it was done, failed or had an unknown outcome.
		if history := s.outcomes[key]; !strings.Contains(history, "done") && !strings.Contains(history, "unknown") && !strings.Contains(history, "failed") {
			s.violation(&s.result.Wrong, "%s ran despite the outcomes %s", key, history)
		}
	}
	for key, history := range s.outcomes {
		if strings.HasSuffix(history, "done ") && times[key] == 0 {
			s.violation(&s.result.Wrong, "%s was reported done but never ran", key)
		}
	}
}
