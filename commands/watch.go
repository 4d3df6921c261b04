package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/google/subcommands"
)

func init() { subcommands.Register(&watch{}, "operators") }

// watch prints changes and states as they arrive.
type watch struct {
	target
	revision int
	count    int
}

func (*watch) Name() string     { return "watch" }
func (*watch) Synopsis() string { return "print changes and the state as they arrive" }
func (*watch) Usage() string {
	return `watch [-revision N] [-n COUNT]: print each change after a revision, and the state
every second, one per line as a name and a JSON object, until interrupted.

  petrelstep watch -n 1
`
}

func (c *watch) SetFlags(f *flag.FlagSet) {
	c.setOperatorFlags(f)
	f.IntVar(&c.revision, "revision", 0, "print changes after this one")
	f.IntVar(&c.count, "n", 0, "stop after this number of states, 0 for never")
}

func (c *watch) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	events, done, err := boxes.Open(ctx, fmt.Sprintf("/v1/watch?revision=%d", c.revision))
	if err != nil {
		return fail(err)
	}
	defer done()
	states := 0
	for {
		e, err := events.Next()
		if ctx.Err() != nil || errors.Is(err, io.EOF) {
			return exitDone
		}
		if err != nil {
			return fail(err)
		}
		fmt.Printf("%s %s\n", e.Name, e.Data)
		if e.Name == "status" {
			states++
		}
		if c.count > 0 && states >= c.count {
			return exitDone
		}
	}
}
