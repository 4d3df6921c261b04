// Package loadgen generates the soak's load. Each caller keeps its connections as long as
// the box's process runs, and retries only as the callers' protocol allows.
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
	// patience is how long a caller waits for a response.
	patience = 8 * time.Second
	// maxResumptions bounds the requests by which a caller resumes a stream.
	maxResumptions = 2
	// meanPause is the mean pause between a caller's requests.
	meanPause = 60 * time.Millisecond
	// maxRetries bounds the retries of a request.
	maxRetries = 2
	// retryWait is the wait before a retry if the response has no Retry-After.
	retryWait = 100 * time.Millisecond
	// In the last burstDuration of each burstInterval callers send requests to the plain
	// service only, burstFactor times as often as usual.
	burstInterval = 12 * time.Second
	burstDuration = 4 * time.Second
	burstFactor   = 3
	// oldKeyShare: one in oldKeyShare requests uses the key revoked last.
	oldKeyShare = 6
	// targets is the number of paths of each kind.
	targets = 50
	// maxBoxes is the number of boxes that a caller keeps a connection to.
	maxBoxes = 4
	// cancelShare: the caller cancels one in cancelShare requests early.
	cancelShare = 25
	// slowShare: one in slowShare callers pauses before it reads a stream.
	slowShare = 5
	slowPause = 700 * time.Millisecond
	// poisonInterval is the pause between poison requests.
	poisonInterval = 400 * time.Millisecond
)

var plainKinds = []checker.Kind{checker.Once, checker.Lookup}

var kinds = []checker.Kind{checker.Draft, checker.Check, checker.Once, checker.Once, checker.Lookup, checker.Lookup}

// Generator runs the callers of a site and records their requests. It is safe for use by
// several goroutines.
type Generator struct {
	site   *site.Site
	seed   uint64
	bursts bool
	poison bool

	mu       sync.Mutex
	attempts []checker.Attempt
}

// New returns a generator for a site. With bursts, callers overload the plain service at
// times; with poison, one more caller sends requests that crash workers. Without them, the
// seeds recorded before these options existed still give the same requests.
func New(s *site.Site, seed uint64, bursts, poison bool) *Generator {
	return &Generator{site: s, seed: seed, bursts: bursts, poison: poison}
}

// Attempts returns all requests that have ended.
func (l *Generator) Attempts() []checker.Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]checker.Attempt(nil), l.attempts...)
}

// Run runs the given number of callers until ctx ends, and waits for their responses.
func (l *Generator) Run(ctx context.Context, callers int) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { l.caller(ctx, i) })
	}
	if l.poison {
		all.Go(func() { l.sendPoison(ctx) })
	}
	all.Wait()
}

// sendPoison sends the poison request repeatedly, each time to a random box.
func (l *Generator) sendPoison(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.seed, 1<<32))
	client := caller.New()
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint("ends-", n)
		box := l.site.Boxes[random.IntN(len(l.site.Boxes))]
		requestCtx, cancel := context.WithTimeout(context.Background(), patience)
		l.send(requestCtx, client, box, checker.Attempt{ID: id, Kind: checker.Check, Organisation: "council", Target: site.Target(checker.Check, targets), Body: site.PoisonBody}, l.site.Key("council"), 0)
		cancel()
		time.Sleep(poisonInterval)
	}
}

// caller sends the requests of one caller over connections to its boxes that it keeps open.
func (l *Generator) caller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(number)))
	client := caller.New()
	defer client.Close()
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		from, pause := kinds, meanPause
		if l.bursts && time.Since(began)%burstInterval > burstInterval-burstDuration {
			from, pause = plainKinds, meanPause/burstFactor
		}
		kind := from[random.IntN(len(from))]
		for retry := range maxRetries + 1 {
			id := fmt.Sprintf("%s-%d-%d-%d", kind, number, n, retry)
			box := l.site.Boxes[(number+random.IntN(maxBoxes))%len(l.site.Boxes)]
			wait, again := l.request(client, random, number, box, kind, id)
			if !again || ctx.Err() != nil {
				break
			}
			time.Sleep(wait)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
	}
}

// request sends one request, and returns whether it may be retried, and after what wait.
func (l *Generator) request(client *caller.Caller, random *rand.Rand, number int, box *site.Box, kind checker.Kind, id string) (wait time.Duration, retry bool) {
	organisation := []string{"council", "firm"}[random.IntN(2)]
	key := l.site.Key(organisation)
	if old := l.site.OldKey(organisation); old != "" && random.IntN(oldKeyShare) == 0 {
		key = old
	}
	a := checker.Attempt{ID: id, Kind: kind, Organisation: organisation, Target: site.Target(kind, random.IntN(targets))}
	if kind == checker.Draft || kind == checker.Once {
		a.Body = "body of " + id
	}
	timeout := patience
	if random.IntN(cancelShare) == 0 {
		timeout = time.Duration(random.IntN(800)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var pause time.Duration
	if number%slowShare == slowShare-1 && kind.Streams() {
		pause = slowPause
	}
	a, wait = l.send(ctx, client, box, a, key, pause)
	if l.site.Mixed() && kind == checker.Check && !a.GaveUp && !a.Complete {
		a, wait = l.resume(ctx, client, random, a, key)
	}
	if a.GaveUp || a.Complete && a.Status == http.StatusOK {
		return 0, false
	}
	if wait == 0 {
		wait = retryWait
	}
	notRun := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
	return wait, notRun || kind.Repeatable()
}

// resume resumes a stream that broke off at other boxes, if the caller has an event of it.
func (l *Generator) resume(ctx context.Context, client *caller.Caller, random *rand.Rand, first checker.Attempt, key string) (last checker.Attempt, retryAfter time.Duration) {
	last = first
	for n := range maxResumptions {
		if last.GaveUp || last.Complete || !last.HasEvent() {
			break
		}
		next := checker.Attempt{ID: fmt.Sprint(first.ID, "-resumed-", n), Kind: first.Kind, Organisation: first.Organisation, Target: first.Target, Resumes: first.ID, After: last.LastEvent()}
		box := l.site.Boxes[random.IntN(len(l.site.Boxes))]
		last, retryAfter = l.send(ctx, client, box, next, key, 0)
	}
	return last, retryAfter
}

// send sends an attempt and records its outcome; it also returns the response's Retry-After.
func (l *Generator) send(ctx context.Context, client *caller.Caller, box *site.Box, a checker.Attempt, key string, pause time.Duration) (ended checker.Attempt, retryAfter time.Duration) {
	a.Box, a.Sent = box.Name, time.Now()
	answer := client.Send(ctx, box.Link.Address(), caller.Request{
		ID: a.ID, Host: site.Host(), Target: a.Target, Body: a.Body, Key: key, Wait: patience, Tokens: "900,240", Pause: pause,
		Resumes: a.Resumes, After: a.After,
	})
	a.Status, a.Sealed, a.Answer, a.Complete = answer.Status, answer.Sealed, answer.Body, answer.Complete
	a.Ended = time.Now()
	a.GaveUp = ctx.Err() != nil
	a.Revoked = l.site.Revoked(key)
	a.Added, a.Dropped = l.site.Versions(key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
	return a, answer.RetryAfter
}
