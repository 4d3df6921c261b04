package edge

import (
	"context"
	"time"

	"petrelstep/fingerprint"
	"petrelstep/moveturns"
	"petrelstep/wire"
)

const (
	// trialMost is how long a request may keep its turn: a prompt is read and a first
	// event made within it. One whose box died costs its next try so much.
	trialMost = 3 * time.Second
	// trialNews is for how long a turn is kept after an upstream has ended, until the
	// others have heard: two of the periods of gossip, and a lost packet.
	trialNews = 800 * time.Millisecond
	trialKey  = "trial/"
)

// trials implements relay.Trials: a request under which an upstream has ended is tried
// once at a time, over all boxes. Two tries at once would end two upstreams before
// either is known.
type trials struct{ *Edge }

func (e *Edge) newTrials() trials { return trials{e} }

// Take implements relay.Trials: first among this box's own requests, then among the
// boxes, at the hub that is first in the fingerprint's rendezvous order. One that is
// not heard is done without.
func (t trials) Take(ctx context.Context, fp fingerprint.Fingerprint, request string) (giveBack func(ended bool), ok bool) {
	key := trialKey + fp.String()
	_, ok = t.trials.Take(ctx, moveturns.Request{Box: request, Source: key, Targets: []string{key}, MaxHold: trialMost})
	if !ok {
		return nil, false
	}
	own := func() { t.trials.Release(key, request) }
	others, ok := t.takeOfAll(ctx, key)
	if !ok {
		own()
		return nil, false
	}
	return func(ended bool) {
		back := func() {
			others()
			own()
		}
		if ended {
			time.AfterFunc(trialNews, back)
			return
		}
		go back() // the caller's answer does not wait for the call
	}, true
}

// takeOfAll waits for this box's turn among the boxes.
func (t trials) takeOfAll(ctx context.Context, key string) (giveBack func(), ok bool) {
	keeper, known := t.members.Owner(time.Now(), key)
	if !known || keeper.Name == t.config.Box {
		_, ok := t.turns.Take(ctx, moveturns.Request{Box: t.config.Box, Source: key, Targets: []string{key}, MaxHold: trialMost})
		return func() { t.turns.Release(key, t.config.Box) }, ok
	}
	call := wire.TurnAsk{
		Upstream: key, Box: t.config.Box, Targets: []string{key}, WaitMs: int(turnWait.Milliseconds()), MostMs: int(trialMost.Milliseconds()),
	}
	for t.hears(keeper.Name) && ctx.Err() == nil {
		answer, err := t.askOnce(ctx, keeper, call)
		if err != nil {
			t.log.WithError(err).WithField("keeper", keeper.Name).Warn("trial_not_asked")
			break
		}
		if answer.Granted {
			return func() { t.turnBack(keeper, call) }, true
		}
	}
	return func() {}, ctx.Err() == nil
}
