package commands

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"petrelstep/client"
	"petrelstep/wire"
)

func init() { subcommands.Register(&view{}, "operators") }

// viewTimeout bounds the query of one box.
const viewTimeout = 2 * time.Second

// view prints the role of each box and the age of its view of the fleet.
type view struct {
	boxes string
	output
}

func (*view) Name() string { return "view" }
func (*view) Synopsis() string {
	return "print which boxes are hubs and queue owners, and how old their views are"
}
func (*view) Usage() string {
	return `view [-boxes ADDRESS,...] [-o table|json]: query each box in front of the users' platform, at its
admin address: whether it is a hub, follows the store or owns a queue, and the age of its
view. EVACUATED names the halls whose upstreams get no new requests, and for how long
the box has known it. Below are the roll-outs of releases, with the evidence for or
against each. Exits 1 if a box does not answer, or if boxes name different hubs
or evacuated halls.

  petrelstep view -boxes 10.1.0.19:7135,10.1.0.20:7135
`
}

func (c *view) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.boxes, "boxes", os.Getenv("PETRELSTEP_ADMIN"), "admin addresses of boxes, IP:port (default $PETRELSTEP_ADMIN)")
}

func (c *view) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.boxes == "" {
		fmt.Fprintln(os.Stderr, "set the boxes with -boxes or $PETRELSTEP_ADMIN")
		return exitUsage
	}
	code := exitDone
	var views []wire.BoxView
	for box := range strings.SplitSeq(c.boxes, ",") {
		v, err := queryView(ctx, box)
		if err != nil {
			fmt.Fprintln(os.Stderr, box+": "+err.Error())
			code = exitFailed
			continue
		}
		views = append(views, v)
	}
	if hubs := distinct(views, hubList); len(hubs) > 1 {
		fmt.Fprintln(os.Stderr, "boxes name different hubs: "+strings.Join(hubs, "; "))
		code = exitFailed
	}
	if lists := distinct(views, evacuatedHalls); len(lists) > 1 {
		fmt.Fprintln(os.Stderr, "boxes name different evacuated halls: "+strings.Join(lists, "; "))
		code = exitFailed
	}
	if printed := c.print(views, func(w io.Writer) {
		viewTable(w, views)
		rolloutTable(w, views)
	}); printed != exitDone {
		return printed
	}
	return code
}

func queryView(ctx context.Context, box string) (v wire.BoxView, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	boxes := client.New([]string{"http://" + box}, "")
	defer boxes.Close()
	return v, boxes.Call(ctx, http.MethodGet, "/v1/view", nil, &v)
}

func hubList(v wire.BoxView) string { return strings.Join(v.Hubs, " ") }

// evacuatedHalls returns the names of the evacuated halls, or a dash for none.
func evacuatedHalls(v wire.BoxView) string {
	var names []string
	for _, h := range v.Halls {
		if h.Evacuated {
			names = append(names, h.Hall)
		}
	}
	return cmp.Or(strings.Join(names, " "), "-")
}

// evacuatedSince returns the evacuated halls with how long the box has known it.
func evacuatedSince(v wire.BoxView) string {
	var names []string
	for _, h := range v.Halls {
		if h.Evacuated {
			names = append(names, h.Hall+" "+formatAge(h.SinceMs))
		}
	}
	return cmp.Or(strings.Join(names, ","), "-")
}

// distinct returns the different values of a field among the views.
func distinct(views []wire.BoxView, field func(wire.BoxView) string) []string {
	var lists []string
	seen := map[string]bool{}
	for _, v := range views {
		if list := field(v); !seen[list] {
			seen[list] = true
			lists = append(lists, list)
		}
	}
	return lists
}

func viewTable(w io.Writer, views []wire.BoxView) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BOX\tHALL\tHUB\tREADS\tKEEPS\tNEAREST\tBOXES\tTOLD\tTELLS\tVERSION\tITS AGE\tUPSTREAMS\tTHEIR AGE\tLOADS' AGE\tSTORE SILENT\tEVACUATED\tWAITING\tSERVING\tSTATE")
	for _, v := range views {
		state := "serves"
		if v.Stopping {
			state = "stops"
		}
		fmt.Fprintf(t, "%s\t%s\t%t\t%t\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", v.Box, v.Hall, v.Hub, v.Reads,
			strings.Join(v.Keeps, ","), v.Nearest, v.Boxes, v.Told, v.Tells, v.Version, formatAge(v.ConfigurationAgeMs), v.Upstreams, formatAge(v.UpstreamsAgeMs),
			formatAge(v.LoadsAgeMs), formatAge(v.StoreSilentMs), evacuatedSince(v), v.Waiting, v.Serving, state)
	}
	_ = t.Flush()
}

// formatAge formats an age in ms; an unknown (negative) age becomes a dash.
func formatAge(ms int) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
