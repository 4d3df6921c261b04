package commands

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"petrelstep/lossreport"
)

func init() { subcommands.Register(&losses{}, "operators") }

// losses reports where time and answers were lost, from the boxes' logs.
type losses struct{ chart string }

func (*losses) Name() string { return "losses" }
func (*losses) Synopsis() string {
	return "report where time and answers were lost, from the logs of boxes"
}
func (*losses) Usage() string {
	return `losses [-chart FILE.svg] FILE...: print, from the logs of any number of boxes, the outcomes
of requests by route, hall, organisation, upstream and second, and where their time went.
FILE - is standard input.

  petrelstep losses -chart day.svg box1.log box2.log
`
}

func (c *losses) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.chart, "chart", "", "SVG file for a chart of the outcomes by second")
}

func (c *losses) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		_, _ = os.Stderr.WriteString("name the logs\n")
		return exitUsage
	}
	lines, err := readLogs(f.Args())
	if err != nil {
		return fail(err)
	}
	l := lossreport.New(lines)
	if err := l.Write(os.Stdout); err != nil {
		return fail(err)
	}
	if c.chart == "" {
		return exitDone
	}
	chart, err := l.Chart()
	if err == nil {
		err = os.WriteFile(c.chart, chart, 0o644)
	}
	if err != nil {
		return fail(err)
	}
	return exitDone
}
