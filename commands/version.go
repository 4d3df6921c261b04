package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"petrelstep/version"
)

func init() { subcommands.Register(&versionCommand{}, "") }

// versionCommand prints the version.
type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version: print the version.\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("petrelstep", version.Version)
	return exitDone
}
