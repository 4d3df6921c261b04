package admission

import (
	"cmp"
	"math"
	"time"

	"petrelstep/balance/speeds"
	"petrelstep/picker"
	"petrelstep/upstreamload"
)

const (
	// defaultStep is the assumed time per token until an engine's pace is known.
	defaultStep = 12 * time.Millisecond
	// shortageWindow is how long capacity counts as scarce after a long request had to wait.
	shortageWindow = time.Second
	// prefillWeight weighs a prompt token that is read first against a token of memory left
	// over, so that idle engines are preferred to slightly fuller ones.
	prefillWeight = 2
	// lateWeight weighs a late request against an engine's memory.
	lateWeight = 4
	// otherHallDivisor divides an engine's memory into the penalty for another hall. It is low
	// for short requests, as a lost packet can delay only one event.
	otherHallDivisor = 4
	// deviations is the number of standard deviations of memory growth that are kept free.
	deviations = 1.0
)

// step returns an engine's time per token.
func step(req Request, l upstreamload.Load) time.Duration {
	return cmp.Or(l.Pace()/time.Duration(max(req.Service.Engine.EventTokens, 1)), defaultStep)
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bestUpstream returns the best upstream with capacity for a request. That is the first in
// rank, except for short requests while long ones wait: these go where they leave the
// least memory over, to use gaps that are too small for long requests.
func (a *Admission) bestUpstream(now time.Time, r round, req Request) (Grant, bool) {
	ranked, short := a.ranked(now, r, req), a.short(req)
	if !short && !a.overdue(now, req) && !a.hasSpareMemory(ranked, req, a.leaving(now, r, req.Service.Name), a.sampleFactor(r, req, ranked)) {
		return Grant{}, false
	}
	best, lowest := -1, 0
	for i, c := range ranked {
		if c.Held || !short && r.reserved[c.Upstream.ID] || !a.fits(now, req, c) {
			continue
		}
		if !short || now.Sub(a.lastWaitAt) > shortageWindow {
			return grantOf(req, c), true
		}
		if cost := a.packingCost(req, c) + int((c.Cost+c.LateChance)*float64(lateWeight*req.Service.Engine.Memory)); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return Grant{}, false
	}
	return grantOf(req, ranked[best]), true
}

// hasSpareMemory reports whether the upstreams together have memory for a request in
// addition to the runs that will move off leaving upstreams. Admitting new requests into
// that memory would cause preemptions. The factor extrapolates from a ranked sample.
func (a *Admission) hasSpareMemory(ranked []picker.Choice, req Request, leaving int, factor float64) bool {
	if leaving == 0 || !req.Service.Engine.Moves {
		return true
	}
	free := 0
	for _, c := range ranked {
		free += max(req.Service.Engine.Memory-c.Running.Tokens-a.growth(req, c.Running), 0)
	}
	return float64(free)*factor >= float64(leaving+req.Prompt)
}

// sampleFactor returns the number of upstreams divided by that of ranked ones.
func (a *Admission) sampleFactor(r round, req Request, ranked []picker.Choice) float64 {
	if !r.sampled || len(ranked) == 0 {
		return 1
	}
	return float64(a.ranking.SampledFrom(req.Service)) / float64(len(ranked))
}

// need returns a request's requirements on an engine's speed.
func (a *Admission) need(req Request) speeds.Need {
	return speeds.Need{Gap: req.Gap, First: req.Aim, Long: !a.short(req)}
}

// grantOf returns the grant of an upstream to a request.
func grantOf(req Request, c picker.Choice) Grant {
	return Grant{Upstream: c.Upstream, Cost: c.Cost, running: c.Running, Load: float64(c.Running.Tokens) / float64(max(req.Service.Engine.Memory, 1))}
}

// packingCost returns the memory that a request would leave unused at an upstream, in
// tokens, with penalties for another hall and for queued prompts.
func (a *Admission) packingCost(req Request, c picker.Choice) int {
	cost := req.Service.Engine.Memory - c.Running.Tokens - req.Prompt - a.growth(req, c.Running)
	cost += prefillWeight * c.Running.Prefill
	if c.Upstream.Hall != req.Hall {
		cost += req.Service.Engine.Memory / otherHallDivisor
	}
	return cost
}

// fits reports whether an upstream has capacity for a request: a free slot, time to read
// its prompt, and memory for it and for the growth of all requests there until the next
// of them ends.
func (a *Admission) fits(now time.Time, req Request, c picker.Choice) bool {
	l := c.Running
	if l.Requests == 0 {
		return true // no upstream can have more capacity
	}
	if l.Requests >= c.Upstream.Slots || !a.prefillFits(now, req, c) {
		return false
	}
	return l.Tokens+req.Prompt+a.growth(req, l) <= req.Service.Engine.Memory
}

// prefillFits reports whether an engine can read a request's prompt in time after those
// queued there. Only a prompt's worth of tokens may be queued, which keeps the engine
// busy; short requests may have more ahead, as engines read them first. A request that
// can still be in time isn't sent where it would be late.
func (a *Admission) prefillFits(now time.Time, req Request, c picker.Choice) bool {
	left, l := a.timeLeft(now, req), c.Running
	if left < 0 {
		return l.Prefill <= req.Prompt
	}
	inTime := c.PrefillRatio*a.prefill.Time(l.Prefill+req.Prompt).Seconds() <= (left + a.prefill.Time(req.Prompt)).Seconds()
	return inTime && (l.Prefill <= req.Prompt || a.short(req))
}

// growth returns the memory that an upstream's requests will additionally use until the
// next of them or this one ends, with its standard deviation. If n requests end at random,
// the next one ends after an nth of the mean remaining length, in which all n together
// grow by that length. The deviation is as large.
func (a *Admission) growth(req Request, l upstreamload.Load) int {
	n := float64(l.Requests + 1)
	next := float64(l.Coming+req.Answer) / n
	lifetime := float64(req.Answer) + float64(a.prefill.Time(req.Prompt+l.Prefill))/float64(step(req, l))
	return int((1 + deviations) * math.Min(next, n*lifetime))
}

// freedRate returns the memory that the upstreams free, in tokens per second.
func (a *Admission) freedRate(req Request, ranked []picker.Choice) float64 {
	sum := 0.0
	for _, c := range ranked {
		if l := c.Running; l.Coming > 0 {
			sum += float64(l.Tokens) * float64(l.Requests) / (float64(l.Coming) * step(req, l).Seconds())
		}
	}
	return sum
}
