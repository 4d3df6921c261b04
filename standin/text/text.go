// Package text generates the tokens of stand-in engines. Each token depends only on the
// attempt and the offset, so that a reader can check that all of a stream comes from one
// generation.
package text

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

var words = [...]string{
	"the", "rateable", "value", "of", "this", "property", "follows", "from", "rent", "area", "use", "and",
	"condition", "lesson", "moves", "to", "room", "teacher", "period", "week", "plan", "swap", "holds", "because",
}

// Token returns the text of one token.
func Token(attempt string, offset int) string {
	h := xxhash.Sum64String(attempt + "/" + strconv.Itoa(offset))
	return words[h%uint64(len(words))] + strconv.FormatUint(h>>56, 16) + " "
}

// Hash returns the hexadecimal hash of an attempt's first count tokens, as the last event
// of a stream carries it.
func Hash(attempt string, count int) string {
	d := xxhash.New()
	for i := range count {
		_, _ = d.WriteString(Token(attempt, i))
	}
	return strconv.FormatUint(d.Sum64(), 16)
}
