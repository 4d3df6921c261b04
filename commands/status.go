package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"petrelstep/wire"
)

func init() { subcommands.Register(&status{}, "operators") }

// status prints the desired and the actual state.
type status struct {
	target
	output
	wait   time.Duration
	expect int
}

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "print desired and actual state, hall by hall" }
func (*status) Usage() string {
	return `status [-wait 30s] [-expect BOXES] [-o table|json]: print for each hall the desired
and the actual state, for how long, and the reason for a difference; for each box the
placed models for which it knows no engine. With -wait it waits until the actual state is
as declared and each box can serve it, and exits 1 if it is not by then.

  petrelstep status
  petrelstep status -wait 1m -o json
`
}

func (c *status) SetFlags(f *flag.FlagSet) {
	c.setOperatorFlags(f)
	c.output.setFlags(f)
	f.IntVar(&c.expect, "expect", 0, "with -wait: number of boxes that must be known")
	f.DurationVar(&c.wait, "wait", 0, "maximum wait for the state to be as declared")
}

func (c *status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok {
		return exitUsage
	}
	const pollInterval = 200 * time.Millisecond
	until := time.Now().Add(c.wait)
	for {
		var s wire.Status
		err := boxes.Call(ctx, http.MethodGet, "/v1/status", nil, &s)
		converged := err == nil && len(s.Boxes) >= c.expect && converged(s)
		if !converged && time.Now().Before(until) {
			time.Sleep(pollInterval)
			continue
		}
		if err != nil {
			return fail(err)
		}
		if code := c.print(s, func(w io.Writer) { statusTable(w, s) }); code != exitDone {
			return code
		}
		if c.wait > 0 && !converged {
			return exitFailed
		}
		return exitDone
	}
}

func converged(s wire.Status) bool {
	for _, h := range s.Halls {
		if h.BoxesCurrent < h.Boxes {
			return false
		}
		for _, p := range h.Placements {
			if p.Actual < p.Desired {
				return false
			}
		}
	}
	return !slices.ContainsFunc(s.Boxes, func(b wire.BoxStatus) bool {
		return len(b.Unserved) > 0 && (b.State == wire.BoxStatusStateLive || b.State == wire.BoxStatusStateSuspect)
	})
}

func statusTable(w io.Writer, s wire.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "revision %d\n", s.Revision)
	fmt.Fprintln(t, "HALL\tBOXES\tPLACEMENT\tMODEL\tDESIRED\tACTUAL\tFOR\tWHY")
	for _, h := range s.Halls {
		boxes := fmt.Sprintf("%d/%d", h.BoxesCurrent, h.Boxes)
		if len(h.Placements) == 0 {
			fmt.Fprintf(t, "%s\t%s\t-\t-\t-\t-\t-\t-\n", h.Hall, boxes)
		}
		for _, p := range h.Placements {
			since := (time.Duration(p.SinceMs) * time.Millisecond).Round(time.Second)
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", h.Hall, boxes, p.Placement, p.Model, p.Desired, p.Actual, since, p.Why)
		}
	}
	fmt.Fprintln(t, "BOX\tHALL\tREVISION\tSTATE\tUNSERVED")
	for _, b := range s.Boxes {
		unserved := "-"
		if len(b.Unserved) > 0 {
			unserved = strings.Join(b.Unserved, ",")
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", b.Box, b.Hall, b.Revision, b.State, unserved)
	}
	_ = t.Flush()
}
