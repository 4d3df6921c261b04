package commands

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"

	"petrelstep/wire"
)

func init() { subcommands.Register(&deleteCommand{}, "operators") }

// deleteCommand deletes a declared resource.
type deleteCommand struct {
	target
	version int
}

func (*deleteCommand) Name() string     { return "delete" }
func (*deleteCommand) Synopsis() string { return "delete a declared resource" }
func (*deleteCommand) Usage() string {
	return `delete [-version N] KIND NAME: delete a resource that no other refers to.

  petrelstep delete Upstream leith-1
`
}

func (c *deleteCommand) SetFlags(f *flag.FlagSet) {
	c.setOperatorFlags(f)
	f.IntVar(&c.version, "version", 0, "delete only this version")
}

func (c *deleteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
