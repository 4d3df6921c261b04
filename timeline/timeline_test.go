package timeline_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/timeline"
)

const log = `
   1.0 b1 time="2026-06-16T05:30:24.000Z" level=info event=configured box=b1 version=2 source=store
   2.0 b1 time="2026-06-16T05:30:25.000Z" level=info event=upstream_leaves box=b1 upstream=u9 source=entry
   2.0 b1 time="2026-06-16T05:30:25.050Z" level=info event=upstream_rest box=b1 upstream=u7 change=asked rest_ms=3000
   2.1 b1 time="2026-06-16T05:30:25.100Z" level=info event=sent box=b1 request=r1 upstream=u1 load=0.5
   2.1 b2 time="2026-06-16T05:30:25.150Z" level=warning event=store_lost box=b2 error="store: down"
   2.2 b1 time="2026-06-16T05:30:25.200Z" level=info event=sent box=b1 request=r2 upstream=u1
   2.3 b1 time="2026-06-16T05:30:25.300Z" level=info event=upstream_leaves box=b1 upstream=u1 source=removed
garbage
time=yesterday event=sent request=r1
   3.0 b1 time="2026-06-16T05:30:26.000Z" level=warning event=stream_lost box=b1 request=r1 error="unexpected \"EOF\"" upstream=u1
   9.0 b1 time="2026-06-16T05:30:32.000Z" level=warning event=store_lost box=b1
`

func TestOf(t *testing.T) {
	is := is.New(t)
	lines, err := timeline.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(lines), 9)
	var events []string
	for _, l := range timeline.Of(lines, "r1") {
		events = append(events, l.Event+" "+l.Fields["upstream"])
	}
	is.Equal(strings.Join(events, ", "), "configured , upstream_rest u7, sent u1, upstream_leaves u1, stream_lost u1")
	is.Equal(lines[7].Fields["error"], `unexpected "EOF"`)
	is.Equal(len(timeline.Of(lines, "unknown")), 0)
}

func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Add(`time="2026-06-16T05:30:24.000Z" event="` + "\n=\n")
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := timeline.Read(strings.NewReader(text))
		if err == nil {
			timeline.Of(lines, "r1")
		}
	})
}
