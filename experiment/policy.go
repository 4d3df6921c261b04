package experiment

import (
	"time"

	"petrelstep/home"
	"petrelstep/placement"
)

// sharing is how several boxes share an engine's headroom.
type sharing int

const (
	withoutGrants sharing = iota // direct dispatch to an engine: the baselines
	homeBox                      // one box grants for all
	headroom                     // each box grants from a fixed share
	announcements                // each box grants alone with two choices and delayed announcements of the others
)

type policy struct {
	name         string
	method       placement.Method
	sharing      sharing
	deviations   float64
	adaptive     bool
	gapBound     time.Duration
	maxUngranted int // expected prompt and output tokens up to which no grant is needed
	oracle       bool
}

const (
	defaultDeviations   = 1.6
	defaultGapBound     = 45 * time.Millisecond
	defaultMaxUngranted = 1024
)

func forecastPolicy(name string, s sharing) policy {
	return policy{
		name: name, method: placement.Forecast, sharing: s, deviations: defaultDeviations,
		adaptive: true, gapBound: defaultGapBound, maxUngranted: defaultMaxUngranted,
	}
}

func (p policy) with(change func(*policy)) policy {
	change(&p)
	return p
}

// Policies returns the names of all policies: the baselines first, then petrelstep's variants,
// and the oracle as the upper limit last.
func Policies() []string {
	return []string{
		"round_robin", "least_requests", "two_choices", "least_memory",
		"headroom_share", "digests_two_choices", "forecast", "oracle",
	}
}

// Baselines returns the names of the policies that petrelstep's are compared with.
func Baselines() []string { return Policies()[:4] }

var policies = map[string]policy{
	"round_robin":         {name: "round_robin", method: placement.RoundRobin},
	"least_requests":      {name: "least_requests", method: placement.LeastRequests},
	"two_choices":         {name: "two_choices", method: placement.TwoChoices},
	"least_memory":        {name: "least_memory", method: placement.LeastMemory},
	"headroom_share":      forecastPolicy("headroom_share", headroom),
	"digests_two_choices": forecastPolicy("digests_two_choices", announcements),
	"forecast":            forecastPolicy("forecast", homeBox),
	"oracle":              forecastPolicy("oracle", homeBox).with(func(p *policy) { p.oracle = true; p.adaptive = false; p.deviations = 1 }),
}

func (p policy) params() home.Params {
	params := home.Params{
		Deviations: p.deviations, Adaptive: p.adaptive, GapBound: p.gapBound, Share: 1, Queue: 4096,
	}
	if p.sharing == headroom {
		params.Share = 1.0 / boxCount
	}
	if p.sharing == announcements {
		params.Choices = 2
	}
	return params
}

func (p policy) reportInterval() time.Duration {
	if p.oracle {
		return admitInterval
	}
	return defaultReportInterval
}

func (p policy) lag(home bool) time.Duration {
	switch {
	case p.oracle:
		return 0
	case home:
		return homeLag
	}
	return boxLag
}
