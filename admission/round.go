package admission

import (
	"strings"
	"time"

	"petrelstep/choose"
)

// round is what is looked up once for all that wait; it holds until room is given.
type round struct {
	ranked  map[string][]choose.Choice // upstreams in their order, by whom they are for
	leaving map[string]int             // tokens that run at those that leave, by service

	reserved map[string]bool // upstreams that are kept for who is overdue, in this round
}

func newRound() round {
	return round{ranked: map[string][]choose.Choice{}, leaving: map[string]int{}, reserved: map[string]bool{}}
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
func (a *Admission) ranked(now time.Time, r round, ask Ask) []choose.Choice {
	need := a.need(ask)
	key := strings.Join(append([]string{ask.Service.Name, ask.Hall, strings.Join(ask.Regions, ","), need.String()}, ask.Avoid...), "/")
	list, ok := r.ranked[key]
	if !ok {
		list = a.ranking.Ranked(now, choose.Want{
			Service: ask.Service, Tokens: ask.Prompt + ask.Answer, Hall: ask.Hall, Need: need, Avoid: ask.Avoid, Regions: ask.Regions, All: true,
		})
		r.ranked[key] = list
	}
	return list
}
