// Package timeline reads the logs of boxes and tells one request's life in
// order, with what each box that touched it believed meanwhile.
package timeline

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	At     time.Time
	Box    string
	Event  string
	Fields map[string]string
	Text   string // as it was written
}

// lineMost bounds a line, in bytes.
const lineMost = 1 << 20

// Read reads the lines of a log; what is no line of a box is left out. Text
// before the first field is passed over: some collectors put one there.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: fields(text[start:]), Text: text[start:]}
	at, err := time.Parse(time.RFC3339, line.Fields["time"])
	if err != nil || line.Fields["event"] == "" {
		return Line{}, false
	}
	line.At, line.Box, line.Event = at, line.Fields["box"], line.Fields["event"]
	return line, true
}

// fields splits key=value pairs; values may be quoted.
func fields(text string) map[string]string {
	found := map[string]string{}
	for text != "" {
		name, rest, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
		if !ok {
			break
		}
		var value string
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			rest = rest[len(quoted):]
			value, _ = strconv.Unquote(quoted) // a quoted prefix always unquotes
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		found[name], text = value, rest
	}
	return found
}

// beliefs are the events that change what a box believes, or what it can reach.
var beliefs = map[string]bool{
	"configured": true, "upstreams_listed": true, "history_forgotten": true, "store_lost": true, "store_regained": true,
	"peer_lost": true, "peer_regained": true, "draining": true, "started": true, "stopped": true, "upstream_leaves": true,
	"configuration_stale": true, "configuration_confirmed": true, "upstream_rest": true,
}

// before is how long before a request's first line a box's beliefs are told:
// what is older shows in the age that its lines give.
const before = 6 * time.Second

// Of returns the lines of one request, and those between by which the boxes
// that touched it changed their beliefs, in order. Of upstreams only those that
// the request was sent to are told.
func Of(lines []Line, request string) []Line {
	var first, last time.Time
	boxes, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
		boxes[l.Box] = true
		for _, name := range []string{"upstream", "from", "to"} {
			upstreams[l.Fields[name]] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	var life []Line
	for _, l := range lines {
		within := !l.At.Before(first.Add(-before)) && !l.At.After(last)
		belief := beliefs[l.Event] && boxes[l.Box] && within && (l.Event != "upstream_leaves" || upstreams[l.Fields["upstream"]])
		if l.Fields["request"] == request || belief {
			life = append(life, l)
		}
	}
	sort.SliceStable(life, func(i, j int) bool { return life[i].At.Before(life[j].At) })
	return life
}
