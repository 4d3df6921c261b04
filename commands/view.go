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

// viewTime bounds the question to one box.
const viewTime = 2 * time.Second

// view prints what each box is to the others, and how old what it knows is.
type view struct {
	boxes string
	output
}

func (*view) Name() string { return "view" }
func (*view) Synopsis() string {
	return "print which boxes are hubs and keepers, and how old their views are"
}
func (*view) Usage() string {
	return `view [-boxes ADDRESS,...] [-o table|json]: ask each box before the users' platform, at its operators'
address, whether it is a hub, follows the store or keeps a queue, and how old what it
knows is. EVACUATED names the halls whose upstreams get nothing new, and for how long
the box has known it. Exits 1 if a box does not answer, boxes name different hubs, or
one has not heard that a hall is evacuated or taken back.

  petrelstep view -boxes 10.1.0.19:7135,10.1.0.20:7135
`
}

func (c *view) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.boxes, "boxes", os.Getenv("PETRELSTEP_ADMIN"), "operators' addresses of boxes, IP:port (default $PETRELSTEP_ADMIN)")
}

func (c *view) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.boxes == "" {
		fmt.Fprintln(os.Stderr, "name the boxes by -boxes or $PETRELSTEP_ADMIN")
		return exitUsage
	}
	code := exitDone
	var views []wire.BoxView
	for box := range strings.SplitSeq(c.boxes, ",") {
		v, err := ask(ctx, box)
		if err != nil {
			fmt.Fprintln(os.Stderr, box+": "+err.Error())
			code = exitFailed
			continue
		}
		views = append(views, v)
	}
	if hubs := differ(views, hubs); len(hubs) > 1 {
		fmt.Fprintln(os.Stderr, "boxes name different hubs: "+strings.Join(hubs, "; "))
		code = exitFailed
	}
	if lists := differ(views, evacuated); len(lists) > 1 {
		fmt.Fprintln(os.Stderr, "boxes name different evacuated halls: "+strings.Join(lists, "; "))
		code = exitFailed
	}
	if printed := c.print(views, func(w io.Writer) { viewTable(w, views) }); printed != exitDone {
		return printed
	}
	return code
}

func ask(ctx context.Context, box string) (v wire.BoxView, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTime)
	defer cancel()
	boxes := client.New([]string{"http://" + box}, "")
	defer boxes.Close()
	return v, boxes.Call(ctx, http.MethodGet, "/v1/view", nil, &v)
}

func hubs(v wire.BoxView) string { return strings.Join(v.Hubs, " ") }

// evacuated names the evacuated halls, by name; none as a dash.
func evacuated(v wire.BoxView) string {
	var names []string
	for _, h := range v.Halls {
		if h.Evacuated {
			names = append(names, h.Hall)
		}
	}
	return cmp.Or(strings.Join(names, " "), "-")
}

// evacuatedSince names them with how long the box has known it.
func evacuatedSince(v wire.BoxView) string {
	var names []string
	for _, h := range v.Halls {
		if h.Evacuated {
			names = append(names, h.Hall+" "+age(h.SinceMs))
		}
	}
	return cmp.Or(strings.Join(names, ","), "-")
}

// differ returns what boxes say, each once.
func differ(views []wire.BoxView, says func(wire.BoxView) string) []string {
	var lists []string
	seen := map[string]bool{}
	for _, v := range views {
		if list := says(v); !seen[list] {
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
			strings.Join(v.Keeps, ","), v.Nearest, v.Boxes, v.Told, v.Tells, v.Version, age(v.ConfigurationAgeMs), v.Upstreams, age(v.UpstreamsAgeMs),
			age(v.LoadsAgeMs), age(v.StoreSilentMs), evacuatedSince(v), v.Waiting, v.Serving, state)
	}
	_ = t.Flush()
}

// age writes an age in ms; that of what is not known as a dash.
func age(ms int) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
