package commands

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"

	"petrelstep/wire"
)

func init() { subcommands.Register(&remove{}, "operators") }

// remove takes a resource out of the declaration.
type remove struct {
	target
	version int
}

func (*remove) Name() string     { return "delete" }
func (*remove) Synopsis() string { return "remove a declared resource" }
func (*remove) Usage() string {
	return `delete [-version N] KIND NAME: remove a resource that no other refers to.

  petrelstep delete Upstream leith-1
`
}

func (c *remove) SetFlags(f *flag.FlagSet) {
	c.operators(f)
	f.IntVar(&c.version, "version", 0, "remove only this version")
}

func (c *remove) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok || f.NArg() != 2 {
		return exitUsage
	}
	path := "/v1/resources/" + f.Arg(0) + "/" + f.Arg(1)
	if c.version > 0 {
		path += fmt.Sprintf("?version=%d", c.version)
	}
	var done wire.Resource
	if err := boxes.Call(ctx, http.MethodDelete, path, nil, &done); err != nil {
		return fail(err)
	}
	fmt.Printf("%s/%s removed revision=%d\n", done.Kind, done.Name, done.Revision)
	return exitDone
}
