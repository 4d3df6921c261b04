// Package unknownfields reports headers and fields from other systems that this one does
// not know, and known ones whose values are invalid. An unknown field may be new in the
// other system's protocol and require something of the receiver.
package unknownfields

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxNames bounds the fields of one place that are counted by name; the rest are
	// counted as Other.
	maxNames = 32
	// logInterval is the minimum time between log lines about the same field.
	logInterval = time.Minute
	// maxTextSize bounds a field's name and value in the log, in bytes.
	maxTextSize = 64
)

// Other is the name under which fields beyond the first maxNames are counted.
const Other = "other"

// Counter counts unknown fields, and known fields with invalid values.
type Counter interface {
	UnknownField(place, name string)
	InvalidField(place, name string)
}

// Reporter counts and logs the fields of one place, such as the headers of another
// system's answers. It is safe for use by several goroutines.
type Reporter struct {
	place   string
	known   map[string]bool
	counter Counter
	log     *logrus.Entry

	mu     sync.Mutex
	logged map[string]time.Time // when a field was last logged, by name
}

// New returns a reporter for a place whose known fields are given.
func New(place string, known []string, counter Counter, log *logrus.Entry) *Reporter {
	r := &Reporter{place: place, known: map[string]bool{}, counter: counter, log: log, logged: map[string]time.Time{}}
	for _, name := range known {
		r.known[name] = true
	}
	return r
}

// Observe counts a field if it is unknown, and logs it at most once per logInterval;
// sender names the system that sent it. A nil reporter does nothing.
func (r *Reporter) Observe(now time.Time, sender, name, value string) {
	if r == nil || r.known[name] {
		return
	}
	counted, due := r.record(now, name)
	r.counter.UnknownField(r.place, counted)
	if due {
		r.entry(sender, name, value).Warn("word_unread")
	}
}

// Invalid counts a known field with an invalid value, and logs it at most once per
// logInterval. A nil reporter does nothing.
func (r *Reporter) Invalid(now time.Time, sender, name, value string) {
	if r == nil {
		return
	}
	counted, due := r.record(now, name)
	r.counter.InvalidField(r.place, counted)
	if due {
		r.entry(sender, name, value).Warn("word_unreadable")
	}
}

func (r *Reporter) entry(sender, name, value string) *logrus.Entry {
	return r.log.WithFields(logrus.Fields{"place": r.place, "word": quoted(name), "value": quoted(value), "speaker": sender})
}

// record returns the name under which a field is counted, and whether to log it.
func (r *Reporter) record(now time.Time, name string) (counted string, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, logged := r.logged[name]
	switch {
	case logged && now.Sub(at) < logInterval:
		return name, false
	case !logged && len(r.logged) >= maxNames:
		return Other, false
	}
	r.logged[name] = now
	return name, true
}

// quoted returns the beginning of a text, escaped for the log.
func quoted(text string) string { return strconv.QuoteToASCII(text[:min(len(text), maxTextSize)]) }
