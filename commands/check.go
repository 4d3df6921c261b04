package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"petrelstep/config"
)

func init() { subcommands.Register(&check{}, "operators") }

// check validates the settings of a daemon.
type check struct{}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "validate a daemon's settings" }
func (*check) Usage() string {
	return `check FILE...: list all errors in settings files with their places; exits 2 if any.

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
		fmt.Println(file + ": valid")
	}
	return code
}
