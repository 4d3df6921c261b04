package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// class is the kind of a request, as declared by its caller.
type class string

const (
	draft  class = "draft"
	check  class = "check"
	lookup class = "lookup"
)

const organisations = 10

// arrival is one request of a workload. Only the oracle's decisions know the length.
type arrival struct {
	at           time.Duration
	organisation int
	box          int
	class        class
	prompt       int
	chain        []uint64
	length       int
}

// mix describes one user's requests.
type mix struct {
	checks, lookups float64 // fractions of all requests; the others are drafts
	promptBase      int     // tokens of a draft's shared template
	prompt          float64 // median tokens of a draft's prompt beyond the template
	length          float64 // median output tokens of a draft
	sigma           float64 // standard deviation of the length's logarithm
}

var (
	lothian    = mix{checks: 0.5, lookups: 0.2, promptBase: 512, prompt: 600, length: 1600, sigma: 1.0}
	tunniplaan = mix{checks: 0.45, lookups: 0.35, promptBase: 1024, prompt: 900, length: 2600, sigma: 0.9}
)

const (
	maxDraftLength = 16_384
	// maxOutputTokens is the limit that every caller sets, so that it reveals no lengths.
	maxOutputTokens = 32_768
	blockSize       = 64
)

// generate draws a workload; the same seed gives the same arrivals.
func generate(s Scenario, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	factors := make([]float64, organisations)
	shares := make([]float64, organisations)
	for i := range factors {
		factors[i] = math.Exp(0.4 * rng.NormFloat64())
		shares[i] = 1 / math.Pow(float64(i+1), 1.1)
	}
	normalise(factors, shares)
	var all []arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / s.rateAt(at)
		if at >= s.duration.Seconds() {
			break
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), box: rng.IntN(boxCount)}
		a.organisation = s.organisationAt(at, pick(rng, shares), rng)
		s.fill(&a, rng, factors[a.organisation])
		all = append(all, a)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// normalise scales the weighted mean of the factors to one, so that seeds differ in the
// organisations' shares but not in the total load.
func normalise(factors, shares []float64) {
	sum, weight := 0.0, 0.0
	for i := range factors {
		sum += factors[i] * shares[i]
		weight += shares[i]
	}
	for i := range factors {
		factors[i] *= weight / sum
	}
}

func (s Scenario) fill(a *arrival, rng *rand.Rand, factor float64) {
	u := rng.Float64()
	switch {
	case u < s.mix.checks:
		a.class, a.prompt, a.length = check, 150+rng.IntN(450), 4+rng.IntN(60)
	case u < s.mix.checks+s.mix.lookups:
		a.class, a.prompt, a.length = lookup, 50+rng.IntN(150), 2+rng.IntN(22)
	default:
		s.fillDraft(a, rng, factor)
	}
}

func (s Scenario) fillDraft(a *arrival, rng *rand.Rand, factor float64) {
	m := s.mix
	a.class = draft
	a.prompt = m.promptBase + int(m.prompt*math.Exp(0.6*rng.NormFloat64()))
	if s.longPrompts > 0 && rng.Float64() < s.longPrompts {
		a.prompt += 6_000 + rng.IntN(10_000)
	}
	median := m.length * factor
	if s.shift > 0 && a.at > s.duration/2 {
		median *= s.shift
	}
	a.length = min(max(int(median*math.Exp(m.sigma*rng.NormFloat64())), 16), maxDraftLength)
	template := uint64(a.organisation*8 + rng.IntN(3) + 1)
	for b := range m.promptBase / blockSize {
		a.chain = append(a.chain, template<<32|uint64(b))
	}
}

func (s Scenario) rateAt(at float64) float64 {
	if s.bursts && math.Mod(at, 300) >= 240 {
		return s.rate * 2
	}
	return s.rate
}

// organisationAt returns the sender of a request: mostly the largest organisation during its
// burst, the drawn one otherwise.
func (s Scenario) organisationAt(at float64, drawn int, rng *rand.Rand) int {
	total := s.duration.Seconds()
	if s.largeBurst && at > total/3 && at < total/2 && rng.Float64() < 0.8 {
		return 0
	}
	return drawn
}

func pick(rng *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	u := rng.Float64() * sum
	for i, s := range shares {
		u -= s
		if u < 0 {
			return i
		}
	}
	return len(shares) - 1
}
