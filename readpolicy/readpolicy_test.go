package readpolicy_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/readpolicy"
	"petrelstep/tablesync"
)

// boxes is a fixed implementation of readpolicy.Boxes.
type boxes struct {
	joined, reader     bool
	largeFleet         bool
	unlisted           bool // the list of boxes was never read
	rejected           bool // the store rejected the last call for it
	count              int
	answered, promised time.Time
}

func (b boxes) Joined() bool             { return b.joined }
func (b boxes) IsReader() bool           { return b.reader }
func (b boxes) Count() int               { return b.count }
func (b boxes) Listed() bool             { return !b.unlisted }
func (b boxes) Rejected() bool           { return b.rejected }
func (b boxes) IsLargeFleet() bool       { return b.largeFleet }
func (b boxes) AllReaders() bool         { return b.count <= 8 }
func (b boxes) LastHubAnswer() time.Time { return b.answered }
func (b boxes) LastPromised() time.Time  { return b.promised }

const never = -1

func TestNeeded(t *testing.T) {
	tests := map[string]struct {
		boxes    boxes
		answered time.Duration // time since a hub answered; negative for never
		age      time.Duration // of the table; negative if there is none
		cold     bool
		after    time.Duration // since the start
		want     bool
	}{
		"a hub":                                         {boxes: boxes{joined: true, reader: true}, age: 0, want: true},
		"a hub without data":                            {boxes: boxes{joined: true, reader: true}, age: never, want: true},
		"a box without data":                            {boxes: boxes{joined: true}, age: never},
		"a restart, not joined":                         {age: never, want: true},
		"a restart, not listed yet":                     {boxes: boxes{unlisted: true}, age: never, after: 300 * time.Millisecond},
		"a restart, the list cannot be read":            {boxes: boxes{unlisted: true}, age: never, after: 1300 * time.Millisecond, want: true},
		"a restart, the list was rejected":              {boxes: boxes{unlisted: true, rejected: true}, age: never, after: 3900 * time.Millisecond},
		"a restart, the list was rejected for long":     {boxes: boxes{unlisted: true, rejected: true}, age: never, after: 8100 * time.Millisecond, want: true},
		"a large fleet restarts, not joined":            {boxes: boxes{largeFleet: true}, answered: never, age: never, after: 3 * time.Second},
		"a large fleet restarts, cannot join":           {boxes: boxes{largeFleet: true}, answered: never, age: never, after: 8100 * time.Millisecond, want: true},
		"a large fleet restarts, report before joining": {boxes: boxes{largeFleet: true}, age: 2 * time.Second},
		"a large fleet restarts, a hub with data":       {boxes: boxes{largeFleet: true, reader: true}, answered: never, age: 0, want: true},
		"a large fleet restarts, a hub without data":    {boxes: boxes{largeFleet: true, reader: true}, age: never, want: true},
		"a cold start, not joined":                      {age: never, cold: true, after: time.Second},
		"a cold start, cannot join":                     {age: never, cold: true, after: 3100 * time.Millisecond, want: true},
		"a cold start, joined":                          {boxes: boxes{joined: true}, age: never, cold: true, after: time.Second},
		"a cold start, a hub":                           {boxes: boxes{joined: true, reader: true}, age: never, cold: true, after: time.Second, want: true},
		"recent data, not joined":                       {age: 500 * time.Millisecond},
		"older data, cannot join":                       {age: time.Second, want: true},
		"reports of normal age":                         {boxes: boxes{joined: true}, age: 2700 * time.Millisecond},
		"outdated reports, the hubs lost the store":     {boxes: boxes{joined: true}, age: 3800 * time.Millisecond, want: true},
		"no hub answers":                                {boxes: boxes{joined: true}, answered: time.Second, age: time.Second, want: true},
		"no hub answers, recent data":                   {boxes: boxes{joined: true}, answered: time.Second, age: 500 * time.Millisecond},
		"no hub ever answered":                          {boxes: boxes{joined: true}, answered: never, age: time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				age := func(time.Time) (time.Duration, bool) { return tt.age, tt.age >= 0 }
				if tt.answered >= 0 {
					tt.boxes.answered = time.Now().Add(tt.after - tt.answered)
				}
				r := readpolicy.New(&tt.boxes, age, tt.cold, rand.New(rand.NewPCG(1, 1)))
				time.Sleep(tt.after)
				is.New(t).Equal(r.Needed(time.Now()), tt.want)
			})
		})
	}
}

