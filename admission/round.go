package admission

import (
	"strconv"
	"strings"
	"time"

	"petrelstep/picker"
	"petrelstep/route"
)

// round caches what is computed once for all waiting requests. It is valid until a
// request is admitted.
type round struct {
	ranked  map[string][]picker.Choice // ranked upstreams, by the requests' requirements
	leaving map[string]int             // tokens at leaving upstreams, by service

	reserved map[string]bool // upstreams reserved for overdue requests in this round
	sampled  bool            // only a sample of many upstreams is ranked
}

// fullRoundDelay is the delay of the next full round for each upstream that a full round
// ranked. It bounds full rounds to a tenth of a processor.
const fullRoundDelay = 10 * time.Microsecond

func newRound(sampled bool) round {
	return round{ranked: map[string][]picker.Choice{}, leaving: map[string]int{}, reserved: map[string]bool{}, sampled: sampled}
}

// sampled returns a round that ranks samples of many upstreams, which finds idle ones at a
// constant cost. Requests that find none wait for a full round.
func (a *Admission) sampled(service route.Service) round {
	return newRound(a.ranking.SampledFrom(service) > 0)
}

// nextRound returns the next round, a full one if that is due.
func (a *Admission) nextRound(now time.Time) round {
	sampledFrom := 0
	for _, w := range a.waiting {
		sampledFrom = max(sampledFrom, a.ranking.SampledFrom(w.req.Service))
	}
	return newRound(sampledFrom > 0 && now.Before(a.fullRoundAt))
}

func (r round) clear() {
	clear(r.ranked)
	clear(r.leaving)
}

// leaving returns the tokens in use at the leaving upstreams of a service.
func (a *Admission) leaving(now time.Time, r round, service string) int {
	tokens, ok := r.leaving[service]
	if !ok {
		tokens = a.ranking.Leaving(now, service).Tokens
		r.leaving[service] = tokens
	}
	return tokens
}

// ranked returns the upstreams for a request, best first.
func (a *Admission) ranked(now time.Time, r round, req Request) []picker.Choice {
	need := a.need(req)
	key := strings.Join(append([]string{strconv.FormatBool(r.sampled), req.Service.Name, req.Hall, strings.Join(req.Regions, ","), req.Release, need.String()}, req.Avoid...), "/")
	list, ok := r.ranked[key]
	if !ok {
		list = a.ranking.Ranked(now, picker.Want{
			Service: req.Service, Tokens: req.Prompt + req.Answer, Hall: req.Hall, Need: need, Avoid: req.Avoid, Regions: req.Regions, Release: req.Release, All: !r.sampled, Sample: r.sampled,
		})
		r.ranked[key] = list
		a.delayFullRound(now, r, len(list))
	}
	return list
}

// delayFullRound delays the next full round by the number of upstreams that this one
// ranked.
func (a *Admission) delayFullRound(now time.Time, r round, upstreams int) {
	if r.sampled {
		return
	}
	if a.fullRoundAt.Before(now) {
		a.fullRoundAt = now
	}
	a.fullRoundAt = a.fullRoundAt.Add(time.Duration(upstreams) * fullRoundDelay)
}
