package front

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"petrelstep/ledger"
	"petrelstep/metrics"
	"petrelstep/refusal"
	"petrelstep/retry"
	"petrelstep/upstream/service"
	"petrelstep/wire"
)

// target is one upstream of a service.
type target struct {
	name     string
	upstream wire.Upstream
}

func (f *Front) serveService(w http.ResponseWriter, r *http.Request, c caller) (string, error) {
	name := mux.Vars(r)["service"]
	if len(f.Resources.View().Services(name)) == 0 {
		return "", refusal.New(refusal.UnknownService, name)
	}
	body, end, err := f.receive(w, r, c)
	if err != nil {
		return "", err
	}
	defer end()
	call := service.Call{Method: r.Method, Path: "/" + mux.Vars(r)["path"], Type: r.Header.Get("Content-Type"), Body: body}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	targets := f.targets(name)
	if len(targets) == 0 {
		return "", refusal.New(refusal.NoUpstream, "no upstream of "+name+" is available").WithRetryAfter(defaultRetryAfter)
	}
	key := r.Header.Get("Idempotency-Key")
	if slices.Contains(targets[0].upstream.Repeatable, r.Method) {
		return "", f.callRepeatable(w, r, call, targets)
	}
	if key == "" {
		return "", f.callOnce(w, r, call, targets)
	}
	return key, f.callKeyed(w, r, c, call, targets, key)
}

// targets returns the upstreams of a service that are not leaving, rotated by one
// position with each call.
func (f *Front) targets(name string) []target {
	view := f.Resources.View()
	names := view.Services(name)
	var open []target
	start := int(f.rotation.Add(1) % uint64(max(len(names), 1)))
	for i := range names {
		n := names[(i+start)%len(names)]
		if u := view.Upstreams[n]; !u.Leaving {
			open = append(open, target{n, u})
		}
	}
	return open
}

// callRepeatable makes an idempotent call and retries it at the next upstream if it
// fails, within the retry budget.
func (f *Front) callRepeatable(w http.ResponseWriter, r *http.Request, call service.Call, targets []target) error {
	sent := false
	for n := range retry.MaxTries {
		if n > 0 {
			if !f.Budget.Spend() {
				break
			}
			f.Metrics.Retried(metrics.RetryIdempotent)
		}
		call.Address = targets[n%len(targets)].upstream.Address
		answer, err := f.Services.Do(r.Context(), call)
		if err == nil {
			f.Budget.Succeeded()
			f.answer(w, answer)
			return nil
		}
		sent = sent || !service.NotSent(err)
		if r.Context().Err() != nil {
			break
		}
	}
	if !sent {
		return refusal.New(refusal.NoUpstream, "the service cannot be reached").WithRetryAfter(defaultRetryAfter)
	}
	return refusal.New(refusal.UpstreamLost, "the service gave no answer").WithOutcome(refusal.Unknown).WithRetryAfter(defaultRetryAfter)
}

// callOnce makes a call that is neither idempotent nor has an idempotency key. It is
// retried only while no byte of it has been sent.
func (f *Front) callOnce(w http.ResponseWriter, r *http.Request, call service.Call, targets []target) error {
	answer, err := f.firstReached(r, call, targets)
	if err == nil {
		f.answer(w, answer)
		return nil
	}
	if service.NotSent(err) {
		return refusal.New(refusal.NoUpstream, "the service cannot be reached").WithRetryAfter(defaultRetryAfter)
	}
	return refusal.New(refusal.UnknownOutcome, "the service gave no answer")
}

// firstReached makes a call at the first upstream that can be reached.
func (f *Front) firstReached(r *http.Request, call service.Call, targets []target) (service.Answer, error) {
	var last error
	for _, t := range targets {
		call.Address = t.upstream.Address
		answer, err := f.Services.Do(r.Context(), call)
		if err == nil || !service.NotSent(err) || r.Context().Err() != nil {
			return answer, err
		}
		f.Metrics.Retried(metrics.RetryNeverStarted)
		last = err
	}
	return service.Answer{}, last
}

// callKeyed makes a call with an idempotency key. The call runs at most once, even if the
// caller repeats it; the ledger stores its outcome.
func (f *Front) callKeyed(w http.ResponseWriter, r *http.Request, c caller, call service.Call, targets []target, key string) error {
	entry, stored, err := f.Ledger.Begin(r.Context(), ledger.Call{
		Organisation: c.name, Key: key, BodyHash: ledger.HashOf(call.Method, r.URL.Path, call.Body),
	})
	if err != nil {
		return err
	}
	if stored != nil {
		w.Header().Set("Petrelstep-Replayed", "true")
		f.answer(w, service.Answer{Status: stored.Status, Type: stored.ContentType, Body: []byte(stored.Body)})
		return nil
	}
	if r.Context().Err() != nil {
		f.Ledger.NotRun(entry)
		return refusal.New(refusal.Deadline, "the caller disconnected")
	}
	call.Attempt = entry.Token
	// Once sent, the call continues if the caller disconnects: its outcome would be
	// lost otherwise.
	answer, err := f.firstReached(r.WithContext(detached(r)), call, targets)
	log := f.Log.WithFields(logrus.Fields{"attempt": entry.Token, "organisation": c.name})
	switch {
	case err == nil:
		f.Ledger.Done(entry, answer.Status, answer.Type, answer.Body)
		log.WithField("status", answer.Status).Info("call_done")
		f.answer(w, answer)
		return nil
	case service.NotSent(err):
		f.Ledger.NotRun(entry)
		return refusal.New(refusal.NoUpstream, "the service cannot be reached").WithRetryAfter(defaultRetryAfter)
	}
	f.Ledger.Unknown(entry)
	log.WithError(errors.Unwrap(err)).Warn("call_unknown")
	return refusal.New(refusal.UnknownOutcome, "the service gave no answer")
}

// answer forwards a service's answer to the caller.
func (f *Front) answer(w http.ResponseWriter, a service.Answer) {
	f.Metrics.Ended(refusal.Done)
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	w.Header().Set("Petrelstep-Ending", string(refusal.Done))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller may have disconnected
}

// detached returns a request's context without its cancellation and deadline.
func detached(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }
