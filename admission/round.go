package admission

import (
	"strconv"
	"strings"
	"time"

	"petrelstep/picker"
	"petrelstep/route"
)

// round is what is looked up once for all that wait; it holds until room is given.
type round struct {
	ranked  map[string][]picker.Choice // upstreams in their order, by whom they are for
	leaving map[string]int             // tokens that run at those that leave, by service

	reserved map[string]bool // upstreams that are kept for who is overdue, in this round
	sampled  bool            // of many upstreams a sample is ranked
}

// allEvery is for how long the next round that weighs all of many upstreams is put off, for
// each that was weighed: such rounds take a tenth of a processor, however many there are.
const allEvery = 10 * time.Microsecond

func newRound(sampled bool) round {
	return round{ranked: map[string][]picker.Choice{}, leaving: map[string]int{}, reserved: map[string]bool{}, sampled: sampled}
}

// sampled returns a round that ranks samples where upstreams are many: what is idle is
// found so at a cost that does not grow with them. Who finds nothing waits for a round
// that weighs all.
func (a *Admission) sampled(service route.Service) round {
	return newRound(a.ranking.SampledFrom(service) > 0)
}

// nextRound returns the next round of those who wait: one that weighs all, if that is due.
func (a *Admission) nextRound(now time.Time) round {
	many := 0
	for _, w := range a.waiting {
		many = max(many, a.ranking.SampledFrom(w.ask.Service))
	}
	return newRound(many > 0 && now.Before(a.allAt))
}

func (r round) clear() {
	clear(r.ranked)
	clear(r.leaving)
}

// leaving returns the tokens that run at the upstreams of a service that leave.
func (a *Admission) leaving(now time.Time, r round, service string) int {
	tokens, ok := r.leaving[service]
	if !ok {
		tokens = a.ranking.Leaving(now, service).Tokens
		r.leaving[service] = tokens
	}
	return tokens
}

// ranked returns the upstreams that a request may go to, the emptiest first.
func (a *Admission) ranked(now time.Time, r round, ask Request) []picker.Choice {
	need := a.need(ask)
	key := strings.Join(append([]string{strconv.FormatBool(r.sampled), ask.Service.Name, ask.Hall, strings.Join(ask.Regions, ","), need.String()}, ask.Avoid...), "/")
	list, ok := r.ranked[key]
	if !ok {
		list = a.ranking.Ranked(now, picker.Want{
			Service: ask.Service, Tokens: ask.Prompt + ask.Answer, Hall: ask.Hall, Need: need, Avoid: ask.Avoid, Regions: ask.Regions, All: !r.sampled, Sample: r.sampled,
		})
		r.ranked[key] = list
		a.putOff(now, r, len(list))
	}
	return list
}

// putOff puts the next round off that weighs all, by what this one weighed.
func (a *Admission) putOff(now time.Time, r round, upstreams int) {
	if r.sampled {
		return
	}
	if a.allAt.Before(now) {
		a.allAt = now
	}
	a.allAt = a.allAt.Add(time.Duration(upstreams) * allEvery)
}
