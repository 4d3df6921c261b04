package unknownfields_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/logs"
	"petrelstep/unknownfields"
)

type counts map[string]int

// UnknownField implements unknownfields.Counter.
func (c counts) UnknownField(place, word string) { c[place+"/"+word]++ }

// InvalidField implements unknownfields.Counter.
func (c counts) InvalidField(place, word string) { c["unreadable "+place+"/"+word]++ }

// TestHear shows which words are counted and logged.
func TestHear(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		words []string
		after time.Duration // between them
		count map[string]int
		lines int
	}{
		"a known one":     {[]string{"Date"}, 0, map[string]int{}, 0},
		"a new one":       {[]string{"Moves"}, 0, map[string]int{"heads/Moves": 1}, 1},
		"again":           {[]string{"Moves", "Moves"}, time.Second, map[string]int{"heads/Moves": 2}, 1},
		"a minute later":  {[]string{"Moves", "Moves"}, time.Minute, map[string]int{"heads/Moves": 2}, 2},
		"what is no word": {[]string{"a\nb=c"}, 0, map[string]int{"heads/a\nb=c": 1}, 1},
		"two of them":     {[]string{"Moves", "Parts"}, 0, map[string]int{"heads/Moves": 1, "heads/Parts": 1}, 2},
		"other letters":   {[]string{"date"}, 0, map[string]int{"heads/date": 1}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			c := counts{}
			v := unknownfields.New("heads", []string{"Date"}, c, logs.New(&out, "info", "b"))
			for i, word := range tt.words {
				v.Observe(now.Add(time.Duration(i)*tt.after), "u1", word, "1")
			}
			is.Equal(map[string]int(c), tt.count)
			is.Equal(strings.Count(out.String(), "event=word_unread"), tt.lines)
			is.Equal(strings.Count(out.String(), "\n"), tt.lines)
		})
	}
}

// TestHearBounded bounds the series and lines that another system's words can make.
func TestHearBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := counts{}
	v := unknownfields.New("heads", nil, c, logs.New(&out, "info", "b"))
	for i := range 1000 {
		v.Observe(time.Now(), "u1", fmt.Sprint("word", i), strings.Repeat("x", 1<<20))
	}
	is.Equal(len(c), 33)
	is.Equal(c["heads/"+unknownfields.Other], 1000-32)
	is.True(out.Len() < 32*400)
	var none *unknownfields.Reporter
	none.Observe(time.Now(), "u1", "word", "")
	none.Invalid(time.Now(), "u1", "word", "")
}
