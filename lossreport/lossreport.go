// Package lossreport reads the logs of boxes and tells where time and answers were
// lost: of which routes, organisations, halls, engines and seconds, and whether
// in the queue, at the engine, by pauses or by refusals.
package lossreport

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"petrelstep/timeline"
)

// What becomes of requests. An answer that is late for several reasons counts
// under the first of them.
const (
	inTime    = "in_time"
	lateQueue = "late_queue" // its first event: most of the time was waited for room
	lateFirst = "late_first" // its first event, or its whole answer
	lateMove  = "late_move"  // a pause over a move
	lateFar   = "late_far"   // a pause of a stream between halls
	lateNear  = "late_near"  // a pause of a stream within its hall
	failed    = "failed"     // the upstream's own failure
	lost      = "lost"       // a stream that broke
	refused   = "refused"
	gone      = "caller_gone"
)

// outcomes is the order of columns.
var outcomes = []string{inTime, lateQueue, lateFirst, lateMove, lateFar, lateNear, failed, lost, refused, gone}

// ended are the last lines of requests.
var ended = map[string]bool{
	"streamed": true, "stream_lost": true, "answered": true, "answer_cut": true, "refused": true, "caller_gone": true,
}

// request is what the logs tell of one request's end.
type request struct {
	at           time.Time
	route        string
	organisation string
	hall         string // of its box
	engine       string
	outcome      string
	reason       string        // of a refusal
	waited       time.Duration // for room
	engineTime   time.Duration // from its sending to its first event
	event        time.Duration // between its events
	pause        time.Duration // the longest
	stalled      time.Duration // beyond its aims
	streams      bool
}

// Report are those of one set of logs.
type Report struct{ requests []request }

// New works out the losses from the logs' lines.
func New(lines []timeline.Line) *Report {
	halls := map[string]string{}
	for _, l := range lines {
		if l.Event == "started" {
			halls[l.Box] = l.Fields["hall"]
		}
	}
	l := &Report{}
	for _, line := range lines {
		if ended[line.Event] {
			l.requests = append(l.requests, requestOf(line, halls[line.Box]))
		}
	}
	slices.SortStableFunc(l.requests, func(a, b request) int { return a.at.Compare(b.at) })
	return l
}

func requestOf(line timeline.Line, hall string) request {
	f := line.Fields
	ms := func(name string) time.Duration {
		n, _ := strconv.Atoi(f[name]) // what a line lacks counts as none
		return time.Duration(n) * time.Millisecond
	}
	r := request{
		at: line.At, route: cmp.Or(f["route"], "-"), organisation: cmp.Or(f["organisation"], "-"), hall: cmp.Or(hall, "-"),
		engine: cmp.Or(f["upstream"], "-"), waited: ms("waited_ms"), pause: ms("gap_ms"), reason: f["reason"],
	}
	first, aim, gapAim := ms("first_ms"), ms("aim_ms"), ms("gap_aim_ms")
	events, _ := strconv.Atoi(f["events"])
	if r.streams = f["events"] != ""; r.streams {
		r.engineTime = first - r.waited
		r.event = (ms("took_ms") - first) / time.Duration(max(events-1, 1))
	}
	if !r.streams {
		first = ms("took_ms")
	}
	if r.streams || line.Event == "answered" {
		r.stalled = beyond(first, aim) + beyond(r.pause, gapAim)
	}
	r.outcome = outcomeOf(line, r, beyond(first, aim) > 0, beyond(r.pause, gapAim) > 0)
	return r
}

// beyond is by how much a time passes an aim; there may be none.
func beyond(took, aim time.Duration) time.Duration {
	if aim == 0 {
		return 0
	}
	return max(took-aim, 0)
}

func outcomeOf(line timeline.Line, r request, lateAtFirst, paused bool) string {
	status, _ := strconv.Atoi(line.Fields["status"]) // streams have none
	switch {
	case line.Event == "refused":
		return refused
	case line.Event == "stream_lost" || line.Event == "answer_cut":
		return lost
	case line.Event == "caller_gone":
		return gone
	case status >= 500:
		return failed
	case lateAtFirst && r.waited > r.engineTime && r.streams:
		return lateQueue
	case lateAtFirst:
		return lateFirst
	case paused && line.Fields["gap_moved"] == "true":
		return lateMove
	case paused && line.Fields["hall"] != r.hall:
		return lateFar
	case paused:
		return lateNear
	}
	return inTime
}
