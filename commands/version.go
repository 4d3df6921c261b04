package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"petrelstep/version"
)

func init() { subcommands.Register(&about{}, "") }

// about prints the version.
type about struct{}

func (*about) Name() string           { return "version" }
func (*about) Synopsis() string       { return "print the version" }
func (*about) Usage() string          { return "version: print the version.\n" }
func (*about) SetFlags(*flag.FlagSet) {}

func (*about) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("petrelstep", version.Version)
	return exitDone
}
