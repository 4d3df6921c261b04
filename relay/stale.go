package relay

import (
	"hash/fnv"
	"time"
)

const (
	// comeStaleMost bounds when to come back while the store is silent for all.
	comeStaleMost = 10 * time.Second
	// comeStaleSpread is the part of that time by which callers are spread.
	comeStaleSpread = 3
)

// comeStale tells when a request is to come back that this box's configuration is too old
// for: at once, as another box may know better; where the store is silent for all, after
// about as long as it has been.
func (r *Relay) comeStale(request string) time.Duration {
	if r.StoreSilence == nil {
		return comeAgain
	}
	silent := r.StoreSilence()
	if silent < comeLater {
		return comeAgain
	}
	wait := min(silent, comeStaleMost)
	hash := fnv.New32a()
	hash.Write([]byte(request))
	return wait + time.Duration(hash.Sum32())%(wait/comeStaleSpread)
}
