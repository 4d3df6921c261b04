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

// drain starts the planned stop of one box.
type drain struct{ target }

func (*drain) Name() string     { return "drain" }
func (*drain) Synopsis() string { return "start the planned stop of one box" }
func (*drain) Usage() string {
	return `drain -boxes ADDRESS: the box refuses new requests, waits for those in flight, and stops.

  petrelstep drain -boxes 127.0.0.1:9101
`
}

func (c *drain) SetFlags(f *flag.FlagSet) { c.setOperatorFlags(f) }

func (c *drain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok {
		return exitUsage
	}
	if strings.Contains(c.boxes, ",") {
		fmt.Println("drain needs exactly one box")
		return exitUsage
	}
	if err := boxes.Call(ctx, http.MethodPost, "/v1/drain", struct{}{}, nil); err != nil {
		return fail(err)
	}
	fmt.Println("draining")
	return exitDone
}
