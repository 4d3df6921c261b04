// Command petrelstep-soak-own runs callers and operators against the example cluster
// and checks the answers that they get. The faults are injected by scripts/soak-own.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"petrelstep/soak/own"
)

func main() {
	callers := flag.String("boxes", os.Getenv("PETRELSTEP_BOXES"), "caller addresses of boxes")
	admins := flag.String("admin", os.Getenv("PETRELSTEP_ADMIN"), "admin addresses of boxes")
	last := flag.Duration("for", time.Minute, "duration of the run")
	seed := flag.Uint64("seed", 1, "seed of the requests")
	workers := flag.Int("workers", 8, "number of callers of each kind")
	flag.Parse()
	s := own.New(own.Options{
		Callers: urls(*callers), Admins: urls(*admins), History: "http://127.0.0.1:9301/history",
		Key: "lothian-example-key", Admin: "operator-example-key", Duration: *last, Seed: *seed, Workers: *workers,
	})
	tally, notes := s.Run(context.Background())
	for _, n := range notes {
		fmt.Println(n)
	}
	fmt.Printf("behind_3s=%d\n", tally.Behind)
	fmt.Println(tally)
	if tally.Violated() {
		os.Exit(1)
	}
}

func urls(list string) []string {
	all := strings.Split(list, ",")
	for i, a := range all {
		all[i] = "http://" + a
	}
	return all
}
