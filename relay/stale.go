package relay

import (
	"hash/fnv"
	"time"
)

const (
	// maxStaleRetryAfter bounds the Retry-After while the store answers no box.
	maxStaleRetryAfter = 10 * time.Second
	// staleSpreadDivisor: callers are spread over wait/staleSpreadDivisor.
	staleSpreadDivisor = 3
)

// staleRetryAfter returns the Retry-After of a request that is refused because the
// configuration is stale: short, as another box may have a newer one, or about the length
// of the outage if the store answers no box. Requests are spread so that they don't return
// all at once.
func (r *Relay) staleRetryAfter(request string) time.Duration {
	if r.StoreSilence == nil {
		return retryAfterOtherBox
	}
	silent := r.StoreSilence()
	if silent < retryAfterAllBoxes {
		return retryAfterOtherBox
	}
	wait := min(silent, maxStaleRetryAfter)
	hash := fnv.New32a()
	hash.Write([]byte(request))
	return wait + time.Duration(hash.Sum32())%(wait/staleSpreadDivisor)
}
