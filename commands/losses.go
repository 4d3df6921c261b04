package commands

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	lost "petrelstep/lossreport"
)

func init() { subcommands.Register(&losses{}, "operators") }

// losses tells where time and answers were lost, from the boxes' logs.
type losses struct{ chart string }

func (*losses) Name() string { return "losses" }
func (*losses) Synopsis() string {
	return "tell where time and answers were lost, from the logs of boxes"
}
func (*losses) Usage() string {
	return `losses [-chart FILE.svg] FILE...: print, from the logs of any number of boxes, what became of
requests by route, hall, organisation, upstream and second, and where their time went. FILE - is standard input.

  petrelstep losses -chart day.svg box1.log box2.log
`
}

func (c *losses) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.chart, "chart", "", "file for a picture of the seconds, SVG")
}

func (c *losses) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		_, _ = os.Stderr.WriteString("name the logs\n") // there is nowhere else to say it
		return exitUsage
	}
	lines, err := readLogs(f.Args())
	if err != nil {
		return fail(err)
	}
	l := lost.New(lines)
	if err := l.Write(os.Stdout); err != nil {
		return fail(err)
	}
	if c.chart == "" {
		return exitDone
	}
	picture, err := l.Chart()
	if err == nil {
		err = os.WriteFile(c.chart, picture, 0o644)
	}
	if err != nil {
		return fail(err)
	}
	return exitDone
}
