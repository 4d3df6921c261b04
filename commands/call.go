package commands

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

func init() { subcommands.Register(&call{}, "callers") }

// call calls a plain service.
type call struct {
	target
	method, idempotency, file string
}

func (*call) Name() string     { return "call" }
func (*call) Synopsis() string { return "call a plain service" }
func (*call) Usage() string {
	return `call [-method GET] [-idempotency-key KEY] [-f FILE] SERVICE/PATH: print the answer.
With a key the call runs at most once, even if it is sent again.

  petrelstep call portal/roll/EH6-1234
  petrelstep call -method POST -idempotency-key notice-17 -f examples/notice.json portal/notices
`
}

func (c *call) SetFlags(f *flag.FlagSet) {
	c.setCallerFlags(f)
	f.StringVar(&c.method, "method", "GET", "HTTP method")
	f.StringVar(&c.idempotency, "idempotency-key", "", "key of a call that must not be repeated")
	f.StringVar(&c.file, "f", "", "file with the body, or - for standard input")
}

func (c *call) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok || f.NArg() != 1 {
		return exitUsage
	}
	var body []byte
	if c.file != "" {
		var err error
		if body, err = readFile(c.file); err != nil {
			return fail(err)
		}
	}
	status, raw, err := boxes.Service(ctx, 0, c.method, f.Arg(0), c.idempotency, body)
	if err != nil {
		return fail(err)
	}
	_, _ = os.Stdout.Write(raw)
	const errorStatus = 400
	if status >= errorStatus {
		fmt.Fprintln(os.Stderr, "status", status)
		return exitFailed
	}
	return exitDone
}
