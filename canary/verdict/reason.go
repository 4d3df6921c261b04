package verdict

import (
	"fmt"
	"math"

	"github.com/sirupsen/logrus"
)

// Reason says why a candidate is bad.
type Reason struct {
	Route           string  // empty for all together
	Kind            string  // failing, slow_first or slow_pace
	Score           float64 // evidence as a part of what condemns
	Answers         int     // of the candidate
	Bad             int
	BaselineAnswers int
	BaselineBad     int
}

// String returns the reason in one line.
func (r Reason) String() string {
	routes := "on all routes"
	if r.Route != "" {
		routes = "on route " + r.Route
	}
	return fmt.Sprintf("%s %s: %d of %d answers, baseline %d of %d, score %.2f", r.Kind, routes, r.Bad, r.Answers, r.BaselineBad, r.BaselineAnswers, r.Score)
}

// Fields returns the reason for the log.
func (r Reason) Fields() logrus.Fields {
	return logrus.Fields{
		"route": r.Route, "kind": r.Kind, "score": math.Round(100*r.Score) / 100,
		"answers": r.Answers, "bad": r.Bad, "baseline_answers": r.BaselineAnswers, "baseline_bad": r.BaselineBad,
	}
}

// reason returns the counts of one kind on this route.
func (r *route) reason(k kind, score float64) Reason {
	all := r.tests[k].sum(false)
	baseline := r.baseline.now.results(k, r.baseline.reference(r.updatedAt).limits)
	return Reason{Route: r.name, Kind: k.String(), Score: score, Answers: all.total, Bad: all.bad, BaselineAnswers: baseline.total(), BaselineBad: baseline.bad}
}

// pooledReason returns the counts of one kind on all routes.
func (v *Verdict) pooledReason(k kind, score float64) Reason {
	sum := Reason{Kind: k.String(), Score: score}
	for _, r := range v.routes {
		part := r.reason(k, score)
		sum.Answers, sum.Bad = sum.Answers+part.Answers, sum.Bad+part.Bad
		sum.BaselineAnswers, sum.BaselineBad = sum.BaselineAnswers+part.BaselineAnswers, sum.BaselineBad+part.BaselineBad
	}
	return sum
}

// used returns the results that count for the number of bad answers. An answer may be
// slow in two ways, of which the worse one counts.
func (r *route) used(leaveOut bool) [kinds]answers {
	var list [kinds]answers
	for k := range kinds {
		list[k] = r.tests[k].sum(leaveOut)
	}
	if list[slowPace].excess > list[slowFirst].excess {
		list[slowFirst] = answers{}
	} else {
		list[slowPace] = answers{}
	}
	return list
}

// sufficient reports whether a candidate half of whose answers fail would have been found
// on this route.
func (r *route) sufficient() bool { return r.progress(0) >= 1 }

// progress returns the answers of the candidate that are known, with some that are under way, as a part
// of those that are sufficient at the baseline's present rate.
func (r *route) progress(underWay int) float64 {
	known, _ := r.withPending(&tests{})
	needed := neededAnswers(r.baseline.reference(r.updatedAt).rates[failing])
	if needed == 0 {
		return 0
	}
	return float64(known[failing].sum(false).total+underWay) / needed
}

// neededAnswers returns how many answers would show a candidate half of whose answers fail, at a
// rate of the baseline; 0 if none would.
func neededAnswers(rate float64) float64 {
	if rate == 0 || rate >= clearRate {
		return 0
	}
	perAnswer := clearRate*math.Log(clearRate/rate) + (1-clearRate)*math.Log((1-clearRate)/(1-rate))
	return enoughFactor * threshold / perAnswer
}
