package speeds

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/wire"
)

// logClasses logs the engines whose class has changed, for the last requested maximum
// gap.
func (s *Speeds) logClasses(now time.Time, service string, v *view) {
	gap := s.gaps[service]
	if gap == 0 {
		return
	}
	for key, speed := range v.speeds {
		class, was := speed.Class(gap), s.classes[key]
		if class == was || class == Unknown {
			continue
		}
		s.classes[key] = class
		id, born := splitKey(key)
		s.log.WithFields(logrus.Fields{
			"upstream": id, "born": born, "service": service, "class": class, "was": was, "gap_aim_ms": gap.Milliseconds(),
			"alone_ms": speed.Alone().Milliseconds(), "beside_ms": speed.Concurrent().Milliseconds(), "read_us": speed.Prefill().Microseconds(),
			"alone_weight": speed.alone.weight, "beside_weight": speed.concurrent.weight, "read_weight": speed.prefill.weight,
			"age_ms": now.Sub(speed.lastSeen).Milliseconds(),
		}).Info("engine_class")
	}
}

// Beliefs returns the estimates of a service's engines by id, for operators.
func (s *Speeds) Beliefs(now time.Time, service string) []wire.UpstreamBelief {
	if s == nil {
		return nil
	}
	v := s.view(now, service)
	s.mu.Lock()
	gap := s.gaps[service]
	s.mu.Unlock()
	list := []wire.UpstreamBelief{}
	for key, speed := range v.speeds {
		id, _ := splitKey(key)
		class := Unknown
		if gap > 0 {
			class = speed.Class(gap)
		}
		list = append(list, wire.UpstreamBelief{
			Upstream: id, Class: string(class), AloneMs: int(speed.Alone().Milliseconds()), BesideMs: int(speed.Concurrent().Milliseconds()),
			ReadUs: int(speed.Prefill().Microseconds()), AgeMs: int(now.Sub(speed.lastSeen).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(x, y wire.UpstreamBelief) int { return strings.Compare(x.Upstream, y.Upstream) })
	return list
}
