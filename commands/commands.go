// Package commands implements the verbs of the command line, one file each. Each verb
// registers itself.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"petrelstep/client"
)

// Exit codes, as docs/petrelstep.1.md states them.
const (
	exitDone    = subcommands.ExitSuccess
	exitFailed  = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
	exitNotRun  = subcommands.ExitStatus(3)
	exitUnknown = subcommands.ExitStatus(4)
)

// Run executes the command line and returns the exit code.
func Run() int {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	flag.Parse()
	code := subcommands.Execute(context.Background())
	if code == exitUsage && flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "see petrelstep help %s; flags go before arguments\n", flag.Arg(0))
	}
	return int(code)
}

// target holds the flags that select the boxes to call.
type target struct {
	boxes string
	key   string
	env   string
}

func (t *target) setFlags(f *flag.FlagSet, env, what string) {
	t.env = env
	f.StringVar(&t.boxes, "boxes", os.Getenv(env), what+", comma-separated (default $"+env+")")
	f.StringVar(&t.key, "key", os.Getenv("PETRELSTEP_KEY"), "API key (default $PETRELSTEP_KEY)")
}

func (t *target) setOperatorFlags(f *flag.FlagSet) {
	t.setFlags(f, "PETRELSTEP_ADMIN", "admin addresses of boxes, IP:port or URL")
}

func (t *target) setCallerFlags(f *flag.FlagSet) {
	t.setFlags(f, "PETRELSTEP_BOXES", "caller addresses of boxes, IP:port or URL")
}

// client returns a client of the selected boxes. If a flag is missing, it prints which
// and returns false.
func (t *target) client() (*client.Client, bool) {
	if t.boxes == "" || t.key == "" {
		fmt.Fprintf(os.Stderr, "set the boxes with -boxes or $%s, and the key with -key or $PETRELSTEP_KEY\n", t.env)
		return nil, false
	}
	boxes := strings.Split(t.boxes, ",")
	for i, b := range boxes {
		if !strings.Contains(b, "://") {
			boxes[i] = "http://" + b
		}
	}
	return client.New(boxes, t.key), true
}

// output holds the flag that selects the output format.
type output struct{ format string }

func (o *output) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.format, "o", "table", "output format: table or json")
}

// print writes v as JSON or as a table, by the selected format.
func (o *output) print(v any, table func(w io.Writer)) subcommands.ExitStatus {
	switch o.format {
	case "json":
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return fail(err)
		}
	case "table":
		table(os.Stdout)
	default:
		fmt.Fprintln(os.Stderr, "-o: table or json")
		return exitUsage
	}
	return exitDone
}

// fail prints an error and returns the exit code for it.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	var refused *client.Error
	if errors.As(err, &refused) {
		return exitStatusOf(string(refused.Body.Ending))
	}
	return exitFailed
}

// exitStatusOf returns the exit code for the outcome of a request.
func exitStatusOf(ending string) subcommands.ExitStatus {
	switch ending {
	case "done":
		return exitDone
	case "not_run":
		return exitNotRun
	case "unknown":
		return exitUnknown
	}
	return exitFailed
}
