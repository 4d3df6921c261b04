// Command petrelstep-soak injects faults into a site of real processes on loopback under
// load, and checks the guarantees by what callers and workers observed.
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

// brittleSlots is the number of slots of the plain workers if they may bear few rejections.
const brittleSlots = 3

func main() {
	var o soak.Options
	flag.StringVar(&o.Site.Daemon, "daemon", "build/petrelstepd", "path of the daemon that the boxes run")
	flag.StringVar(&o.Site.Dir, "dir", "", "directory for settings and logs; a new one if empty")
	flag.IntVar(&o.Site.Boxes, "boxes", 5, "number of boxes")
	flag.IntVar(&o.Site.Engines, "engines", 5, "number of workers that stream")
	flag.IntVar(&o.Site.Plain, "plain", 3, "number of workers of the plain service")
	flag.IntVar(&o.Callers, "callers", 24, "number of callers")
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "seed of faults and requests")
	flag.BoolVar(&o.Bursts, "crowds", false, "callers overload the plain service at times")
	flag.BoolVar(&o.Poison, "ends", false, "one caller sends a request during which workers die")
	flag.BoolVar(&o.RateLimits, "needs", false, "workers announce request limits")
	flag.BoolVar(&o.Announcements, "words", false, "workers announce in their responses that they leave, and request backoffs")
	flag.BoolVar(&o.Brittle, "brittle", false, "plain workers of few slots bear few rejections at times")
	flag.BoolVar(&o.Silent, "silent", false, "open connections fall silent for good, while new ones work")
	flag.BoolVar(&o.Site.Releases, "releases", false, "workers that stream are of two releases, and callers resume streams that break off")
	flag.BoolVar(&o.TurnedAway, "turned-away", false, "instead of all other faults, the store turns some boxes away and serves the others")
	flag.BoolVar(&o.Restored, "restored", false, "instead of all other faults, the store comes back from copies some seconds old")
	flag.BoolVar(&o.Site.Rollouts, "rollouts", false, "the operator rolls out good and bad versions, in two regions")
	flag.DurationVar(&o.Duration, "for", 20*time.Second, "how long to inject faults")
	flag.Parse()
	if o.Brittle {
		o.Site.PlainSlots = brittleSlots
	}
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
	for _, c := range tally.CompletedBad {
		fmt.Println("COMPLETED, BAD", c)
	}
	for _, c := range tally.BadAfter {
		fmt.Println("WOULD BE BAD", c)
	}
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
