package commands

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/subcommands"
)

func init() { subcommands.Register(&drain{}, "operators") }

// drain begins the planned stop of one box.
type drain struct{ target }

func (*drain) Name() string     { return "drain" }
func (*drain) Synopsis() string { return "begin the planned stop of one box" }
func (*drain) Usage() string {
	return `drain -boxes ADDRESS: the box takes nothing new, waits for all in flight, and stops.

  petrelstep drain -boxes 127.0.0.1:9101
`
}

func (c *drain) SetFlags(f *flag.FlagSet) { c.operators(f) }

func (c *drain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok {
		return exitUsage
	}
	if strings.Contains(c.boxes, ",") {
		fmt.Println("drain takes one box")
		return exitUsage
	}
	if err := boxes.Call(ctx, http.MethodPost, "/v1/drain", struct{}{}, nil); err != nil {
		return fail(err)
	}
	fmt.Println("draining")
	return exitDone
}
