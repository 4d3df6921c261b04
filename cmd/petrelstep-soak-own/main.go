// Command petrelstep-soak-own keeps callers and operators at work on the example
// set and checks what they were told. It strikes nothing itself; scripts/soak-own
// does.
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
	callers := flag.String("boxes", os.Getenv("PETRELSTEP_BOXES"), "callers' addresses of boxes")
	admins := flag.String("admin", os.Getenv("PETRELSTEP_ADMIN"), "operators' addresses of boxes")
	last := flag.Duration("for", time.Minute, "how long")
	seed := flag.Uint64("seed", 1, "seed")
	workers := flag.Int("workers", 8, "callers of each sort")
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
