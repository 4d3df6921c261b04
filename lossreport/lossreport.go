// Package lossreport reports from the logs of boxes where time and answers were lost: by
// route, organisation, hall, engine and second, and whether in the queue, at the engine,
// by pauses or by refusals.
package lossreport

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"petrelstep/timeline"
)

// Outcomes of requests. An answer that is late for several reasons counts under the first
// of them.
const (
	inTime     = "in_time"
	lateQueue  = "late_queue" // late first event, mainly because of queueing
	lateFirst  = "late_first" // late first event or whole answer
	lateMove   = "late_move"  // pause during a move to another upstream
	lateFar    = "late_far"   // pause of a stream between halls
	lateNear   = "late_near"  // pause of a stream within a hall
	failed     = "failed"     // failure status from the upstream
	lost       = "lost"       // response that broke off
	refused    = "refused"
	callerGone = "caller_gone"
)

// outcomes lists the outcomes in the order of columns.
var outcomes = []string{inTime, lateQueue, lateFirst, lateMove, lateFar, lateNear, failed, lost, refused, callerGone}

// finalEvents are the events that end a request.
var finalEvents = map[string]bool{
	"streamed": true, "stream_lost": true, "answered": true, "answer_cut": true, "refused": true, "caller_gone": true,
}

// request holds the data of one finished request.
type request struct {
	at            time.Time
	route         string
	organisation  string
	hall          string // hall of the box
	engine        string
	outcome       string
	reason        string        // reason of a refusal
	queueTime     time.Duration // wait for capacity
	engineTime    time.Duration // from sending to the first event
	eventInterval time.Duration // mean interval between events
	pause         time.Duration // longest pause
	stalled       time.Duration // time beyond the targets
	streamed      bool
}

// Report holds the finished requests of a set of logs.
type Report struct{ requests []request }

// New returns the report for the lines of any number of logs.
func New(lines []timeline.Line) *Report {
	halls := map[string]string{}
	for _, l := range lines {
		if l.Event == "started" {
			halls[l.Box] = l.Fields["hall"]
		}
	}
	l := &Report{}
	for _, line := range lines {
		if finalEvents[line.Event] {
			l.requests = append(l.requests, requestOf(line, halls[line.Box]))
		}
	}
	slices.SortStableFunc(l.requests, func(a, b request) int { return a.at.Compare(b.at) })
	return l
}

func requestOf(line timeline.Line, hall string) request {
	f := line.Fields
	ms := func(name string) time.Duration {
		n, _ := strconv.Atoi(f[name]) // a missing field counts as 0
		return time.Duration(n) * time.Millisecond
	}
	r := request{
		at: line.At, route: cmp.Or(f["route"], "-"), organisation: cmp.Or(f["organisation"], "-"), hall: cmp.Or(hall, "-"),
		engine: cmp.Or(f["upstream"], "-"), queueTime: ms("waited_ms"), pause: ms("gap_ms"), reason: f["reason"],
	}
	first, target, gapTarget := ms("first_ms"), ms("aim_ms"), ms("gap_aim_ms")
	events, _ := strconv.Atoi(f["events"])
	if r.streamed = f["events"] != ""; r.streamed {
		r.engineTime = first - r.queueTime
		r.eventInterval = (ms("took_ms") - first) / time.Duration(max(events-1, 1))
	}
	if !r.streamed {
		first = ms("took_ms")
	}
	if r.streamed || line.Event == "answered" {
		r.stalled = excess(first, target) + excess(r.pause, gapTarget)
	}
	r.outcome = outcomeOf(line, r, excess(first, target) > 0, excess(r.pause, gapTarget) > 0)
	return r
}

// excess returns the time beyond a target; a target of 0 means none.
func excess(took, target time.Duration) time.Duration {
	if target == 0 {
		return 0
	}
	return max(took-target, 0)
}

func outcomeOf(line timeline.Line, r request, lateAtFirst, paused bool) string {
	status, _ := strconv.Atoi(line.Fields["status"]) // streams have none
	switch {
	case line.Event == "refused":
		return refused
	case line.Event == "stream_lost" || line.Event == "answer_cut":
		return lost
	case line.Event == "caller_gone":
		return callerGone
	case status >= 500:
		return failed
	case lateAtFirst && r.queueTime > r.engineTime && r.streamed:
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
