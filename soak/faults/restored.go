package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"petrelstep/platform/store"
	"petrelstep/soak/site"
	"petrelstep/standin/platform"
)

const (
	// copyInterval is the time between copies of the store's rows.
	copyInterval = 200 * time.Millisecond
	// minCopyAge and maxCopyAge bound the age of the copy that the store comes back from.
	minCopyAge = time.Second
	maxCopyAge = 6 * time.Second
	// maxStoreAway bounds how long the store is away.
	maxStoreAway = time.Second
	// maxRewrite bounds the time after its return in which all that it lost is written again.
	maxRewrite = 1900 * time.Millisecond
	// secondRestoreShare: one in secondRestoreShare restores is followed by another within
	// secondRestoreTime, from the same copy or an older one.
	secondRestoreShare = 3
	secondRestoreTime  = 900 * time.Millisecond
	// changesAround is the number of keys that are revoked around a restore, and of workers that
	// leave.
	changesAround = 9
	// maxOtherWrites bounds the writes to other tables with each row that is written again, by
	// which the store's versions soon pass those it had before.
	maxOtherWrites = 20
	// settleTime is how long the changes go on after a restore.
	settleTime = 4 * time.Second
	// lostLeavingServes is how long a worker serves on whose leaving may be lost: beyond the time
	// in which requests may still reach it.
	lostLeavingServes = 14 * time.Second
)

// restorePlan is a restore of the store and the changes around it.
type restorePlan struct {
	age, away, rewrite time.Duration
	second             time.Duration   // until another restore; 0 for none
	changes            []time.Duration // since the start of the period; the store goes away after age
	started            *site.Box       // starts while the store holds the older copy; nil for none
	down               time.Duration   // how long it was down before
	others             int             // writes to other tables with each row that is written again
	random             *rand.Rand      // draws the order in which rows are written again
}

// copies holds copies of the store's rows. It is safe for concurrent use.
type copies struct {
	mu   sync.Mutex
	list []*platform.Copy
}

// take takes copies until ctx ends.
func (c *copies) take(ctx context.Context, p *platform.Platform) {
	for ctx.Err() == nil {
		c.mu.Lock()
		c.list = append(c.list, p.Copy())
		c.mu.Unlock()
		sleep(ctx, copyInterval)
	}
}

// aged returns the newest copy of at least an age, or the oldest one.
func (c *copies) aged(age time.Duration) *platform.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, copied := range slices.Backward(c.list) {
		if time.Since(copied.At) >= age {
			return copied
		}
	}
	return c.list[0]
}

// RunRestored restores the store from older copies again and again until ctx ends, while keys are
// revoked, workers leave and boxes start.
func (s *Injector) RunRestored(ctx context.Context) error {
	kept := &copies{list: []*platform.Copy{s.site.Platform.Copy()}}
	copying, stop := context.WithCancel(context.WithoutCancel(ctx))
	var all sync.WaitGroup
	all.Go(func() { kept.take(copying, s.site.Platform) })
	defer all.Wait()
	defer stop()
	var changes failures
	for ctx.Err() == nil {
		p := s.drawRestore()
		fmt.Fprintf(s.out, "       the store is restored from a copy %v old, away for %v, written again in %v, again after %v, with each row %d others, %s starts\n", p.age, p.away, p.rewrite, p.second, p.others, p.startedName())
		s.playRestore(ctx, p, kept, &changes)
	}
	changes.Wait()
	return changes.err
}

// drawRestore draws a restore with all its random parameters.
func (s *Injector) drawRestore() restorePlan {
	r := s.restoredRandom
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))).Round(time.Millisecond) }
	p := restorePlan{age: minCopyAge + upTo(maxCopyAge-minCopyAge), away: upTo(maxStoreAway), rewrite: upTo(maxRewrite), down: upTo(maxStoreAway)}
	for range changesAround {
		p.changes = append(p.changes, upTo(p.age+p.away+settleTime))
	}
	second, started, box := r.IntN(secondRestoreShare) == 0, r.IntN(2) == 0, s.site.Boxes[r.IntN(len(s.site.Boxes))]
	if second {
		p.second = upTo(secondRestoreTime)
	}
	if started {
		p.started = box
	}
	p.others = r.IntN(maxOtherWrites)
	p.random = rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	return p
}

func (p restorePlan) startedName() string {
	if p.started == nil {
		return "no box"
	}
	return p.started.Name
}

// failures awaits goroutines and keeps one of their errors.
type failures struct {
	sync.WaitGroup
	mu  sync.Mutex
	err error
}

func (f *failures) goDo(do func() error) {
	f.Go(func() {
		if err := do(); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.err = err
		}
	})
}

// playRestore plays a restore and the changes around it. Workers may still be leaving when it
// returns.
func (s *Injector) playRestore(ctx context.Context, p restorePlan, kept *copies, changes *failures) {
	began := time.Now()
	for i, after := range p.changes {
		changes.goDo(func() error {
			sleep(ctx, after)
			return s.changeOnce(i)
		})
	}
	sleep(ctx, p.age)
	if p.started != nil {
		changes.goDo(func() error { return s.kill(p.started, p.down) })
		time.Sleep(p.down)
	}
	s.restore(p.away, kept.aged(p.age))
	if p.second > 0 {
		s.writeAgain(p, min(p.second, p.rewrite))
		time.Sleep(p.second - p.rewrite)
		s.restore(0, kept.aged(p.age+p.second))
	}
	s.writeAgain(p, p.rewrite)
	s.site.ConfirmLost()
	sleep(ctx, time.Until(began.Add(p.age+p.away+settleTime)))
}

// changeOnce revokes a key, and a worker leaves: each second one without announcing it.
func (s *Injector) changeOnce(number int) error {
	s.site.Revoke([]string{"council", "firm"}[number%2])
	w := s.site.Pick("plain", 0)
	if w == nil {
		return nil
	}
	_, err := s.site.LeaveByRow(w, number%2 == 0, lostLeavingServes)
	return err
}

// restore takes the store away for a time and brings it back from a copy.
func (s *Injector) restore(away time.Duration, copied *platform.Copy) {
	defer s.recordStoreFault(time.Now())
	s.site.SuspendStore()
	time.Sleep(away)
	s.site.RestoreStore(copied)
}

// writeAgain has the operator and the workers write again what the store lost, in a drawn order,
// and ends after a time, though some may be left.
func (s *Injector) writeAgain(p restorePlan, duration time.Duration) {
	lost := s.site.Platform.Lost()
	slices.SortFunc(lost, func(a, b store.Row) int { return strings.Compare(a.Table+a.Key, b.Table+b.Key) })
	p.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	began := time.Now()
	for i, r := range lost {
		due := p.rewrite * time.Duration(i+1) / time.Duration(len(lost))
		if due > duration {
			break
		}
		time.Sleep(time.Until(began.Add(due)))
		s.site.Platform.Rewrite(r)
		for n := range p.others {
			s.site.Platform.Put(store.Row{Table: "others", Key: strconv.Itoa(n)})
		}
	}
	time.Sleep(time.Until(began.Add(duration)))
}
