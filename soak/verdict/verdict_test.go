package verdict_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/verdict"
	"petrelstep/standin/worker"
)

const events = 2

func whole(id string) string {
	return "id: 0\ndata: " + id + " 0\n\nid: 1\ndata: " + id + " 1\n\n"
}

var now = time.Now()

// attempt is a request that is served, changed by change.
func attempt(kind verdict.Kind, change func(*verdict.Attempt)) verdict.Attempt {
	a := verdict.Attempt{
		ID: "r", Kind: kind, Box: "b", Organisation: "council", Target: "/x", Sent: now, Ended: now.Add(time.Second),
		Status: 200, Sealed: true, Complete: true, Answer: "answer to r by w",
	}
	if kind.Streams() {
		a.Answer = whole("r")
	}
	if change != nil {
		change(&a)
	}
	return a
}

// run is its run, changed by change.
func run(change func(*verdict.Ran)) verdict.Ran {
	r := verdict.Ran{Worker: "w", Run: worker.Run{ID: "r", Organisation: "council", Target: "/x", At: now}}
	if change != nil {
		change(&r)
	}
	return r
}

// TestCheck shows that each broken promise is seen, and nothing else is.
func TestCheck(t *testing.T) {
	once := []verdict.Ran{run(nil)}
	again := []verdict.Ran{run(nil), run(func(r *verdict.Ran) { r.Worker = "v" })}
	moved := []verdict.Ran{run(nil), run(func(r *verdict.Ran) { r.From = "10.0.0.1:1/copy" })}
	stop := []verdict.Stop{{Box: "b", From: now.Add(-time.Second), Signal: now.Add(500 * time.Millisecond), Until: now.Add(2 * time.Second)}}
	tests := map[string]struct {
		attempt verdict.Attempt
		runs    []verdict.Ran
		stops   []verdict.Stop
		want    string
	}{
		"a whole answer":                   {attempt(verdict.Once, nil), once, nil, ""},
		"a stream":                         {attempt(verdict.Draft, nil), once, nil, ""},
		"a moved stream":                   {attempt(verdict.Draft, nil), moved, nil, ""},
		"a repeated look":                  {attempt(verdict.Look, nil), again, nil, ""},
		"a refusal":                        {attempt(verdict.Once, func(a *verdict.Attempt) { a.Status = 503 }), nil, nil, ""},
		"a broken stream":                  {attempt(verdict.Draft, func(a *verdict.Attempt) { a.Answer, a.Complete = a.Answer[:20], false }), once, nil, ""},
		"without a seal":                   {attempt(verdict.Once, func(a *verdict.Attempt) { a.Sealed = false }), once, nil, verdict.Mixed},
		"another's answer":                 {attempt(verdict.Once, func(a *verdict.Attempt) { a.Answer = "answer to q by w" }), once, nil, verdict.Mixed},
		"an answer of no run":              {attempt(verdict.Once, nil), nil, nil, verdict.Mixed},
		"a gap":                            {attempt(verdict.Draft, func(a *verdict.Attempt) { a.Answer = a.Answer[len(a.Answer)/2:] }), once, nil, verdict.Order},
		"cut, and complete to see":         {attempt(verdict.Draft, func(a *verdict.Attempt) { a.Answer = a.Answer[:len(a.Answer)/2] }), once, nil, verdict.Order},
		"nobody asked":                     {attempt(verdict.Once, func(a *verdict.Attempt) { a.ID, a.Status = "q", 502 }), once, nil, verdict.Unasked},
		"another organisation's":           {attempt(verdict.Draft, nil), []verdict.Ran{run(func(r *verdict.Ran) { r.Organisation = "firm" })}, nil, verdict.Unasked},
		"another body":                     {attempt(verdict.Draft, nil), []verdict.Ran{run(func(r *verdict.Ran) { r.Body = "x" })}, nil, verdict.Unasked},
		"two runs":                         {attempt(verdict.Draft, nil), again, nil, verdict.Twice},
		"refused, and ran":                 {attempt(verdict.Once, func(a *verdict.Attempt) { a.Status = 503 }), once, nil, verdict.Refused},
		"a key taken away just now":        {attempt(verdict.Once, func(a *verdict.Attempt) { a.Revoked = now.Add(-4 * time.Second) }), once, nil, ""},
		"a key taken away":                 {attempt(verdict.Once, func(a *verdict.Attempt) { a.Revoked = now.Add(-6 * time.Second) }), once, nil, verdict.Revoked},
		"broken off by a planned stop":     {attempt(verdict.Draft, func(a *verdict.Attempt) { a.Answer, a.Complete = "", false }), once, stop, verdict.Cut},
		"its caller left before that stop": {attempt(verdict.Draft, func(a *verdict.Attempt) { a.Answer, a.Complete, a.GaveUp = "", false, true }), once, stop, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := verdict.New(events, 5*time.Second, 3*time.Second).Check([]verdict.Attempt{tt.attempt}, tt.runs, tt.stops, nil)
			if tt.want == "" {
				is.Equal(len(broken), 0)
				return
			}
			is.Equal(len(broken), 1)
			is.Equal(broken[0].Promise, tt.want)
		})
	}
}

// TestClosed shows which runs break the promise of an evacuated hall.
func TestClosed(t *testing.T) {
	evacuated := []verdict.Evacuation{{Hall: "leith", From: now, Until: now.Add(10 * time.Second)}}
	tests := map[string]struct {
		hall string
		at   time.Duration
		want int
	}{
		"before":              {"leith", -time.Second, 0},
		"within its time":     {"leith", 2 * time.Second, 0},
		"later":               {"leith", 4 * time.Second, 1},
		"once it is back":     {"leith", 11 * time.Second, 0},
		"later, another hall": {"gorgie", 4 * time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ran := run(func(r *verdict.Ran) { r.Hall, r.At = tt.hall, now.Add(tt.at) })
			broken := verdict.New(events, 5*time.Second, 3*time.Second).Check([]verdict.Attempt{attempt(verdict.Once, nil)}, []verdict.Ran{ran}, nil, evacuated)
			is := is.New(t)
			is.Equal(len(broken), tt.want)
			is.True(len(broken) == 0 || broken[0].Promise == verdict.Closed)
		})
	}
}
