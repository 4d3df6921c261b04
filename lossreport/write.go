package lossreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxHistogramTime is the longest time that the histogram distinguishes.
	maxHistogramTime = 2 * time.Minute
	histogramDigits  = 3
	// maxWorstRows bounds the rows of each table of the worst groups.
	maxWorstRows = 6
)

// Write prints the report as tables.
func (l *Report) Write(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "route\tasked\t%s\tstall_s\n", strings.Join(outcomes, "\t"))
	routes := groupBy(l.requests, func(r request) string { return r.route })
	for _, g := range routes {
		fmt.Fprintf(t, "%s\t%d%s\t%.3f\n", g.name, len(g.requests), g.counts(), g.stall())
	}
	fmt.Fprintf(t, "\nroute\twhat\tp50_ms\tp90_ms\tp99_ms\tp99.9_ms\tmost_ms\n")
	for _, g := range routes {
		g.writeTimes(t)
	}
	l.writeReasons(t)
	l.writeWorst(t, "box's hall", func(r request) string { return r.hall })
	l.writeWorst(t, "organisation", func(r request) string { return r.organisation })
	l.writeWorst(t, "upstream", func(r request) string { return r.engine })
	l.writeWorst(t, "second", func(r request) string { return r.at.UTC().Format("15:04:05") })
	return t.Flush()
}

// group holds the requests that share a property, such as the route.
type group struct {
	name     string
	requests []request
}

func groupBy(all []request, of func(request) string) []group {
	byName := map[string][]request{}
	for _, r := range all {
		byName[of(r)] = append(byName[of(r)], r)
	}
	list := make([]group, 0, len(byName))
	for name, requests := range byName {
		list = append(list, group{name, requests})
	}
	slices.SortFunc(list, func(a, b group) int { return strings.Compare(a.name, b.name) })
	return list
}

func (g group) count(outcome string) int {
	n := 0
	for _, r := range g.requests {
		if r.outcome == outcome {
			n++
		}
	}
	return n
}

func (g group) counts() string {
	var b strings.Builder
	for _, o := range outcomes {
		fmt.Fprintf(&b, "\t%d", g.count(o))
	}
	return b.String()
}

// stall returns the mean time of a request beyond its targets, in seconds.
func (g group) stall() float64 {
	sum := time.Duration(0)
	for _, r := range g.requests {
		sum += r.stalled
	}
	return sum.Seconds() / float64(max(len(g.requests), 1))
}

// writeTimes prints quantiles of the phases of a route's streams.
func (g group) writeTimes(out io.Writer) {
	phases := []struct {
		name string
		of   func(request) time.Duration
	}{
		{"waited for room", func(r request) time.Duration { return r.queueTime }},
		{"engine, to the first event", func(r request) time.Duration { return r.engineTime }},
		{"between events, mean", func(r request) time.Duration { return r.eventInterval }},
		{"longest pause", func(r request) time.Duration { return r.pause }},
	}
	for _, p := range phases {
		h := hdrhistogram.New(0, maxHistogramTime.Microseconds(), histogramDigits)
		for _, r := range g.requests {
			if r.streamed {
				_ = h.RecordValue(min(max(p.of(r), 0), maxHistogramTime).Microseconds()) // clamped to the range
			}
		}
		if h.TotalCount() == 0 {
			return // a route without streams
		}
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(out, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", g.name, p.name, ms(50), ms(90), ms(99), ms(99.9), float64(h.Max())/1000)
	}
}

// writeReasons prints the refusals by reason and route.
func (l *Report) writeReasons(out io.Writer) {
	fmt.Fprintf(out, "\nrefused\troute\tcount\n")
	var all []request
	for _, r := range l.requests {
		if r.outcome == refused {
			all = append(all, r)
		}
	}
	for _, g := range groupBy(all, func(r request) string { return r.reason + "\t" + r.route }) {
		fmt.Fprintf(out, "%s\t%d\n", g.name, len(g.requests))
	}
}

// writeWorst prints the groups with the most requests that were not in time.
func (l *Report) writeWorst(out io.Writer, label string, of func(request) string) {
	list := groupBy(l.requests, of)
	missed := func(g group) int { return len(g.requests) - g.count(inTime) }
	slices.SortStableFunc(list, func(a, b group) int { return cmp.Compare(missed(b), missed(a)) })
	fmt.Fprintf(out, "\n%s\tasked\t%s\n", label, strings.Join(outcomes, "\t"))
	for _, g := range list[:min(len(list), maxWorstRows)] {
		fmt.Fprintf(out, "%s\t%d%s\n", g.name, len(g.requests), g.counts())
	}
}
