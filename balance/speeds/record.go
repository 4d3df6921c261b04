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
	// halfLife of what is seen: an engine that turns slow for some seconds is known
	// within two, and half a second of noise moves the mean by a sixth of its size.
	halfLife = 2 * time.Second
	// forgotten is the weight below which an observation is worth no bytes.
	forgotten = 0.05
	// parts and logParts are in what parts weights and logarithms are told.
	parts    = 100
	logParts = 1000
)

// sum is the weight of some observations, and their logarithms times their weights.
type sum struct{ weight, log float64 }

func (s sum) plus(o sum) sum { return sum{s.weight + o.weight, s.log + o.log} }

func (s sum) minus(o sum) sum { return sum{s.weight - o.weight, s.log - o.log} }

func (s sum) times(part float64) sum { return sum{s.weight * part, s.log * part} }

// with adds an observation.
func (s sum) with(took time.Duration, weight float64) sum {
	return s.plus(sum{weight, weight * math.Log(took.Seconds())})
}

// mean returns the mean logarithm.
func (s sum) mean() float64 { return s.log / s.weight }

// record is what was seen of one engine of late. Values are immutable.
type record struct{ alone, beside, read sum }

// Plus returns the sum of both.
func (r record) Plus(o record) record {
	return record{r.alone.plus(o.alone), r.beside.plus(o.beside), r.read.plus(o.read)}
}

// Minus returns the record without another.
func (r record) Minus(o record) record {
	return record{r.alone.minus(o.alone), r.beside.minus(o.beside), r.read.minus(o.read)}
}

func (r record) times(part float64) record {
	return record{r.alone.times(part), r.beside.times(part), r.read.times(part)}
}

func (r record) weight() float64 { return r.alone.weight + r.beside.weight + r.read.weight }

// keyOf names an incarnation of an upstream.
func keyOf(u fleet.Upstream) string { return keyFor(u.ID, int(u.StartedAt)) }

func keyFor(id string, born int) string { return id + "@" + strconv.Itoa(born) }

// split undoes keyFor.
func split(key string) (id string, born int) {
	at := strings.LastIndex(key, "@")
	born, _ = strconv.Atoi(key[at+1:])
	return key[:at], born
}

func rowOf(key string, r record) wire.UpstreamSpeed {
	row := wire.UpstreamSpeed{}
	row.Upstream, row.Born = split(key)
	row.Alone, row.AloneLog = worded(r.alone)
	row.Beside, row.BesideLog = worded(r.beside)
	row.Read, row.ReadLog = worded(r.read)
	return row
}

func worded(s sum) (weight, log int) {
	return int(math.Round(s.weight * parts)), int(math.Round(s.log * logParts))
}

func recordOf(row wire.UpstreamSpeed) record {
	return record{heard(row.Alone, row.AloneLog), heard(row.Beside, row.BesideLog), heard(row.Read, row.ReadLog)}
}

func heard(weight, log int) sum { return sum{float64(weight) / parts, float64(log) / logParts} }
