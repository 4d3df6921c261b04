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
	// stepGuess is how long an engine takes for a token until a stream was seen there.
	stepGuess = 12 * time.Millisecond
	// waitedFor is how long after a draft has waited room counts as short: crowds come
	// and go in seconds.
	waitedFor = time.Second
	// lineWeight weighs a token that is to be read before against one of memory left
	// over: an engine that has no line goes before one that is a prompt fuller.
	lineWeight = 2
	// lateWeight weighs a request that is made late against an engine's memory.
	lateWeight = 4
	// farPart is the part of an engine's memory that another hall costs one that
	// holds memory for a moment: a lost segment cannot make more than one event late.
	farPart = 4
	// deviations of the growth of what runs that are kept free.
	deviations = 1.0
)

// step returns how long an engine takes for a token.
func step(ask Ask, l upstreamload.Load) time.Duration {
	return cmp.Or(l.Pace()/time.Duration(max(ask.Service.Engine.EventTokens, 1)), stepGuess)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// room returns the best upstream that has room for a request: the emptiest, but
// while drafts wait, for one that holds memory for a moment, that with the least
// room left over. Prompts of such requests then use what is too small for any draft,
// and engines that have just come are filled by drafts. While nobody waits they would
// only slow what runs at full engines.
func (a *Admission) room(now time.Time, r round, ask Ask) (Grant, bool) {
	ranked, short := a.ranked(now, r, ask), a.short(ask)
	if !short && !a.overdue(now, ask) && !a.spare(ranked, ask, a.leaving(now, r, ask.Service.Name), a.among(r, ask, ranked)) {
		return Grant{}, false
	}
	best, least := -1, 0
	for i, c := range ranked {
		if c.Held || !short && r.reserved[c.Upstream.ID] || !a.fits(now, ask, c) {
			continue
		}
		if !short || now.Sub(a.waited) > waitedFor {
			return grantOf(ask, c), true
		}
		if over := a.leftOver(ask, c) + int((c.Cost+c.LateChance)*float64(lateWeight*ask.Service.Engine.Memory)); best < 0 || over < least {
			best, least = i, over
		}
	}
	if best < 0 {
		return Grant{}, false
	}
	return grantOf(ask, ranked[best]), true
}

// spare tells whether the upstreams together have room for a request beside the
// tokens that run at those that leave and move. Where a sixth of the engines leaves
// at once, their runs need more than what is free; newcomers that took it would have
// them, or each other, preempted, which costs a second of silence and a prompt read
// anew. They wait for the engines that come; one whose caller is about to leave does not.
// What was weighed stands for so many times as many upstreams.
func (a *Admission) spare(ranked []picker.Choice, ask Ask, leaving int, times float64) bool {
	if leaving == 0 || !ask.Service.Engine.Moves {
		return true
	}
	free := 0
	for _, c := range ranked {
		free += max(ask.Service.Engine.Memory-c.Running.Tokens-a.growth(ask, c.Running), 0)
	}
	return float64(free)*times >= float64(leaving+ask.Prompt)
}

// among returns how many times as many upstreams there are as were weighed.
func (a *Admission) among(r round, ask Ask, ranked []picker.Choice) float64 {
	if !r.sampled || len(ranked) == 0 {
		return 1
	}
	return float64(a.ranking.SampledFrom(ask.Service)) / float64(len(ranked))
}

// need is what a request needs of an engine.
func (a *Admission) need(ask Ask) speeds.Need {
	return speeds.Need{Gap: ask.Gap, First: ask.Aim, Long: !a.short(ask)}
}

func grantOf(ask Ask, c picker.Choice) Grant {
	return Grant{Upstream: c.Upstream, Cost: c.Cost, running: c.Running, Load: float64(c.Running.Tokens) / float64(max(ask.Service.Engine.Memory, 1))}
}

// leftOver is the memory that a request leaves at an upstream, in tokens, with what
// another hall and a line of prompts cost.
func (a *Admission) leftOver(ask Ask, c picker.Choice) int {
	over := ask.Service.Engine.Memory - c.Running.Tokens - ask.Prompt - a.growth(ask, c.Running)
	over += lineWeight * c.Running.Prefill
	if c.Upstream.Hall != ask.Hall {
		over += ask.Service.Engine.Memory / farPart
	}
	return over
}

// fits tells whether an upstream has room for a request: a place, time to read
// its prompt, and memory for it and for what all that run there make until the
// next of them ends.
func (a *Admission) fits(now time.Time, ask Ask, c picker.Choice) bool {
	l := c.Running
	if l.Requests == 0 {
		return true // there is no more room anywhere
	}
	if l.Requests >= c.Upstream.Slots || !a.readable(now, ask, c) {
		return false
	}
	return l.Tokens+ask.Prompt+a.growth(ask, l) <= ask.Service.Engine.Memory
}

// readable tells whether prompts before it leave time to read a request's. One
// prompt may be read while the next is there already, so that no engine waits;
// what takes but a moment may have more before it, as engines read it first. One
// that can still be in time goes only where it is: it would hold memory for an
// answer that is late.
func (a *Admission) readable(now time.Time, ask Ask, c picker.Choice) bool {
	left, l := a.left(now, ask), c.Running
	if left < 0 {
		return l.Prefill <= ask.Prompt
	}
	inTime := c.PrefillRatio*a.reading.Time(l.Prefill+ask.Prompt).Seconds() <= (left + a.reading.Time(ask.Prompt)).Seconds()
	return inTime && (l.Prefill <= ask.Prompt || a.short(ask))
}

// growth is the memory that an upstream's requests take until the next of them
// ends, or until this one does where that is sooner, with its deviation. Of n
// that end at random, the next ends after an nth of what each has left, so that
// all together take what one has left; its deviation is as large.
func (a *Admission) growth(ask Ask, l upstreamload.Load) int {
	n := float64(l.Requests + 1)
	next := float64(l.Coming+ask.Answer) / n
	life := float64(ask.Answer) + float64(a.reading.Time(ask.Prompt+l.Prefill))/float64(step(ask, l))
	return int((1 + deviations) * math.Min(next, n*life))
}

// leaves returns the tokens of memory that the upstreams free in a second.
func (a *Admission) leaves(ask Ask, ranked []picker.Choice) float64 {
	sum := 0.0
	for _, c := range ranked {
		if l := c.Running; l.Coming > 0 {
			sum += float64(l.Tokens) * float64(l.Requests) / (float64(l.Coming) * step(ask, l).Seconds())
		}
	}
	return sum
}
