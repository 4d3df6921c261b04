package speeds

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/wire"
)

// logClasses logs which engines are believed to be of another class than before, by
// the pause that was last asked for.
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
		id, born := split(key)
		s.log.WithFields(logrus.Fields{
			"upstream": id, "born": born, "service": service, "class": class, "was": was, "gap_aim_ms": gap.Milliseconds(),
			"alone_ms": speed.Alone().Milliseconds(), "beside_ms": speed.Concurrent().Milliseconds(), "read_us": speed.Prefill().Microseconds(),
			"alone_weight": speed.alone.weight, "beside_weight": speed.beside.weight, "read_weight": speed.read.weight,
			"age_ms": now.Sub(speed.seen).Milliseconds(),
		}).Info("engine_class")
	}
}

// Beliefs returns what is believed of the engines of a service, by id, for operators.
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
		id, _ := split(key)
		class := Unknown
		if gap > 0 {
			class = speed.Class(gap)
		}
		list = append(list, wire.UpstreamBelief{
			Upstream: id, Class: string(class), AloneMs: int(speed.Alone().Milliseconds()), BesideMs: int(speed.Concurrent().Milliseconds()),
			ReadUs: int(speed.Prefill().Microseconds()), AgeMs: int(now.Sub(speed.seen).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(x, y wire.UpstreamBelief) int { return strings.Compare(x.Upstream, y.Upstream) })
	return list
}
