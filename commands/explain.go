package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"petrelstep/timeline"
)

func init() { subcommands.Register(&explain{}, "operators") }

// explain prints the timeline of one request from the boxes' logs.
type explain struct{ request string }

func (*explain) Name() string     { return "explain" }
func (*explain) Synopsis() string { return "print the timeline of a request from the logs of boxes" }
func (*explain) Usage() string {
	return `explain -request ID FILE...: print the log lines of a request, in order, with the
state changes of each box that handled it. FILE - is standard input.

  petrelstep explain -request 9c41d07be2a35f68 box1.log box2.log
`
}

func (c *explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "request", "", "id of the request")
}

func (c *explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.request == "" || f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "set the request with -request, and name the logs")
		return exitUsage
	}
	lines, err := readLogs(f.Args())
	if err != nil {
		return fail(err)
	}
	history := timeline.Of(lines, c.request)
	if len(history) == 0 {
		fmt.Fprintln(os.Stderr, "no log line names request", c.request)
		return exitFailed
	}
	for _, l := range history {
		fmt.Println(l.Text)
	}
	return exitDone
}

// readLogs reads the lines of several logs.
func readLogs(names []string) (lines []timeline.Line, err error) {
	for _, name := range names {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string) ([]timeline.Line, error) {
	in := io.ReadCloser(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		in = file
	}
	defer in.Close()
	return timeline.Read(in)
}
