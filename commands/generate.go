package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"petrelstep/wire"
)

func init() { subcommands.Register(&generate{}, "callers") }

// generate requests one generation.
type generate struct {
	target
	file    string
	request wire.GenerationRequest
	class   string
	whole   bool
	quiet   bool
}

func (*generate) Name() string     { return "generate" }
func (*generate) Synopsis() string { return "request one generation and print it" }
func (*generate) Usage() string {
	return `generate -model MODEL [-f FILE] [TEXT]: print the answer as it arrives, and its
outcome on standard error, with whether the answer was complete. Exits 0 done, 1 failed,
3 not run, 4 unknown.

  petrelstep generate -model assessor -f examples/survey-notes.txt
  petrelstep generate -model assessor -class check "is the appeal in time?"
`
}

func (c *generate) SetFlags(f *flag.FlagSet) {
	c.setCallerFlags(f)
	f.StringVar(&c.file, "f", "", "file with the prompt, or - for standard input")
	f.StringVar(&c.request.Model, "model", "", "model")
	f.StringVar(&c.request.Adapter, "adapter", "", "adapter")
	f.StringVar(&c.class, "class", "draft", "draft, check or lookup")
	f.IntVar(&c.request.MaxTokens, "max", 32768, "maximum number of tokens")
	f.IntVar(&c.request.DeadlineMs, "deadline-ms", 600000, "maximum wait for the first token, in ms")
	f.BoolVar(&c.whole, "whole", false, "deliver the answer only when it is complete")
	f.BoolVar(&c.quiet, "q", false, "print only the line on standard error")
}

func (c *generate) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok {
		return exitUsage
	}
	c.request.Prompt = strings.Join(f.Args(), " ")
	if c.file != "" {
		raw, err := readFile(c.file)
		if err != nil {
			return fail(err)
		}
		c.request.Prompt = string(raw)
	}
	c.request.Class = wire.GenerationRequestClass(c.class)
	c.request.Deliver = wire.GenerationRequestDeliverStream
	if c.whole {
		c.request.Deliver = wire.GenerationRequestDeliverWhole
	}
	show := func(text string) { fmt.Print(text) }
	if c.quiet {
		show = nil
	}
	out := boxes.Generate(ctx, 0, c.request, show)
	if !c.quiet {
		fmt.Println()
	}
	fmt.Fprintf(os.Stderr, "ending=%s reason=%s tokens=%d whole=%v taken_up=%d first_ms=%d retry_after_ms=%d generation=%s\n",
		out.Ending, out.Reason, out.Tokens, out.Whole, out.Resumed, out.First.Milliseconds(), out.RetryAfter.Milliseconds(), out.Generation)
	if out.Ending == "done" && !out.Whole {
		fmt.Fprintln(os.Stderr, "the answer was not complete:", out.Wrong)
		return exitFailed
	}
	return exitStatusOf(out.Ending)
}
