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
func (c counts) UnknownField(place, name string) { c[place+"/"+name]++ }

// InvalidField implements unknownfields.Counter.
func (c counts) InvalidField(place, name string) { c["invalid "+place+"/"+name]++ }

// TestObserve checks which fields are counted and how often they are logged.
func TestObserve(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		names    []string
		interval time.Duration // between fields
		count    map[string]int
		lines    int
	}{
		"known":                  {[]string{"Date"}, 0, map[string]int{}, 0},
		"unknown":                {[]string{"Moves"}, 0, map[string]int{"heads/Moves": 1}, 1},
		"repeated":               {[]string{"Moves", "Moves"}, time.Second, map[string]int{"heads/Moves": 2}, 1},
		"a minute later":         {[]string{"Moves", "Moves"}, time.Minute, map[string]int{"heads/Moves": 2}, 2},
		"line break in the name": {[]string{"a\nb=c"}, 0, map[string]int{"heads/a\nb=c": 1}, 1},
		"two unknown":            {[]string{"Moves", "Parts"}, 0, map[string]int{"heads/Moves": 1, "heads/Parts": 1}, 2},
		"other case":             {[]string{"date"}, 0, map[string]int{"heads/date": 1}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			c := counts{}
			v := unknownfields.New("heads", []string{"Date"}, c, logs.New(&out, "info", "b"))
			for i, name := range tt.names {
				v.Observe(now.Add(time.Duration(i)*tt.interval), "u1", name, "1")
			}
			is.Equal(map[string]int(c), tt.count)
			is.Equal(strings.Count(out.String(), "event=word_unread"), tt.lines)
			is.Equal(strings.Count(out.String(), "\n"), tt.lines)
		})
	}
}

// TestObserveBounded guards against unbounded metric series and log lines if another
// system sends many or large fields.
func TestObserveBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := counts{}
	v := unknownfields.New("heads", nil, c, logs.New(&out, "info", "b"))
	for i := range 1000 {
		v.Observe(time.Now(), "u1", fmt.Sprint("field", i), strings.Repeat("x", 1<<20))
	}
	is.Equal(len(c), 33)
	is.Equal(c["heads/"+unknownfields.Other], 1000-32)
	is.True(out.Len() < 32*400)
	var none *unknownfields.Reporter
	none.Observe(time.Now(), "u1", "field", "")
	none.Invalid(time.Now(), "u1", "field", "")
}
