// Package checker compares the responses that callers received with the requests that
// workers executed. It sees only these two ends of a site, not the boxes between them.
package checker

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"petrelstep/standin/worker"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests, named like their routes.
const (
	Draft  Kind = "draft" // streamed, may run once only
	Check  Kind = "check" // streamed, may be resumed
	Once   Kind = "once"  // not streamed, may run once only
	Lookup Kind = "look"  // not streamed, may be repeated
)

// Streams reports whether responses are streams.
func (k Kind) Streams() bool { return k == Draft || k == Check }

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Check || k == Lookup }

// Attempt is one request as its caller saw it.
type Attempt struct {
	ID           string
	Kind         Kind
	Box          string
	Organisation string
	Target       string
	Body         string
	Sent         time.Time
	Ended        time.Time
	Revoked      time.Time // when its key was revoked before it was sent; zero if it was not
	Added        int       // configuration that added its key
	Dropped      int       // configuration that dropped its key; 0 if it was not dropped before the response ended
	Status       int       // 0 without a response
	Sealed       bool
	Answer       string // body as far as received
	Complete     bool   // the response ended normally
	GaveUp       bool   // the caller cancelled or timed out

	Resumes string // id of the attempt whose stream it resumes; empty for none
	After   int    // the last event that the caller had
}

// First returns the id of the event that is due first.
func (a Attempt) First() int {
	if a.Resumes == "" {
		return 0
	}
	return a.After + 1
}

// HasEvent reports whether the caller has a whole event of the answer.
func (a Attempt) HasEvent() bool { return strings.Contains(a.Answer, "\n\n") }

// LastEvent returns the id of the last whole event.
func (a Attempt) LastEvent() int { return a.First() + strings.Count(a.Answer, "\n\n") - 1 }

// release matches the release that a worker names in an event.
var release = regexp.MustCompile(regexp.QuoteMeta(worker.ReleaseMark) + `(\S+)\n`)

// releases returns the releases of which the caller holds events.
func (a Attempt) releases() (names []string) {
	for _, match := range release.FindAllStringSubmatch(a.Answer, -1) {
		if !slices.Contains(names, match[1]) {
			names = append(names, match[1])
		}
	}
	return names
}

// checkReleases returns a violation for each stream that holds events of several releases, in
// one answer or over its caller's attempts.
func checkReleases(attempts []Attempt) (violations []Violation) {
	streams := map[string][]string{}
	for _, a := range attempts {
		if a.Kind.Streams() && a.Status == http.StatusOK {
			id := cmp.Or(a.Resumes, a.ID)
			streams[id] = append(streams[id], a.releases()...)
		}
	}
	for id, names := range streams {
		slices.Sort(names)
		if names = slices.Compact(names); len(names) > 1 {
			violations = append(violations, Violation{Releases, id, "holds events of " + strings.Join(names, " and ")})
		}
	}
	return violations
}

// Execution is one run of a request at a worker.
type Execution struct {
	Worker      string
	Incarnation int64 // of the worker
	Hall        string
	Region      string
	worker.Run
}

// Stop is a planned stop of a box with no other fault active.
type Stop struct {
	Box    string
	From   time.Time // no other fault was active from then on
	Signal time.Time
	Until  time.Time
}

// Evacuation is the evacuation of a hall with no other fault active.
type Evacuation struct {
	Hall  string
	From  time.Time // written to the store
	Until time.Time // cancelled
}

// The guarantees that are checked.
const (
	Mixed       = "MIXED"    // a response that no worker sent, or that belongs to another request
	Order       = "ORDER"    // a stream with a gap or repeat, or truncated but marked complete
	Releases    = "RELEASES" // a stream with events of several releases
	Unrequested = "UNASKED"  // a run that no caller requested
	Duplicate   = "TWICE"    // a second run of a request that may run once only
	Refused     = "REFUSED"  // a run of a request that was reported as not run
	Revoked     = "REVOKED"  // a run for a revoked key
	CutOff      = "CUT"      // a response interrupted by a planned stop
	Evacuated   = "CLOSED"   // a run begun in an evacuated hall
	Limits      = "LIMIT"    // a worker got more requests than its announced limit
	Poison      = "ENDS"     // a poison request crashed too many workers
	Drain       = "DRAIN"    // a worker got requests long after it had announced leaving to the box or the store
	Config      = "CONFIG"   // a run for a key that was revoked long ago, at a box that can learn it
	Backoff     = "REST"     // a worker got requests during a backoff that it had announced to the box

	Exposure   = "EXPOSURE" // a bad version got too many requests until its time limit
	RolledBack = "ROLLBACK" // a bad version got requests long after its bad answers
	Outcome    = "OUTCOME"  // a roll-out that ended not at all, or in two ways
	Late       = "LATE"     // a good version was not completed by its time limit, in calm
	Stopped    = "STOPPED"  // a request was sent to a worker that had stopped on completion
	Lost       = "LOST"     // a request was lost as a roll-out completed, in calm
	Region     = "REGION"   // a run outside the regions allowed for its organisation
)

// Violation is one violated guarantee.
type Violation struct {
	Guarantee string
	Request   string
	Detail    string
}

// String returns the violation as one line.
func (b Violation) String() string { return b.Guarantee + " " + b.Request + ": " + b.Detail }

// Checker checks the histories of one site.
type Checker struct {
	events          int           // in each stream
	revocationBound time.Duration // how long a revoked key may be accepted
	evacuationBound time.Duration // how long an evacuated hall may get runs
}

