// Package unknownfields notices words of another system that this one does not read. Such a
// word may be new to the other system's protocol and bind whoever hears it.
package unknownfields

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// wordsMost bounds the words of one place that are counted by name; the rest are
	// counted as Other.
	wordsMost = 32
	// noteEvery is how often the same word is logged.
	noteEvery = time.Minute
	// textMost bounds a word and its value in the log, in bytes.
	textMost = 64
)

// Other stands for words beyond the first wordsMost.
const Other = "other"

// Counter counts words that are not read, and values that cannot be.
type Counter interface {
	UnknownField(place, word string)
	InvalidField(place, word string)
}

// Reporter is that of one place, such as the heads of one system's answers. It is safe
// for use by several goroutines.
type Reporter struct {
	place   string
	known   map[string]bool
	counter Counter
	log     *logrus.Entry

	mu    sync.Mutex
	noted map[string]time.Time // when a word was last logged
}

// New returns the vocabulary of a place whose words are known.
func New(place string, known []string, counter Counter, log *logrus.Entry) *Reporter {
	v := &Reporter{place: place, known: map[string]bool{}, counter: counter, log: log, noted: map[string]time.Time{}}
	for _, word := range known {
		v.known[word] = true
	}
	return v
}

// Observe counts a word that is not known, and logs it once a minute; speaker names who said
// it. A nil vocabulary knows every word.
func (v *Reporter) Observe(now time.Time, speaker, word, value string) {
	if v == nil || v.known[word] {
		return
	}
	counted, due := v.note(now, word)
	v.counter.UnknownField(v.place, counted)
	if due {
		v.line(speaker, word, value).Warn("word_unread")
	}
}

// Invalid counts a known word whose value cannot be read, and logs it once a minute.
func (v *Reporter) Invalid(now time.Time, speaker, word, value string) {
	if v == nil {
		return
	}
	counted, due := v.note(now, word)
	v.counter.InvalidField(v.place, counted)
	if due {
		v.line(speaker, word, value).Warn("word_unreadable")
	}
}

func (v *Reporter) line(speaker, word, value string) *logrus.Entry {
	return v.log.WithFields(logrus.Fields{"place": v.place, "word": quoted(word), "value": quoted(value), "speaker": speaker})
}

// note returns the name under which a word is counted, and whether it is to be logged.
func (v *Reporter) note(now time.Time, word string) (counted string, due bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, noted := v.noted[word]
	switch {
	case noted && now.Sub(at) < noteEvery:
		return word, false
	case !noted && len(v.noted) >= wordsMost:
		return Other, false
	}
	v.noted[word] = now
	return word, true
}

// quoted returns the beginning of a text as it may stand in a line.
func quoted(text string) string { return strconv.QuoteToASCII(text[:min(len(text), textMost)]) }
