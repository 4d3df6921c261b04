// Command petrelstep-standin runs small stand-ins for the platform, model engines and
// plain services, for tests and demonstrations only.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"petrelstep/standin/engine"
	"petrelstep/standin/platform"
	"petrelstep/standin/service"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	subcommands.Register(&platformCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// serve serves HTTP on an address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) subcommands.ExitStatus {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// engineCommand runs a stand-in engine.
type engineCommand struct {
	listen  string
	options engine.Options
	lagMs   int
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in model engine" }
func (*engineCommand) Usage() string {
	return "engine -listen IP:PORT -name NAME [-model MODEL] [-fenced] ...\n"
}

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9201", "address to listen on")
	f.StringVar(&c.options.Name, "name", "e1", "name of the engine")
	f.StringVar(&c.options.Model, "model", "", "model loaded at start")
	f.StringVar(&c.options.Platform, "platform", "", "address of the weight store; if empty, models load at once")
	f.BoolVar(&c.options.Fenced, "fenced", false, "check the fence of orders")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the output lengths")
	f.Float64Var(&c.options.Speed, "speed", 1, "factor by which steps are faster")
	f.Float64Var(&c.options.DraftWords, "draft", 400, "median length of drafts in tokens")
	f.IntVar(&c.lagMs, "lag-ms", 500, "age of load reports in ms")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.ReportLag = time.Duration(c.lagMs) * time.Millisecond
	e := engine.New(c.options)
	go e.Run(ctx)
	return serve(ctx, c.listen, e.Handler())
}

// serviceCommand runs a stand-in plain service.
type serviceCommand struct{ listen string }

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a stand-in plain service" }
func (*serviceCommand) Usage() string    { return "service -listen IP:PORT\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9301", "address to listen on")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, service.New())
}

// platformCommand runs the stand-in platform.
type platformCommand struct {
	listen  string
	options platform.Options
	lagMs   int
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the stand-in platform" }
func (*platformCommand) Usage() string    { return "platform -listen IP:PORT\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9001", "address to listen on")
	f.IntVar(&c.lagMs, "member-lag-ms", 1000, "lag of the member list in ms")
	f.Float64Var(&c.options.WeightsPerSec, "weights", 2, "weight reads per second")
	f.Float64Var(&c.options.WritesPerSecond, "writes", 200, "transactions per second")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.MemberLag = time.Duration(c.lagMs) * time.Millisecond
	return serve(ctx, c.listen, platform.New(c.options).Handler())
}
