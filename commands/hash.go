package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"petrelstep/front"
)

func init() { subcommands.Register(&hash{}, "operators") }

// hash prints the hash under which an API key is declared.
type hash struct{}

func (*hash) Name() string     { return "hash" }
func (*hash) Synopsis() string { return "print the hash of an API key for use in a declaration" }
func (*hash) Usage() string {
	return `hash KEY: print the SHA-256 of a key, for key_hashes and operator_key_hash.

  petrelstep hash a-long-random-key
`
}

func (*hash) SetFlags(*flag.FlagSet) {}

func (*hash) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return exitUsage
	}
	fmt.Println(front.HashKey(f.Arg(0)))
	return exitDone
}
