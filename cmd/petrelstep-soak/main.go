// Command petrelstep-soak strikes a site of real processes on loopback under
// load, and checks the promises by what callers and workers saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"petrelstep/soak"
)

func main() {
	var o soak.Options
	flag.StringVar(&o.Site.Daemon, "daemon", "build/petrelstepd", "program of the boxes")
	flag.StringVar(&o.Site.Dir, "dir", "", "for settings and logs; a new one if empty")
	flag.IntVar(&o.Site.Boxes, "boxes", 5, "boxes")
	flag.IntVar(&o.Site.Engines, "engines", 5, "workers with streams")
	flag.IntVar(&o.Site.Plain, "plain", 3, "workers of the plain service")
	flag.IntVar(&o.Callers, "callers", 24, "callers")
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "seed of strikes and requests")
	flag.BoolVar(&o.Bursts, "crowds", false, "callers press the plain service at times")
	flag.BoolVar(&o.Poison, "ends", false, "one caller comes with a request under which workers end")
	flag.BoolVar(&o.RateLimits, "needs", false, "workers name limits")
	flag.BoolVar(&o.Announcements, "words", false, "workers leave by their answers, and ask for rest")
	flag.DurationVar(&o.Duration, "for", 20*time.Second, "how long to strike")
	flag.Parse()
	os.Exit(run(o))
}

func run(o soak.Options) int {
	if o.Site.Dir == "" {
		dir, err := os.MkdirTemp("", "petrelstep-soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		o.Site.Dir = dir
	}
	o.Out = os.Stdout
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("seed %d, logs in %s\n", o.Seed, o.Site.Dir)
	tally, err := soak.New(o).Run(ctx)
	for _, b := range tally.Violations {
		fmt.Println("BROKEN", b)
	}
	fmt.Println(tally)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || len(tally.Violations) > 0 {
		return 1
	}
	return 0
}
