package speeds

import (
	"math"
	"strconv"
	"strings"
	"time"

	"petrelstep/fleet"
	"petrelstep/wire"
)

const (
	// halfLife is the half-life of observations: a slowdown that lasts is noticed
	// within two seconds, and half a second of noise moves the mean by a sixth of its
	// size.
	halfLife = 2 * time.Second
	// minWeight is the weight below which a record is dropped.
	minWeight = 0.05
	// weightScale and logScale are the units per 1 of weights and logarithms in
	// reports.
	weightScale = 100
	logScale    = 1000
)

// sum is the weight of some observations and the weighted sum of their logarithms.
type sum struct{ weight, log float64 }

func (s sum) plus(o sum) sum { return sum{s.weight + o.weight, s.log + o.log} }

func (s sum) minus(o sum) sum { return sum{s.weight - o.weight, s.log - o.log} }

func (s sum) times(factor float64) sum { return sum{s.weight * factor, s.log * factor} }

// with adds an observation.
func (s sum) with(took time.Duration, weight float64) sum {
	return s.plus(sum{weight, weight * math.Log(took.Seconds())})
}

// mean returns the mean logarithm.
func (s sum) mean() float64 { return s.log / s.weight }

// record is what was recently observed of one engine. Values are immutable.
type record struct{ alone, concurrent, prefill sum }

// Plus implements peerstate.Sum.
func (r record) Plus(o record) record {
	return record{r.alone.plus(o.alone), r.concurrent.plus(o.concurrent), r.prefill.plus(o.prefill)}
}

// Minus implements peerstate.Sum.
func (r record) Minus(o record) record {
	return record{r.alone.minus(o.alone), r.concurrent.minus(o.concurrent), r.prefill.minus(o.prefill)}
}

func (r record) times(factor float64) record {
	return record{r.alone.times(factor), r.concurrent.times(factor), r.prefill.times(factor)}
}

func (r record) weight() float64 { return r.alone.weight + r.concurrent.weight + r.prefill.weight }

// keyOf returns the key of an incarnation of an upstream.
func keyOf(u fleet.Upstream) string { return keyFor(u.ID, int(u.StartedAt)) }

func keyFor(id string, born int) string { return id + "@" + strconv.Itoa(born) }

// splitKey splits a key of keyFor.
func splitKey(key string) (id string, born int) {
	at := strings.LastIndex(key, "@")
	born, _ = strconv.Atoi(key[at+1:])
	return key[:at], born
}

func toRow(key string, r record) wire.UpstreamSpeed {
	row := wire.UpstreamSpeed{}
	row.Upstream, row.Born = splitKey(key)
	row.Alone, row.AloneLog = encode(r.alone)
	row.Beside, row.BesideLog = encode(r.concurrent)
	row.Read, row.ReadLog = encode(r.prefill)
	return row
}

func encode(s sum) (weight, log int) {
	return int(math.Round(s.weight * weightScale)), int(math.Round(s.log * logScale))
}

func fromRow(row wire.UpstreamSpeed) record {
	return record{decode(row.Alone, row.AloneLog), decode(row.Beside, row.BesideLog), decode(row.Read, row.ReadLog)}
}

func decode(weight, log int) sum { return sum{float64(weight) / weightScale, float64(log) / logScale} }
