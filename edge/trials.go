package edge

import (
	"context"
	"time"

	"petrelstep/fingerprint"
	"petrelstep/moveturns"
	"petrelstep/wire"
)

const (
	// maxTrialTime is how long a request may hold its turn: enough to read a prompt and
	// produce a first event. If its box dies, the next try waits that long.
	maxTrialTime = 3 * time.Second
	// trialReportDelay is how long a turn is held after an upstream crash, until the
	// other boxes have its report: two gossip periods and a lost packet.
	trialReportDelay = 800 * time.Millisecond
	trialKeyPrefix   = "trial/"
)

// trials implements relay.Trials: a request under which an upstream has crashed is tried
// by one box at a time. Concurrent tries would take down two upstreams before either
// crash is known.
type trials struct{ *Edge }

func (e *Edge) newTrials() trials { return trials{e} }

// Take implements relay.Trials: it takes a turn first among this box's own requests,
// then among all boxes at the first hub of the fingerprint's rendezvous order. If that
// hub is unreachable, the request runs without a turn.
func (t trials) Take(ctx context.Context, fp fingerprint.Fingerprint, request string) (release func(crashed bool), ok bool) {
	key := trialKeyPrefix + fp.String()
	_, ok = t.localTrials.Take(ctx, moveturns.Request{Box: request, Source: key, Targets: []string{key}, MaxHold: maxTrialTime})
	if !ok {
		return nil, false
	}
	releaseLocal := func() { t.localTrials.Release(key, request) }
	releaseFleet, ok := t.takeFleetTurn(ctx, key)
	if !ok {
		releaseLocal()
		return nil, false
	}
	return func(crashed bool) {
		releaseAll := func() {
			releaseFleet()
			releaseLocal()
		}
		if crashed {
			time.AfterFunc(trialReportDelay, releaseAll)
			return
		}
		go releaseAll() // don't delay the caller's answer
	}, true
}

// takeFleetTurn waits for this box's turn among all boxes.
func (t trials) takeFleetTurn(ctx context.Context, key string) (release func(), ok bool) {
	owner, known := t.ownerOf(time.Now(), key)
	if !known || owner.Name == t.config.Box {
		_, ok := t.turns.Take(ctx, moveturns.Request{Box: t.config.Box, Source: key, Targets: []string{key}, MaxHold: maxTrialTime})
		return func() { t.turns.Release(key, t.config.Box) }, ok
	}
	call := wire.TurnAsk{
		Upstream: key, Box: t.config.Box, Targets: []string{key}, WaitMs: int(turnWait.Milliseconds()), MostMs: int(maxTrialTime.Milliseconds()),
	}
	for t.isReachable(owner.Name) && ctx.Err() == nil {
		answer, err := t.callTurn(ctx, owner, call)
		if err != nil {
			t.log.WithError(err).WithField("keeper", owner.Name).Warn("trial_not_asked")
			break
		}
		if answer.Granted {
			return func() { t.returnTurn(owner, call) }, true
		}
	}
	return func() {}, ctx.Err() == nil
}