// New returns a checker for streams of the given number of events, with bounds on how long
// a revoked key may be accepted and an evacuated hall may get runs.
func New(events int, key, hall time.Duration) *Checker {
	return &Checker{events: events, revocationBound: key, evacuationBound: hall}
}

// runsInEvacuated returns a violation for each run begun in an evacuated hall.
func (c *Checker) runsInEvacuated(ran []Execution, evacuations []Evacuation) []Violation {
	var violations []Violation
	for _, r := range ran {
		for _, e := range evacuations {
			if after := r.At.Sub(e.From); r.Hall == e.Hall && after > c.evacuationBound && r.At.Before(e.Until) {
				violations = append(violations, Violation{Evacuated, r.ID, fmt.Sprintf("begun in %s %v after its evacuation", r.Hall, after)})
			}
		}
	}
	return violations
}

// Check returns the violations in the histories.
func (c *Checker) Check(attempts []Attempt, ran []Execution, stops []Stop, evacuations []Evacuation) []Violation {
	runs := map[string][]Execution{}
	for _, r := range ran {
		runs[r.ID] = append(runs[r.ID], r)
	}
	violations := append(c.runsInEvacuated(ran, evacuations), checkReleases(attempts)...)
	requested := map[string]bool{}
	for _, a := range attempts {
		requested[a.ID] = true
		for _, check := range []func(Attempt, []Execution) (string, string){c.checkAnswer, checkRunOnce, checkRefused, checkUnchanged, c.checkRevoked} {
			if guarantee, detail := check(a, runs[a.ID]); guarantee != "" {
				violations = append(violations, Violation{guarantee, a.ID, detail})
			}
		}
		for _, s := range stops {
			if detail := cutByStop(a, s); detail != "" {
				violations = append(violations, Violation{CutOff, a.ID, detail})
			}
		}
	}
	for id := range runs {
		if !requested[id] {
			violations = append(violations, Violation{Unrequested, id, "no caller sent it"})
		}
	}
	return violations
}

// checkAnswer compares a successful response with the text that the workers produce.
func (c *Checker) checkAnswer(a Attempt, runs []Execution) (guarantee, detail string) {
	if a.Status != http.StatusOK {
		return "", ""
	}
	if !a.Sealed {
		return Mixed, "success without a seal"
	}
	if a.Kind.Streams() {
		return c.checkStream(a)
	}
	if !a.Complete {
		return "", ""
	}
	for _, r := range runs {
		if a.Answer == "answer to "+a.ID+" by "+r.Worker {
			return "", ""
		}
	}
	return Mixed, fmt.Sprintf("response %q matches none of its %d runs", a.Answer, len(runs))
}

func (c *Checker) checkStream(a Attempt) (guarantee, detail string) {
	var whole strings.Builder
	for i := a.First(); i < c.events; i++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s %d\n\n", i, a.ID, i)
	}
	answer := withoutReleases(a.Answer)
	switch {
	case !strings.HasPrefix(whole.String(), answer):
		return Order, fmt.Sprintf("%d bytes received are not a prefix of its stream", len(a.Answer))
	case a.Complete && len(answer) < whole.Len():
		return Order, "ended as complete without its last event"
	}
	return "", ""
}

// withoutReleases returns an answer without the releases that its events name, the last of which
// may not have come whole.
func withoutReleases(answer string) string {
	answer = release.ReplaceAllString(answer, "\n")
	last := strings.LastIndex(answer, "\n") + 1
	line, _, _ := strings.Cut(answer[last:], worker.ReleaseMark)
	for n := len(worker.ReleaseMark) - 1; n > 0; n-- {
		if cut, ok := strings.CutSuffix(line, worker.ReleaseMark[:n]); ok {
			line = cut
			break
		}
	}
	return answer[:last] + line
}

func checkRunOnce(a Attempt, runs []Execution) (guarantee, detail string) {
	begun := 0
	for _, r := range runs {
		if r.From == "" {
			begun++
		}
	}
	if begun > 1 && !a.Kind.Repeatable() {
		return Duplicate, fmt.Sprintf("%d runs", begun)
	}
	return "", ""
}

func checkRefused(a Attempt, runs []Execution) (guarantee, detail string) {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
	default:
		return "", ""
	}
	if a.Kind.Repeatable() || len(runs) == 0 {
		return "", ""
	}
	return Refused, fmt.Sprintf("status %d, but it ran at %s", a.Status, runs[0].Worker)
}

func checkUnchanged(a Attempt, runs []Execution) (guarantee, detail string) {
	for _, r := range runs {
		if r.Organisation != a.Organisation || r.Target != a.Target || r.Body != a.Body {
			return Unrequested, fmt.Sprintf("ran as %s %s %q", r.Organisation, r.Target, r.Body)
		}
	}
	return "", ""
}

func (c *Checker) checkRevoked(a Attempt, runs []Execution) (guarantee, detail string) {
	if len(runs) == 0 || a.Revoked.IsZero() || a.Sent.Sub(a.Revoked) <= c.revocationBound {
		return "", ""
	}
	return Revoked, fmt.Sprintf("sent %v after its key was revoked", a.Sent.Sub(a.Revoked))
}

// cutByStop describes how a planned stop interrupted a response that had begun, or returns
// "" if it did not.
func cutByStop(a Attempt, s Stop) string {
	if a.Box != s.Box || a.Complete || a.GaveUp || a.Status != http.StatusOK {
		return ""
	}
	if a.Sent.Before(s.From) || a.Ended.Before(s.Signal) || a.Ended.After(s.Until) {
		return ""
	}
	return fmt.Sprintf("interrupted %v after the signal", a.Ended.Sub(s.Signal))
}
