// Package share controls which share of a service's requests goes to a candidate release
// during its trial. It needs no network: a decider feeds it the sums of all boxes and
// hands out the share.
package share

import "time"

const (
	// maxShare bounds the share, so that the baseline stays measured.
	maxShare = 0.5
	// MaxAge is the age of a share from which it is not used.
	MaxAge = time.Second
	// FeedbackDelay is how long a request may be missing in the sums: a report a second, two
	// hops of gossip and the period of the decider.
	FeedbackDelay = 2 * time.Second
	// LargeFleetFeedbackDelay is that in a large fleet, whose hubs report rows less often.
	LargeFleetFeedbackDelay = 5 * time.Second
	// burstFactor is how many times the measured rate the requests may come at before the
	// next share is set.
	burstFactor = 3
	// horizon is how long a share may be in use before the next one replaces it.
	horizon = MaxAge + 250*time.Millisecond
	// rateWindow is the shortest time over which the rate is measured.
	rateWindow = time.Second
	// minRate is assumed at least, in requests per second.
	minRate = 1
	// beforeDelay is the time after which all boxes in touch have reported their requests
	// before the order.
	beforeDelay = time.Second
	// PPM is the number of millionths in one.
	PPM = 1_000_000
)

// Bounds limit the requests that may be sent to a candidate.
type Bounds struct {
	Share float64 // of all requests of the service
	Slack float64 // in addition, in requests
}

// Limit returns how many of sent requests may go to the candidate in all.
func (b Bounds) Limit(sent int) float64 { return b.Share*float64(sent) + b.Slack }

// Trial is what the trial of an order may use.
type Trial struct {
	Requests float64       // that may have been sent to the candidate by now
	Left     time.Duration // in which they are to be sent
	Before   float64       // requests per second before the order; 0 if unknown
}

// Controller sets the share for one order. It is not safe for concurrent use.
type Controller struct {
	bounds  Bounds
	delay   time.Duration // of feedback
	began   time.Time
	samples []sample // of at least the delay, oldest first
	lost    int      // candidate's requests that were reported and are missing in the sums
	drawn   float64  // requests to the candidate by all shares until the last sample, at most
	planned float64  // the same as expected
}

// sample is what was known and set at a time.
type sample struct {
	at              time.Time
	sent, candidate int
	share           float64
	rate            float64 // upper bound
	expected        float64 // rate
}

// New returns a controller for an order that this box has just seen. delay is how long a
// request may be missing in the sums.
func New(now time.Time, b Bounds, delay time.Duration) *Controller {
	return &Controller{bounds: b, delay: delay, began: now}
}

// Update takes the sums of all requests of the service since the order and of those to
// the candidate, and returns the share for the candidate in millionths. The share is such
// that requests not yet in the sums still fit the bound.
func (c *Controller) Update(now time.Time, sent, candidate int, t Trial) int {
	s := sample{at: now, sent: sent}
	if n := len(c.samples); n > 0 {
		last := c.samples[n-1]
		c.drawn += last.share * last.rate * now.Sub(last.at).Seconds()
		c.planned += last.share * last.expected * now.Sub(last.at).Seconds()
		if candidate+c.lost < last.candidate { // a hub's part is missing
			c.lost = last.candidate - candidate
		}
	}
	s.candidate = candidate + c.lost
	s.rate = c.Rate(now, sent, t.Before)
	if s.rate > 0 {
		s.expected = c.expectedRate(s)
		left := t.Requests - float64(s.candidate) - c.pending(s, sample.expectedRate, c.planned)
		s.share = min(max(left, 0)/(s.expected*max(t.Left, horizon).Seconds()), maxShare, c.safeShare(s))
	}
	c.samples = append(c.samples, s)
	c.prune(now)
	return int(s.share * PPM)
}

// safeShare returns the highest share at which a burst during the delay of feedback stays
// within the whole bound.
func (c *Controller) safeShare(s sample) float64 {
	left := c.bounds.Limit(s.sent) - float64(s.candidate) - burstFactor*c.pending(s, sample.upperRate, c.drawn)
	return max(left, 0) / (burstFactor * s.rate * horizon.Seconds())
}

// Rate returns an upper bound of the rate of requests per second, apart from bursts; 0 until
// it is known. Before is the rate before the order, 0 if unknown. The sums may lack all
// requests of the last delay.
func (c *Controller) Rate(now time.Time, sent int, before float64) float64 {
	highest := before
	switch since := now.Sub(c.began); {
	case before > 0 && since < beforeDelay, before <= 0 && since <= c.delay:
		return 0
	case before <= 0:
		highest = float64(sent) / (since - c.delay).Seconds()
	}
	for _, s := range c.samples {
		if took := now.Sub(s.at); took >= rateWindow {
			highest = max(highest, float64(sent-s.sent)/took.Seconds())
		}
	}
	return max(highest, minRate)
}

// expectedRate returns the rate of requests since the oldest sample, so that a trial is not cut short
// because more came before; the upper bound until there is one old enough.
func (c *Controller) expectedRate(s sample) float64 {
	if len(c.samples) == 0 {
		return s.rate
	}
	oldest := c.samples[0]
	took := s.at.Sub(oldest.at)
	if took < c.delay {
		return s.rate
	}
	return min(max(float64(s.sent-oldest.sent)/took.Seconds(), minRate), s.rate)
}

func (s sample) upperRate() float64 { return s.rate }

func (s sample) expectedRate() float64 { return s.expected }

// pending returns how many requests may have been sent to the candidate without being in
// the sums yet, at some rate: at most those of the last delay, and all that were drawn but are not
// counted.
func (c *Controller) pending(s sample, rate func(sample) float64, drawn float64) float64 {
	recent := 0.0
	for i, earlier := range c.samples {
		until := s.at
		if i+1 < len(c.samples) {
			until = c.samples[i+1].at
		}
		from := s.at.Add(-c.delay)
		if earlier.at.After(from) {
			from = earlier.at
		}
		if until.After(from) {
			recent += earlier.share * rate(earlier) * until.Sub(from).Seconds()
		}
	}
	return min(recent, max(drawn-float64(s.candidate), 0))
}

// prune drops samples that are no longer needed.
func (c *Controller) prune(now time.Time) {
	for len(c.samples) > 2 && now.Sub(c.samples[1].at) > c.delay {
		c.samples = c.samples[1:]
	}
}

// OnRoute returns the share of one route's requests that draws as many as a share of all, where the
// route has a part of all requests. It is bounded so that the baseline stays measured.
func OnRoute(ppm int, part float64) int {
	if part <= 0 {
		return 0
	}
	return int(min(float64(ppm)/part, maxShare*PPM))
}
