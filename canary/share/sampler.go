package share

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sampler draws a box's requests for a candidate. It spreads them evenly over the requests of
// each route: a short order has few, and one route might get none if each were drawn by
// itself. It is safe for concurrent use.
type Sampler struct {
	mu   sync.Mutex
	rest map[string]int // sum of the shares since the last drawn request, in millionths, by route
}

// NewSampler returns a sampler that has drawn nothing.
func NewSampler() *Sampler { return &Sampler{rest: map[string]int{}} }

// Drawn reports whether a request of a route goes to the candidate at a share of the given age.
func (s *Sampler) Drawn(ppm int, age time.Duration, route, request string) bool {
	if ppm <= 0 || age > MaxAge {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rest, known := s.rest[route]
	if !known { // not all boxes draw their first requests at the same time
		rest = int(xxhash.Sum64String("rollout/"+request) % PPM)
	}
	rest += ppm
	s.rest[route] = rest % PPM
	return rest >= PPM
}
