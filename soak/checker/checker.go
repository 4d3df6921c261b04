// Package checker holds what callers were told against what workers ran. It
// sees only both ends of a site, as the users do.
package checker

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"petrelstep/standin/worker"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests, named like their routes.
const (
	Draft  Kind = "draft" // a stream that may run once
	Check  Kind = "check" // a stream that may be resumed
	Once   Kind = "once"  // a whole answer, may run once
	Lookup Kind = "look"  // a whole answer, may be repeated
)

// Streams tells whether answers are streams.
func (k Kind) Streams() bool { return k == Draft || k == Check }

// Repeatable tells whether a request may run more than once.
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
	Revoked      time.Time // when its key was taken away, before it was sent; zero if it was not
	Status       int       // 0 without an answer
	Sealed       bool
	Answer       string // as far as it came
	Complete     bool   // it ended as a whole answer does
	GaveUp       bool   // the caller left
}

// Execution is one run at a worker.
type Execution struct {
	Worker      string
	Incarnation int64 // of the worker
	Hall        string
	worker.Run
}

// Stop is a planned stop of a box with nothing else wrong.
type Stop struct {
	Box    string
	From   time.Time // nothing was wrong from then on
	Signal time.Time
	Until  time.Time
}

// Evacuation is that of a hall with nothing else wrong.
type Evacuation struct {
	Hall  string
	From  time.Time // the store has it
	Until time.Time // it is taken back
}

// Promises are those that are checked.
const (
	Mixed       = "MIXED"   // an answer that is not the worker's, or of another request
	Order       = "ORDER"   // a stream with a gap, a repeat, or cut but complete to see
	Unrequested = "UNASKED" // a run of what no caller asked
	Duplicate   = "TWICE"   // a second run of what may run once
	Refused     = "REFUSED" // told that it was not run, and it ran
	Revoked     = "REVOKED" // served by a key that was taken away
	CutOff      = "CUT"     // a planned stop broke it off
	Evacuated   = "CLOSED"  // a run begun in an evacuated hall
	Limits      = "LIMIT"   // a worker got more than it named
	Poison      = "ENDS"    // a request under which workers end reached too many
	Drain       = "DRAIN"   // a worker got requests long after it had told the box that it leaves
	Rest        = "REST"    // a worker got requests in a rest that it had asked the box for
)

// Violation is one broken promise.
type Violation struct {
	Guarantee string
	Request   string
	Detail    string
}

// String returns a line.
func (b Violation) String() string { return b.Guarantee + " " + b.Request + ": " + b.Detail }

// Checker checks histories of one site.
type Checker struct {
	events int           // in a stream
	key    time.Duration // that a key may be served after it was taken away
	hall   time.Duration // that a hall may get runs after it was evacuated
}

// New returns a verdict over streams of so many events.
func New(events int, key, hall time.Duration) *Checker {
	return &Checker{events: events, key: key, hall: hall}
}

// closed returns the runs that began in a hall while it was evacuated.
func (v *Checker) closed(ran []Execution, evacuations []Evacuation) []Violation {
	var broken []Violation
	for _, r := range ran {
		for _, e := range evacuations {
			if late := r.At.Sub(e.From); r.Hall == e.Hall && late > v.hall && r.At.Before(e.Until) {
				broken = append(broken, Violation{Evacuated, r.ID, fmt.Sprintf("begun in %s %v after its evacuation", r.Hall, late)})
			}
		}
	}
	return broken
}

// Check returns what is broken.
func (v *Checker) Check(attempts []Attempt, ran []Execution, stops []Stop, evacuations []Evacuation) []Violation {
	runs := map[string][]Execution{}
	for _, r := range ran {
		runs[r.ID] = append(runs[r.ID], r)
	}
	broken := v.closed(ran, evacuations)
	asked := map[string]bool{}
	for _, a := range attempts {
		asked[a.ID] = true
		for _, check := range []func(Attempt, []Execution) (string, string){v.answer, runOnce, refused, asAsked, v.revoked} {
			if promise, detail := check(a, runs[a.ID]); promise != "" {
				broken = append(broken, Violation{promise, a.ID, detail})
			}
		}
		for _, s := range stops {
			if detail := cut(a, s); detail != "" {
				broken = append(broken, Violation{CutOff, a.ID, detail})
			}
		}
	}
	for id := range runs {
		if !asked[id] {
			broken = append(broken, Violation{Unrequested, id, "no caller sent it"})
		}
	}
	return broken
}

// answer holds a success against the worker's own text.
func (v *Checker) answer(a Attempt, runs []Execution) (promise, detail string) {
	if a.Status != http.StatusOK {
		return "", ""
	}
	if !a.Sealed {
		return Mixed, "a success without a seal"
	}
	if a.Kind.Streams() {
		return v.stream(a)
	}
	if !a.Complete {
		return "", ""
	}
	for _, r := range runs {
		if a.Answer == "answer to "+a.ID+" by "+r.Worker {
			return "", ""
		}
	}
	return Mixed, fmt.Sprintf("answered %q by none of its %d runs", a.Answer, len(runs))
}

func (v *Checker) stream(a Attempt) (promise, detail string) {
	var whole strings.Builder
	for i := range v.events {
		fmt.Fprintf(&whole, "id: %d\ndata: %s %d\n\n", i, a.ID, i)
	}
	switch {
	case !strings.HasPrefix(whole.String(), a.Answer):
		return Order, fmt.Sprintf("%d bytes are no beginning of its stream", len(a.Answer))
	case a.Complete && len(a.Answer) < whole.Len():
		return Order, "ended as complete before its last event"
	}
	return "", ""
}

func runOnce(a Attempt, runs []Execution) (promise, detail string) {
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

func refused(a Attempt, runs []Execution) (promise, detail string) {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
	default:
		return "", ""
	}
	if a.Kind.Repeatable() || len(runs) == 0 {
		return "", ""
	}
	return Refused, fmt.Sprintf("told %d, and ran at %s", a.Status, runs[0].Worker)
}

func asAsked(a Attempt, runs []Execution) (promise, detail string) {
	for _, r := range runs {
		if r.Organisation != a.Organisation || r.Target != a.Target || r.Body != a.Body {
			return Unrequested, fmt.Sprintf("ran as %s %s %q", r.Organisation, r.Target, r.Body)
		}
	}
	return "", ""
}

func (v *Checker) revoked(a Attempt, runs []Execution) (promise, detail string) {
	if len(runs) == 0 || a.Revoked.IsZero() || a.Sent.Sub(a.Revoked) <= v.key {
		return "", ""
	}
	return Revoked, fmt.Sprintf("sent %v after its key was taken away", a.Sent.Sub(a.Revoked))
}

// cut tells whether a planned stop broke an answer off: one that had begun, at
// a box without any other trouble.
func cut(a Attempt, s Stop) string {
	if a.Box != s.Box || a.Complete || a.GaveUp || a.Status != http.StatusOK {
		return ""
	}
	if a.Sent.Before(s.From) || a.Ended.Before(s.Signal) || a.Ended.After(s.Until) {
		return ""
	}
	return fmt.Sprintf("broken off %v after the signal", a.Ended.Sub(s.Signal))
}
