// Package timeline reads the logs of boxes and returns the lines of one request in order,
// with the state changes of the boxes that handled it.
package timeline

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Line is a parsed log line of a box.
type Line struct {
	At     time.Time
	Box    string
	Event  string
	Fields map[string]string
	Text   string // the line as written, from its first field
}

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Read parses the lines of a log and skips those that no box wrote. It ignores text before
// the first field, such as a collector's prefix.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
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
	line := Line{Fields: parseFields(text[start:]), Text: text[start:]}
	at, err := time.Parse(time.RFC3339, line.Fields["time"])
	if err != nil || line.Fields["event"] == "" {
		return Line{}, false
	}
	line.At, line.Box, line.Event = at, line.Fields["box"], line.Fields["event"]
	return line, true
}

// parseFields splits key=value pairs; values may be quoted.
func parseFields(text string) map[string]string {
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

// stateChanges are the events that change a box's configuration, view or connectivity.
var stateChanges = map[string]bool{
	"configured": true, "upstreams_listed": true, "history_forgotten": true, "store_lost": true, "store_regained": true,
	"configuration_fetched": true, "configuration_not_taken": true, "connection_retired": true, "peer_lost": true, "peer_regained": true, "draining": true, "started": true, "stopped": true, "upstream_leaves": true,
	"configuration_stale": true, "configuration_confirmed": true, "upstream_rest": true,
}

// contextBefore is how long before a request's first line state changes are included; the
// effect of older ones shows in the ages that the request's own lines report.
const contextBefore = 6 * time.Second

// Of returns in order the lines of one request and the state changes meanwhile of the
// boxes that handled it. Of the leaving upstreams it includes only those that the request
// was sent to.
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
	var result []Line
	for _, l := range lines {
		within := !l.At.Before(first.Add(-contextBefore)) && !l.At.After(last)
		isContext := stateChanges[l.Event] && boxes[l.Box] && within && (l.Event != "upstream_leaves" || upstreams[l.Fields["upstream"]])
		if l.Fields["request"] == request || isContext {
			result = append(result, l)
		}
	}
	sort.SliceStable(result, func(i, j int) bool { return result[i].At.Before(result[j].At) })
	return result
}
