package experiment

import "time"

// Scenario is a workload with the faults injected during it.
type Scenario struct {
	Name        string
	mix         mix
	rate        float64 // requests per second outside bursts
	duration    time.Duration
	bursts      bool    // doubles the rate for one minute in five
	shift       float64 // factor on the lengths of drafts in the second half
	longPrompts float64 // fraction of drafts with a very long prompt
	largeBurst  bool    // one organisation sends most requests for a while
	faults      []fault
}

type faultKind int

const (
	reclaimEngine faultKind = iota
	killEngine
	killBox
	freezeReports
	partitionBoxes
)

type fault struct {
	kind     faultKind
	at       time.Duration
	duration time.Duration
	target   int
}

const (
	defaultDuration = 730 * time.Second
	calmRate        = 5.0
	lothianRate     = 8.4
	tunniRate       = 7.6
)

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []Scenario {
	base := Scenario{mix: lothian, rate: lothianRate, duration: defaultDuration, bursts: true}
	return []Scenario{
		base.withName("calm").with(func(s *Scenario) { s.rate = calmRate; s.bursts = false }),
		base.withName("crowded_lothian"),
		base.withName("crowded_tunniplaan").with(func(s *Scenario) { s.mix = tunniplaan; s.rate = tunniRate }),
		base.withName("shift").with(func(s *Scenario) { s.shift = 1.6; s.rate = 7 }),
		base.withName("large_burst").with(func(s *Scenario) { s.largeBurst = true }),
		base.withName("long_prompts").with(func(s *Scenario) { s.longPrompts = 0.15; s.rate = 7 }),
		base.withName("engine_reclaimed").with(func(s *Scenario) {
			s.faults = []fault{{reclaimEngine, 200 * time.Second, 10 * time.Second, 3}, {reclaimEngine, 400 * time.Second, 10 * time.Second, 7}}
		}),
		base.withName("engine_killed").with(func(s *Scenario) {
			s.faults = []fault{{killEngine, 200 * time.Second, 0, 3}, {killEngine, 400 * time.Second, 0, 7}}
		}),
		base.withName("box_killed").with(func(s *Scenario) {
			s.faults = []fault{{killBox, 250 * time.Second, 30 * time.Second, 0}, {killBox, 450 * time.Second, 30 * time.Second, 1}}
		}),
		base.withName("reports_frozen").with(func(s *Scenario) {
			s.faults = []fault{{freezeReports, 150 * time.Second, 10 * time.Second, 0}, {freezeReports, 270 * time.Second, 10 * time.Second, 0}, {freezeReports, 500 * time.Second, 10 * time.Second, 0}}
		}),
		base.withName("boxes_parted").with(func(s *Scenario) {
			s.faults = []fault{{partitionBoxes, 200 * time.Second, 120 * time.Second, 3}}
		}),
	}
}

func (s Scenario) withName(name string) Scenario { s.Name = name; return s }

func (s Scenario) with(change func(*Scenario)) Scenario {
	change(&s)
	return s
}

// Named returns the scenario with the given name, or a zero Scenario.
func Named(name string) Scenario {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	return Scenario{}
}
