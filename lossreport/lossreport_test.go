package lossreport_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/lossreport"
	"petrelstep/timeline"
)

const startLine = `time="2026-12-02T10:00:00.000Z" level=info event=started box=b1 hall=leith` + "\n"

// newReport returns the report of a log of one box.
func newReport(t *testing.T, lines ...string) *lossreport.Report {
	t.Helper()
	text := startLine
	for _, l := range lines {
		text += `time="2026-12-02T10:00:01.500Z" level=info box=b1 ` + l + "\n"
	}
	read, err := timeline.Read(strings.NewReader(text))
	is.New(t).NoErr(err)
	return lossreport.New(read)
}

// TestOutcomes checks the outcome that each final event of a request counts as.
func TestOutcomes(t *testing.T) {
	stream := "event=streamed request=r route=draft upstream=e1 events=101 aim_ms=1800 gap_aim_ms=180 took_ms=5500 "
	tests := map[string]struct {
		line  string
		want  string // the column that counts the request
		stall string
	}{
		"in time":                      {line: stream + "hall=leith first_ms=500 waited_ms=3 gap_ms=60", want: "in_time", stall: "0.000"},
		"late by waiting for capacity": {line: stream + "hall=leith first_ms=2300 waited_ms=1800 gap_ms=60", want: "late_queue", stall: "0.500"},
		"late at the engine":           {line: stream + "hall=leith first_ms=2300 waited_ms=300 gap_ms=60", want: "late_first", stall: "0.500"},
		"pause during a move":          {line: stream + "hall=leith first_ms=500 gap_ms=430 gap_moved=true", want: "late_move", stall: "0.250"},
		"pause between halls":          {line: stream + "hall=gorgie first_ms=500 gap_ms=260", want: "late_far", stall: "0.080"},
		"pause within the hall":        {line: stream + "hall=leith first_ms=500 gap_ms=260", want: "late_near", stall: "0.080"},
		"broken stream":                {line: "event=stream_lost request=r route=draft events=4 aim_ms=1800 gap_aim_ms=180 first_ms=100", want: "lost", stall: "0.000"},
		"answered":                     {line: "event=answered request=r route=look status=200 took_ms=40 aim_ms=150", want: "in_time", stall: "0.000"},
		"answered late":                {line: "event=answered request=r route=look status=200 took_ms=400 aim_ms=150", want: "late_first", stall: "0.250"},
		"failure of the upstream":      {line: "event=answered request=r route=look status=500 took_ms=40 aim_ms=150", want: "failed", stall: "0.000"},
		"refused":                      {line: "event=refused request=r route=draft reason=wait_too_long took_ms=4", want: "refused", stall: "0.000"},
		"caller disconnected":          {line: "event=caller_gone request=r route=draft events=3 first_ms=100", want: "caller_gone", stall: "0.000"},
		"not a final event":            {line: "event=sent request=r route=draft upstream=e1"},
		"event without a request":      {line: "event=upstream_leaves upstream=e1"},
		"invalid number counts as 0":   {line: stream + "hall=leith first_ms=x gap_ms=", want: "in_time", stall: "0.000"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(newReport(t, tt.line).Write(&out))
			rows := strings.Split(out.String(), "\n")
			columns := strings.Fields(rows[0])
			if tt.want == "" {
				is.Equal(strings.TrimSpace(rows[1]), "")
				return
			}
			row := strings.Fields(rows[1])
			for i, name := range columns[2 : len(columns)-1] {
				is.Equal(row[i+2] == "1", name == tt.want)
			}
			is.Equal(row[len(row)-1], tt.stall)
		})
	}
}

// TestWrite checks the tables of several requests.
func TestWrite(t *testing.T) {
	is := is.New(t)
	l := newReport(t,
		"event=streamed request=r1 route=draft organisation=o1 upstream=e1 hall=leith events=101 aim_ms=1800 first_ms=500 waited_ms=100 took_ms=4500",
		"event=refused request=r2 route=draft organisation=o2 reason=wait_too_long",
	)
	var out bytes.Buffer
	is.NoErr(l.Write(&out))
	for _, want := range []string{"waited for room", "engine, to the first event  400", "between events, mean        40", "wait_too_long", "10:00:01", "leith", "o2"} {
		is.True(strings.Contains(out.String(), want))
	}
}

func TestChart(t *testing.T) {
	is := is.New(t)
	chart, err := newReport(t, "event=refused request=r2 route=draft reason=wait_too_long").Chart()
	is.NoErr(err)
	is.True(bytes.Contains(chart, []byte("<svg")))
	_, err = newReport(t).Chart()
	var empty *lossreport.EmptyError
	is.True(errors.As(err, &empty))
}