// contact is a fixed implementation of readpolicy.Contact.
type contact struct {
	readers, others   time.Duration // without an answer of the store; negative if unknown
	standby, fallback bool
	phase             time.Duration // negative if unknown
}

func (c contact) ReaderSilence(time.Time) (time.Duration, bool) { return c.readers, c.readers >= 0 }
func (c contact) Silence(time.Time) (time.Duration, bool)       { return c.others, c.readers >= 0 }
func (c contact) Standby() bool                                 { return c.standby }
func (c contact) Fallback() bool                                { return c.fallback }
func (c contact) Phase(time.Time) (time.Duration, bool)         { return c.phase, c.phase >= 0 }

// TestReadersUnanswered checks which boxes read while the store answers no reader, although
// the table was confirmed recently.
func TestReadersUnanswered(t *testing.T) {
	tests := map[string]struct {
		contact contact
		age     time.Duration
		want    readpolicy.Reason
	}{
		"a standby, a reader is answered":         {contact{readers: 800 * time.Millisecond, standby: true, fallback: true}, time.Second, readpolicy.None},
		"a standby, no reader is answered":        {contact{readers: 950 * time.Millisecond, others: 950 * time.Millisecond, standby: true, fallback: true}, time.Second, readpolicy.Standby},
		"a standby, another one is answered":      {contact{readers: 5 * time.Second, standby: true, fallback: true}, time.Second, readpolicy.Standby},
		"a standby, answers of readers unknown":   {contact{readers: -1, others: -1, standby: true, fallback: true}, time.Second, readpolicy.None},
		"another box, no reader is answered":      {contact{readers: 1300 * time.Millisecond, others: 1300 * time.Millisecond, fallback: true}, time.Second, readpolicy.None},
		"another box, a standby is answered":      {contact{readers: 5 * time.Second, others: 500 * time.Millisecond, fallback: true}, time.Second, readpolicy.None},
		"another box, nobody is answered":         {contact{readers: 5 * time.Second, others: 1550 * time.Millisecond, fallback: true}, time.Second, readpolicy.Unread},
		"no hub of a large fleet, nobody":         {contact{readers: 5 * time.Second, others: 5 * time.Second}, time.Second, readpolicy.None},
		"no hub of a large fleet, outdated table": {contact{readers: 5 * time.Second, others: 5 * time.Second}, 3800 * time.Millisecond, readpolicy.Outdated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				age := func(time.Time) (time.Duration, bool) { return tt.age, true }
				b := boxes{joined: true, count: 77, answered: time.Now()}
				p := readpolicy.New(&b, age, false, rand.New(rand.NewPCG(1, 1))).WithContact(tt.contact)
				is.New(t).Equal(p.Reason(time.Now()), tt.want)
			})
		})
	}
}

// TestPeriodicWait checks that calls end at a fixed time of the period that the readers share.
func TestPeriodicWait(t *testing.T) {
	tests := map[string]struct{ phase, want time.Duration }{
		"start of the period":      {0, readpolicy.ReadPeriod},
		"middle of the period":     {400 * time.Millisecond, readpolicy.ReadPeriod - 400*time.Millisecond},
		"too little of it is left": {readpolicy.ReadPeriod - 50*time.Millisecond, readpolicy.ReadPeriod + 50*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := boxes{joined: true, reader: true, count: 77}
			p := readpolicy.New(&b, nil, false, rand.New(rand.NewPCG(1, 1))).WithContact(contact{phase: tt.phase})
			is.New(t).Equal(p.Wait(), tt.want)
		})
	}
}

// TestFirstRead checks how long a box without data waits for a report before it reads.
func TestFirstRead(t *testing.T) {
	tests := map[string]struct {
		cold     bool
		after    time.Duration // since it joined
		promised bool          // a hub promised a report
		want     bool
	}{
		"just started":            {},
		"before the wait is over": {after: 300 * time.Millisecond},
		"no report":               {after: 400 * time.Millisecond, want: true},
		"no report, but promised": {after: 5 * time.Second, promised: true},
		"promised for too long":   {after: 6 * time.Second, promised: true, want: true},
		"a cold start":            {cold: true, after: 1400 * time.Millisecond},
		"a cold start, no report": {cold: true, after: 1600 * time.Millisecond, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				unknown := func(time.Time) (time.Duration, bool) { return 0, false }
				b := &boxes{joined: true}
				r := readpolicy.New(b, unknown, tt.cold, rand.New(rand.NewPCG(1, 1)))
				is.New(t).Equal(r.Needed(time.Now()), false)
				time.Sleep(tt.after)
				if tt.promised {
					b.promised = time.Now().Add(-500 * time.Millisecond)
				}
				is.New(t).Equal(r.Needed(time.Now()), tt.want)
			})
		})
	}
}

