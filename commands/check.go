package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"petrelstep/config"
)

func init() { subcommands.Register(&check{}, "operators") }

// check checks settings of a daemon.
type check struct{}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "check a daemon's settings" }
func (*check) Usage() string {
	return `check FILE...: list all mistakes of settings with their places; exits 2 if any.

  petrelstep check examples/box1.json
`
}

func (*check) SetFlags(*flag.FlagSet) {}

func (*check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return exitUsage
	}
	code := exitDone
	for _, file := range f.Args() {
		if _, err := config.New(file); err != nil {
			fmt.Println(err)
			code = exitUsage
			continue
		}
		fmt.Println(file + ": right")
	}
	return code
}
