package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/soak/checker"
	"petrelstep/standin/worker"
)

const events = 2

func whole(id string) string {
	return "id: 0\ndata: " + id + " 0\n\nid: 1\ndata: " + id + " 1\n\n"
}

var now = time.Now()

// attempt is a request that is served, changed by change.
func attempt(kind checker.Kind, change func(*checker.Attempt)) checker.Attempt {
	a := checker.Attempt{
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
func run(change func(*checker.Execution)) checker.Execution {
	r := checker.Execution{Worker: "w", Run: worker.Run{ID: "r", Organisation: "council", Target: "/x", At: now}}
	if change != nil {
		change(&r)
	}
	return r
}

// TestCheck shows that each broken promise is seen, and nothing else is.
func TestCheck(t *testing.T) {
	once := []checker.Execution{run(nil)}
	again := []checker.Execution{run(nil), run(func(r *checker.Execution) { r.Worker = "v" })}
	moved := []checker.Execution{run(nil), run(func(r *checker.Execution) { r.From = "10.0.0.1:1/copy" })}
	stop := []checker.Stop{{Box: "b", From: now.Add(-time.Second), Signal: now.Add(500 * time.Millisecond), Until: now.Add(2 * time.Second)}}
	tests := map[string]struct {
		attempt checker.Attempt
		runs    []checker.Execution
		stops   []checker.Stop
		want    string
	}{
		"a whole answer":                   {attempt(checker.Once, nil), once, nil, ""},
		"a stream":                         {attempt(checker.Draft, nil), once, nil, ""},
		"a moved stream":                   {attempt(checker.Draft, nil), moved, nil, ""},
		"a repeated look":                  {attempt(checker.Lookup, nil), again, nil, ""},
		"a refusal":                        {attempt(checker.Once, func(a *checker.Attempt) { a.Status = 503 }), nil, nil, ""},
		"a broken stream":                  {attempt(checker.Draft, func(a *checker.Attempt) { a.Answer, a.Complete = a.Answer[:20], false }), once, nil, ""},
		"without a seal":                   {attempt(checker.Once, func(a *checker.Attempt) { a.Sealed = false }), once, nil, checker.Mixed},
		"another's answer":                 {attempt(checker.Once, func(a *checker.Attempt) { a.Answer = "answer to q by w" }), once, nil, checker.Mixed},
		"an answer of no run":              {attempt(checker.Once, nil), nil, nil, checker.Mixed},
		"a gap":                            {attempt(checker.Draft, func(a *checker.Attempt) { a.Answer = a.Answer[len(a.Answer)/2:] }), once, nil, checker.Order},
		"cut, and complete to see":         {attempt(checker.Draft, func(a *checker.Attempt) { a.Answer = a.Answer[:len(a.Answer)/2] }), once, nil, checker.Order},
		"nobody asked":                     {attempt(checker.Once, func(a *checker.Attempt) { a.ID, a.Status = "q", 502 }), once, nil, checker.Unrequested},
		"another organisation's":           {attempt(checker.Draft, nil), []checker.Execution{run(func(r *checker.Execution) { r.Organisation = "firm" })}, nil, checker.Unrequested},
		"another body":                     {attempt(checker.Draft, nil), []checker.Execution{run(func(r *checker.Execution) { r.Body = "x" })}, nil, checker.Unrequested},
		"two runs":                         {attempt(checker.Draft, nil), again, nil, checker.Duplicate},
		"refused, and ran":                 {attempt(checker.Once, func(a *checker.Attempt) { a.Status = 503 }), once, nil, checker.Refused},
		"a key taken away just now":        {attempt(checker.Once, func(a *checker.Attempt) { a.Revoked = now.Add(-4 * time.Second) }), once, nil, ""},
		"a key taken away":                 {attempt(checker.Once, func(a *checker.Attempt) { a.Revoked = now.Add(-6 * time.Second) }), once, nil, checker.Revoked},
		"broken off by a planned stop":     {attempt(checker.Draft, func(a *checker.Attempt) { a.Answer, a.Complete = "", false }), once, stop, checker.CutOff},
		"its caller left before that stop": {attempt(checker.Draft, func(a *checker.Attempt) { a.Answer, a.Complete, a.GaveUp = "", false, true }), once, stop, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := checker.New(events, 5*time.Second, 3*time.Second).Check([]checker.Attempt{tt.attempt}, tt.runs, tt.stops, nil)
			if tt.want == "" {
				is.Equal(len(broken), 0)
				return
			}
			is.Equal(len(broken), 1)
			is.Equal(broken[0].Guarantee, tt.want)
		})
	}
}

// TestClosed shows which runs break the promise of an evacuated hall.
func TestClosed(t *testing.T) {
	evacuated := []checker.Evacuation{{Hall: "leith", From: now, Until: now.Add(10 * time.Second)}}
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
			ran := run(func(r *checker.Execution) { r.Hall, r.At = tt.hall, now.Add(tt.at) })
			broken := checker.New(events, 5*time.Second, 3*time.Second).Check([]checker.Attempt{attempt(checker.Once, nil)}, []checker.Execution{ran}, nil, evacuated)
			is := is.New(t)
			is.Equal(len(broken), tt.want)
			is.True(len(broken) == 0 || broken[0].Guarantee == checker.Evacuated)
		})
	}
}
