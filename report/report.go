// Package report prints the results of experiments: a table for each scenario, and a line
// that compares our policy with the best baseline of each column.
package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"petrelstep/experiment"
)

// Ours is the policy that is compared with the baselines.
const Ours = "forecast"

// column is a measure. Values below its floor count as the floor, so that the ratio of two
// values within the noise is 1.
type column struct {
	name   string
	floor  float64
	higher bool // higher is better
	of     func(experiment.Result) float64
}

var columns = []column{
	{"preemptions", 1, false, func(r experiment.Result) float64 { return float64(r.Preemptions) }},
	{"stall_mid", 0.001, false, func(r experiment.Result) float64 { return r.StallMid }},
	{"stall_all", 0.01, false, func(r experiment.Result) float64 { return r.StallAll }},
	{"short_first_p99", 0.1, false, func(r experiment.Result) float64 { return r.ShortFirst }},
	{"gap_p99", 0.001, false, func(r experiment.Result) float64 { return r.Gap99 }},
	{"gap_p999", 0.001, false, func(r experiment.Result) float64 { return r.Gap999 }},
	{"tokens", 1, true, func(r experiment.Result) float64 { return float64(r.Tokens) }},
}

// Report holds the results of one scenario by policy, one for each seed.
type Report struct {
	scenario string
	results  map[string][]experiment.Result
}

// New returns an empty report of a scenario.
func New(scenario string) *Report {
	return &Report{scenario: scenario, results: map[string][]experiment.Result{}}
}

// Scenario returns the scenario's name.
func (r *Report) Scenario() string { return r.scenario }

// Add adds the result of one seed.
func (r *Report) Add(res experiment.Result) {
	r.results[res.Policy] = append(r.results[res.Policy], res)
}

// mean returns the mean of a column over the seeds.
func (r *Report) mean(policy string, c column) float64 {
	sum := 0.0
	for _, res := range r.results[policy] {
		sum += c.of(res)
	}
	return sum / float64(max(len(r.results[policy]), 1))
}

// Table prints the scenario's table.
func (r *Report) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\n%s, mean of %d seed(s)\n", r.scenario, r.seedCount())
	fmt.Fprintln(t, "policy\tpreempt\tstall_mid s\tstall_all s\tshort p99 s\tgap p99 s\tgap p99.9 s\tMtokens\tdone\tjain\tmessages\tKB\trefused\tretried\t")
	for _, p := range experiment.Policies() {
		if len(r.results[p]) == 0 {
			continue
		}
		r.writeRow(t, p)
	}
	_ = t.Flush()
}

func (r *Report) writeRow(w io.Writer, policy string) {
	fmt.Fprintf(w, "%s\t", policy)
	for _, c := range columns {
		v := r.mean(policy, c)
		switch c.name {
		case "preemptions":
			fmt.Fprintf(w, "%.0f\t", v)
		case "tokens":
			fmt.Fprintf(w, "%.3f\t", v/1e6)
		default:
			fmt.Fprintf(w, "%.3f\t", v)
		}
	}
	var done, jain, messages, bytes float64
	refused, retried := map[string]int{}, map[string]int{}
	for _, res := range r.results[policy] {
		done += float64(res.Done)
		jain += res.Fairness
		messages += float64(res.Messages)
		bytes += float64(res.Bytes)
		addCounts(refused, res.Refused)
		addCounts(retried, res.Retried)
	}
	n := float64(len(r.results[policy]))
	fmt.Fprintf(w, "%.0f\t%.3f\t%.0f\t%.0f\t%s\t%s\t\n", done/n, jain/n, messages/n, bytes/n/1000, formatCounts(refused), formatCounts(retried))
}

// Ratio prints the ratios of our policy to the best baseline and to the oracle, for each
// column.
func (r *Report) Ratio(w io.Writer) {
	fmt.Fprintf(w, "RATIO %s%s\n", r.scenario, r.formatRatios(func(c column) float64 { return r.bestBaseline(c) }))
	fmt.Fprintf(w, "ORACLE %s%s\n", r.scenario, r.formatRatios(func(c column) float64 { return r.mean("oracle", c) }))
}

// formatRatios formats the ratio of our policy to a reference for each column.
func (r *Report) formatRatios(reference func(column) float64) string {
	var b strings.Builder
	for _, c := range columns {
		fmt.Fprintf(&b, " %s=%.3f", c.name, max(r.mean(Ours, c), c.floor)/max(reference(c), c.floor))
	}
	return b.String()
}

func (r *Report) bestBaseline(c column) float64 {
	best := r.mean(experiment.Baselines()[0], c)
	for _, p := range experiment.Baselines()[1:] {
		v := r.mean(p, c)
		if c.higher && v > best || !c.higher && v < best {
			best = v
		}
	}
	return best
}

func (r *Report) seedCount() int {
	for _, all := range r.results {
		return len(all)
	}
	return 0
}

func addCounts(to, from map[string]int) {
	for k, v := range from {
		to[k] += v
	}
}

// formatCounts formats counts sorted by key, or a dash for none.
func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "-"
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	pairs := make([]string, len(keys))
	for i, k := range keys {
		pairs[i] = fmt.Sprintf("%s=%d", k, m[k])
	}
	return strings.Join(pairs, ",")
}