// TestLargeFleet checks that the boxes of a large fleet that no hub answers read one
// after the other, none before the hubs can have started, and all before keys are
// refused.
func TestLargeFleet(t *testing.T) {
	tests := map[string]struct {
		hasData  bool
		from, to time.Duration // since the hubs answered, or the box joined
		promised bool
	}{
		"no data":               {from: 4 * time.Second, to: 8 * time.Second},
		"no data, but promised": {from: 6 * time.Second, to: 10 * time.Second, promised: true},
		"data":                  {hasData: true, from: 800 * time.Millisecond, to: 3200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, maxNew, all := readersOf(tt.hasData, tt.promised, tt.to)
				is.True(first >= tt.from)
				is.True(maxNew <= 30)
				is.Equal(all, 300)
			})
		})
	}
}

// readersOf lets 300 boxes run that no hub answers. It returns when the first one
// reads, the largest number that starts within a tenth of a second, and the number that
// reads by a time.
func readersOf(hasData, promised bool, until time.Duration) (first time.Duration, maxNew, all int) {
	start := time.Now()
	b := &boxes{joined: true, largeFleet: true, count: 300}
	age := func(now time.Time) (time.Duration, bool) { return now.Sub(start), hasData }
	random := rand.New(rand.NewPCG(1, 1))
	var policies []*readpolicy.Policy
	for range 300 {
		policies = append(policies, readpolicy.New(b, age, false, random))
	}
	read := map[*readpolicy.Policy]bool{}
	for ; time.Since(start) <= until; time.Sleep(100 * time.Millisecond) {
		if promised {
			b.promised = time.Now()
		}
		more := needed(policies, read)
		if len(read) == more { // the first ones
			first = time.Since(start)
		}
		maxNew = max(maxNew, more)
	}
	return first, maxNew, len(read)
}

// needed adds the policies that need to read now to read, and returns the number of new
// ones.
func needed(all []*readpolicy.Policy, read map[*readpolicy.Policy]bool) int {
	before := len(read)
	for _, r := range all {
		if r.Needed(time.Now()) {
			read[r] = true
		}
	}
	return len(read) - before
}

func TestPace(t *testing.T) {
	tests := map[string]struct {
		boxes boxes
		want  tablesync.Pace
	}{
		"a hub":      {boxes{reader: true, count: 350}, tablesync.Pace{Initial: 100 * time.Millisecond, Max: 1200 * time.Millisecond}},
		"few boxes":  {boxes{count: 10}, tablesync.Pace{Initial: 1200 * time.Millisecond, Max: 1200 * time.Millisecond}},
		"many boxes": {boxes{count: 58}, tablesync.Pace{Initial: 2900 * time.Millisecond, Max: 2900 * time.Millisecond}},
		"350 boxes":  {boxes{count: 350}, tablesync.Pace{Initial: 5 * time.Second, Max: 5 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := readpolicy.New(tt.boxes, nil, false, rand.New(rand.NewPCG(1, 1)))
			is.New(t).Equal(r.Pace(), tt.want)
		})
	}
}

func TestWait(t *testing.T) {
	is := is.New(t)
	alone := readpolicy.New(boxes{count: 7}, nil, false, rand.New(rand.NewPCG(1, 1)))
	forOthers := readpolicy.New(boxes{reader: true, count: 58}, nil, false, rand.New(rand.NewPCG(1, 1)))
	seen := map[time.Duration]bool{}
	for range 20 {
		is.Equal(alone.Wait(), 1200*time.Millisecond)
		w := forOthers.Wait()
		is.True(w >= 700*time.Millisecond && w < 1200*time.Millisecond)
		seen[w] = true
	}
	is.True(len(seen) > 10) // random, so that hubs do not call in step
}
