// Package loadgen is the callers of the soak. Each keeps its connections for as
// long as their box's process lives, and asks again only as the callers'
// protocol lets it.
package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"petrelstep/soak/checker"
	"petrelstep/soak/site"
	"petrelstep/standin/caller"
)

const (
	// patience is how long a caller waits for an answer.
	patience = 8 * time.Second
	// rest is the mean pause between a caller's requests.
	rest = 60 * time.Millisecond
	// againMost bounds how often a request is asked again.
	againMost = 2
	// againWait is the wait before that, where the answer names none.
	againWait = 100 * time.Millisecond
	// crowdEvery and crowdFor are when callers press plain services: three times as often
	// as else, and nothing else meanwhile.
	crowdEvery = 12 * time.Second
	crowdFor   = 4 * time.Second
	crowdTimes = 3
	// oldKeyShare is one in how many requests that still come with the key that
	// was taken away last.
	oldKeyShare = 6
	// targets are how many paths there are of a kind.
	targets = 50
	// boxesMost is how many boxes a caller talks to; it keeps a connection to each.
	boxesMost = 4
	// leaveShare is one in how many requests whose caller leaves early.
	leaveShare = 25
	// slowShare is one in how many callers that pause before they read an answer.
	slowShare = 5
	slowPause = 700 * time.Millisecond
	// endsEvery is how often the request comes under which workers end.
	endsEvery = 400 * time.Millisecond
)

var plain = []checker.Kind{checker.Once, checker.Lookup}

var kinds = []checker.Kind{checker.Draft, checker.Check, checker.Once, checker.Once, checker.Lookup, checker.Lookup}

// Generator is safe for use by several goroutines.
type Generator struct {
	site   *site.Site
	seed   uint64
	crowds bool
	ends   bool

	mu       sync.Mutex
	attempts []checker.Attempt
}

// New returns callers of a site that Run starts. In crowds they press plain services at
// times, and where workers are to end one comes with a request under which they do;
// without, a seed plays what it always did.
func New(s *site.Site, seed uint64, crowds, ends bool) *Generator {
	return &Generator{site: s, seed: seed, crowds: crowds, ends: ends}
}

// Attempts returns all requests that have ended.
func (l *Generator) Attempts() []checker.Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]checker.Attempt(nil), l.attempts...)
}

// Run keeps so many callers at work until ctx ends, and waits for their answers.
func (l *Generator) Run(ctx context.Context, callers int) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { l.caller(ctx, i) })
	}
	if l.ends {
		all.Go(func() { l.endWorkers(ctx) })
	}
	all.Wait()
}

// endWorkers is the caller of the request under which workers end: it comes again and
// again, at any box.
func (l *Generator) endWorkers(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.seed, 1<<32))
	client := caller.New()
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint("ends-", n)
		box := l.site.Boxes[random.IntN(len(l.site.Boxes))]
		asking, cancel := context.WithTimeout(context.Background(), patience)
		l.send(asking, client, box, checker.Attempt{ID: id, Kind: checker.Check, Organisation: "council", Target: site.Target(checker.Check, targets), Body: site.PoisonBody}, l.site.Key("council"), 0)
		cancel()
		time.Sleep(endsEvery)
	}
}

// caller is one task: a connection to each of its boxes, kept open.
func (l *Generator) caller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(number)))
	client := caller.New()
	defer client.Close()
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		from, pause := kinds, rest
		if l.crowds && time.Since(began)%crowdEvery > crowdEvery-crowdFor {
			from, pause = plain, rest/crowdTimes
		}
		kind := from[random.IntN(len(from))]
		for again := range againMost + 1 {
			id := fmt.Sprintf("%s-%d-%d-%d", kind, number, n, again)
			box := l.site.Boxes[(number+random.IntN(boxesMost))%len(l.site.Boxes)]
			wait, more := l.ask(client, random, number, box, kind, id)
			if !more || ctx.Err() != nil {
				break
			}
			time.Sleep(wait)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
	}
}

// ask sends one request, and returns whether it may be asked again, and when.
func (l *Generator) ask(client *caller.Caller, random *rand.Rand, number int, box *site.Box, kind checker.Kind, id string) (wait time.Duration, again bool) {
	organisation := []string{"council", "firm"}[random.IntN(2)]
	key := l.site.Key(organisation)
	if old := l.site.OldKey(organisation); old != "" && random.IntN(oldKeyShare) == 0 {
		key = old
	}
	a := checker.Attempt{ID: id, Kind: kind, Organisation: organisation, Target: site.Target(kind, random.IntN(targets))}
	if kind == checker.Draft || kind == checker.Once {
		a.Body = "body of " + id
	}
	left := patience
	if random.IntN(leaveShare) == 0 {
		left = time.Duration(random.IntN(800)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var pause time.Duration
	if number%slowShare == slowShare-1 && kind.Streams() {
		pause = slowPause
	}
	a, wait = l.send(ctx, client, box, a, key, pause)
	if a.GaveUp || a.Complete && a.Status == http.StatusOK {
		return 0, false
	}
	if wait == 0 {
		wait = againWait
	}
	promised := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
	return wait, promised || kind.Repeatable()
}

// send sends an attempt and keeps what came of it; it returns when to come back.
func (l *Generator) send(ctx context.Context, client *caller.Caller, box *site.Box, a checker.Attempt, key string, pause time.Duration) (ended checker.Attempt, back time.Duration) {
	a.Box, a.Sent = box.Name, time.Now()
	answer := client.Send(ctx, box.Link.Address(), caller.Request{
		ID: a.ID, Host: site.Host(), Target: a.Target, Body: a.Body, Key: key, Wait: patience, Tokens: "900,240", Pause: pause,
	})
	a.Status, a.Sealed, a.Answer, a.Complete = answer.Status, answer.Sealed, answer.Body, answer.Complete
	a.Ended = time.Now()
	a.GaveUp = ctx.Err() != nil
	a.Revoked = l.site.Revoked(key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
	return a, answer.RetryAfter
}
