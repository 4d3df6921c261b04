package commands

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"petrelstep/wire"
)

// rolloutTable prints each roll-out as the box that decides sees it, else as the first box
// does, with the number of boxes that agree on its state.
func rolloutTable(w io.Writer, views []wire.BoxView) {
	shown := map[string]wire.RolloutView{}
	boxes := map[string]int{} // by service and state
	for _, v := range views {
		for _, r := range v.Rollouts {
			if _, known := shown[r.Service]; !known || r.Decider == v.Box {
				shown[r.Service] = r
			}
			boxes[r.Service+" "+stateOf(r)]++
		}
	}
	if len(shown) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROLLOUT\tTARGET\tSTATE\tBOXES\tLEFT\tSHARE\tSENT\tTO TARGET\tBOUND\tDECIDER\tWAITS FOR")
	services := slices.Sorted(maps.Keys(shown))
	for _, service := range services {
		r := shown[service]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%s\t%.2f%%\t%d\t%d\t%d\t%s\t%s\n", service, r.Target, stateOf(r), boxes[service+" "+stateOf(r)], len(views),
			formatAge(max(r.LeftMs, 0)), float64(r.SharePpm)/1e4, r.Sent, r.SentCandidate, r.Bound, cmp.Or(r.Decider, "-"), cmp.Or(r.WaitsFor, "-"))
	}
	fmt.Fprintln(t, "ROLLOUT\tROUTE\tANSWERS\tBAD\tBASELINE\tBAD\tEVIDENCE")
	for _, service := range services {
		for _, e := range shown[service].Evidence {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d%%\n", service, e.Route, e.Answers, e.Bad, e.BaselineAnswers, e.BaselineBad, e.ScorePct)
		}
	}
	_ = t.Flush()
}

// stateOf returns the state of a roll-out, with its phase while it runs.
func stateOf(r wire.RolloutView) string {
	if r.State == "running" && r.Phase != "" {
		return r.Phase
	}
	return r.State
}
