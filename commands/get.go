package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/subcommands"

	"petrelstep/wire"
)

func init() { subcommands.Register(&get{}, "operators") }

// get prints declared resources.
type get struct {
	target
	output
}

func (*get) Name() string     { return "get" }
func (*get) Synopsis() string { return "print declared resources" }
func (*get) Usage() string {
	return `get [-o table|json] [KIND [NAME]]: print declared resources.

  petrelstep get
  petrelstep get -o json Placement leith-assessor
`
}

func (c *get) SetFlags(f *flag.FlagSet) {
	c.setOperatorFlags(f)
	c.output.setFlags(f)
}

func (c *get) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok || f.NArg() > 2 {
		return exitUsage
	}
	if f.NArg() == 2 {
		var item wire.Resource
		if err := boxes.Call(ctx, http.MethodGet, "/v1/resources/"+f.Arg(0)+"/"+f.Arg(1), nil, &item); err != nil {
			return fail(err)
		}
		return c.print(item, func(w io.Writer) { printResources(w, []wire.Resource{item}) })
	}
	path := "/v1/resources"
	if f.NArg() == 1 {
		path += "/" + f.Arg(0)
	}
	var list wire.ResourceList
	if err := boxes.Call(ctx, http.MethodGet, path, nil, &list); err != nil {
		return fail(err)
	}
	return c.print(list, func(w io.Writer) { printResources(w, list.Items) })
}

func printResources(w io.Writer, items []wire.Resource) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tNAME\tVERSION\tREVISION\tSPEC")
	for _, i := range items {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", i.Kind, i.Name, i.Version, i.Revision, i.Spec)
	}
	_ = t.Flush()
}
