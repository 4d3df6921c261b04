// Command petrelstep-experiment runs the policies in all scenarios in virtual time and
// prints the results, which are the same for each run.
package main

import (
	"flag"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"petrelstep/experiment"
	"petrelstep/report"
)

// defaultSeeds are the seeds of the crowded scenarios; the others use the first.
const defaultSeeds = "11,12,13"

// gcPercent makes garbage collection rare: runs allocate much and keep little.
const gcPercent = 1000

func main() {
	scenarios := flag.String("scenarios", "", "scenario names, comma-separated; empty for all")
	policies := flag.String("policies", strings.Join(experiment.Policies(), ","), "policy names, comma-separated")
	seeds := flag.String("seeds", defaultSeeds, "seeds of the crowded scenarios, comma-separated; the others use the first")
	flag.Parse()
	debug.SetGCPercent(gcPercent)
	var reports []*report.Report
	limit := make(chan struct{}, runtime.NumCPU())
	for _, s := range experiment.Scenarios() {
		if *scenarios != "" && !strings.Contains(","+*scenarios+",", ","+s.Name+",") {
			continue
		}
		reports = append(reports, report.New(s.Name))
	}
	runAll(reports, strings.Split(*policies, ","), parseSeeds(*seeds), limit)
	for _, r := range reports {
		r.Table(os.Stdout)
	}
	os.Stdout.WriteString("\n")
	for _, r := range reports {
		r.Ratio(os.Stdout)
	}
}

// runAll executes all runs, with concurrency bounded by limit, and adds the results in
// a fixed order.
func runAll(reports []*report.Report, policies []string, seeds []uint64, limit chan struct{}) {
	type slot struct {
		report *report.Report
		result experiment.Result
	}
	var slots []*slot
	var all sync.WaitGroup
	for _, r := range reports {
		for _, p := range policies {
			for _, seed := range seedsOf(r.Scenario(), seeds) {
				s := &slot{report: r}
				slots = append(slots, s)
				all.Go(func() {
					limit <- struct{}{}
					defer func() { <-limit }()
					s.result = experiment.Run(experiment.Named(r.Scenario()), p, seed)
				})
			}
		}
	}
	all.Wait()
	for _, s := range slots {
		s.report.Add(s.result)
	}
}

func seedsOf(scenario string, seeds []uint64) []uint64 {
	if strings.HasPrefix(scenario, "crowded") {
		return seeds
	}
	return seeds[:1]
}

func parseSeeds(list string) []uint64 {
	var seeds []uint64
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			os.Stderr.WriteString("-seeds: " + s + " is not a number\n")
			os.Exit(2)
		}
		seeds = append(seeds, n)
	}
	return seeds
}
