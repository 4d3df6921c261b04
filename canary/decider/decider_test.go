package decider_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/canary/decider"
	"petrelstep/canary/orders"
)

var start = time.Unix(1000, 0)

const (
	orderVersion = 5
	duration     = 12 * time.Second
)

func ordered() orders.Order {
	return orders.Order{Service: "llm", Target: "v2", Version: orderVersion, Duration: duration, State: orders.Ordered, Limit: start.Add(duration)}
}

func trial() orders.Order {
	return ordered().WithStatus(orders.Running, 6).WithPhase(orders.Trial, 6, "b1")
}

func cutover() orders.Order { return trial().WithPhase(orders.Cutover, 8, "b1") }

// situation returns what the deciding box knows of an order with sound upstreams, with
// the time left until the limit.
func situation(o orders.Order, left time.Duration) decider.Situation {
	return decider.Situation{
		Now: start.Add(duration - left), Order: o, RowsRead: true, StatusRunning: o.StatusVersion > 0, KnownService: true, Cutover: 3 * time.Second,
		Holder: o.PhaseVersion > 0, HolderInTouch: o.PhaseVersion > 0, First: true, PhaseSince: start.Add(duration - 3*time.Second),
		FleetKnown: true, CandidateSlots: 100, BaselineSlots: 100, Boxes: 10, Reporting: 10, Running: 5, TrialFor: 5 * time.Second, Sufficient: true,
	}
}

const ms, s = time.Millisecond, time.Second

func holderGone(x *decider.Situation) { x.Holder, x.HolderInTouch = false, false }

func otherHolds(x *decider.Situation) { x.Holder = false }

func missing(x *decider.Situation) { x.StatusMissing = true }

func missingElsewhere(x *decider.Situation) { x.StatusMissing, x.First = true, false }

func missingForLong(x *decider.Situation) {
	missingElsewhere(x)
	x.KnownFor = 500 * ms
}

func missingUnread(x *decider.Situation) { x.StatusMissing, x.RowsRead = true, false }

func lost(x *decider.Situation) { x.OutcomeLost = true }

func lostElsewhere(x *decider.Situation) { x.OutcomeLost, x.Holder = true, false }

func lostUnread(x *decider.Situation) { x.OutcomeLost, x.RowsRead = true, false }

// decisionTest is a situation and the decision in it.
type decisionTest struct {
	order  orders.Order
	left   time.Duration // until the limit
	change func(x *decider.Situation)
	want   decider.Decision
}

func checkDecisions(t *testing.T, tests map[string]decisionTest) {
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := situation(tt.order, tt.left)
			if tt.change != nil {
				tt.change(&x)
			}
			is.New(t).Equal(decider.Decide(x), tt.want)
		})
	}
}

// TestDecideOrdered checks the decision about a new order.
func TestDecideOrdered(t *testing.T) {
	checkDecisions(t, map[string]decisionTest{
		"new order":                               {ordered(), 12 * s, nil, decider.Decision{Action: decider.Begin, Reason: decider.NewOrder}},
		"new order at another reader":             {ordered(), 12 * s, func(x *decider.Situation) { x.First = false }, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"rows not read since the order":           {ordered(), 12 * s, func(x *decider.Situation) { x.RowsRead = false }, decider.Decision{Action: decider.Wait, Reason: decider.RowsUnknown}},
		"status running, no phase row":            {ordered().WithStatus(orders.Running, 6), 12 * s, nil, decider.Decision{Action: decider.Begin, Reason: decider.NewOrder}},
		"new order without upstreams":             {ordered(), 12 * s, func(x *decider.Situation) { x.CandidateSlots = 0 }, decider.Decision{Action: decider.Begin, Reason: decider.NewOrder}},
		"release already in service":              {ordered(), 12 * s, func(x *decider.Situation) { x.BaselineSlots = 0 }, decider.Decision{Action: decider.Complete, Reason: decider.InService}},
		"release in service, fleet unknown":       {ordered(), 12 * s, func(x *decider.Situation) { x.BaselineSlots, x.FleetKnown = 0, false }, decider.Decision{Action: decider.Begin, Reason: decider.NewOrder}},
		"order without a duration":                {orders.Order{Service: "llm", Target: "v2", Version: orderVersion, State: orders.Ordered}, 12 * s, func(x *decider.Situation) { x.Refused = true }, decider.Decision{Action: decider.RollBack, Reason: decider.InvalidOrder}},
		"order without a duration, other decides": {orders.Order{Service: "llm", Target: "v2", Version: orderVersion, State: orders.Ordered}, 12 * s, func(x *decider.Situation) { x.First, x.Refused = false, true }, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"order known from another box only":       {orders.Order{Service: "llm", Target: "v2", Version: orderVersion, State: orders.Ordered}, 12 * s, nil, decider.Decision{Action: decider.Wait, Reason: decider.RowsUnknown}},
		"unknown service":                         {ordered(), 12 * s, func(x *decider.Situation) { x.KnownService = false }, decider.Decision{Action: decider.RollBack, Reason: decider.UnknownService}},
	})
}

// TestDecideTrial checks the decision in the trial, after a failure of the box that decides too.
func TestDecideTrial(t *testing.T) {
	checkDecisions(t, map[string]decisionTest{
		"trial":                        {trial(), 8 * s, nil, decider.Decision{Action: decider.Wait, Reason: decider.EndOfTrial}},
		"trial at another reader":      {trial(), 8 * s, otherHolds, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"decider killed":               {trial(), 8 * s, holderGone, decider.Decision{Action: decider.TakeOver, Reason: decider.DeciderGone}},
		"decider killed, not next":     {trial(), 8 * s, func(x *decider.Situation) { holderGone(x); x.First = false }, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"holder that is not the first": {trial(), 8 * s, func(x *decider.Situation) { x.First = false }, decider.Decision{Action: decider.Wait, Reason: decider.EndOfTrial}},
		"bad":                          {trial(), 8 * s, func(x *decider.Situation) { x.BadFor = ms }, decider.Decision{Action: decider.RollBack, Reason: decider.BadRelease}},
		"bad at another reader":        {trial(), 8 * s, func(x *decider.Situation) { otherHolds(x); x.BadFor = 400 * ms }, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"bad for longer at another":    {trial(), 8 * s, func(x *decider.Situation) { otherHolds(x); x.BadFor = 600 * ms }, decider.Decision{Action: decider.RollBack, Reason: decider.BadRelease}},
	})
}

// TestDecideEndOfTrial checks when the cutover begins, and what becomes of an order whose limit
// passes before.
func TestDecideEndOfTrial(t *testing.T) {
	checkDecisions(t, map[string]decisionTest{
		"end of the trial":                {trial(), 3 * s, nil, decider.Decision{Action: decider.CutOver, Reason: decider.EndOfTrial}},
		"end of the trial, plain":         {trial(), 1100 * ms, func(x *decider.Situation) { x.Cutover = s }, decider.Decision{Action: decider.Wait, Reason: decider.EndOfTrial}},
		"cutover of a plain service":      {trial(), s, func(x *decider.Situation) { x.Cutover = s }, decider.Decision{Action: decider.CutOver, Reason: decider.EndOfTrial}},
		"candidate without upstreams":     {trial(), 3 * s, func(x *decider.Situation) { x.CandidateSlots = 0 }, decider.Decision{Action: decider.Wait, Reason: decider.NoCapacity}},
		"candidate too small":             {trial(), 3 * s, func(x *decider.Situation) { x.CandidateSlots = 49 }, decider.Decision{Action: decider.Wait, Reason: decider.NoCapacity}},
		"candidate just large enough":     {trial(), 3 * s, func(x *decider.Situation) { x.CandidateSlots = 50 }, decider.Decision{Action: decider.CutOver, Reason: decider.EndOfTrial}},
		"baseline gone":                   {trial(), 3 * s, func(x *decider.Situation) { x.BaselineSlots = 0 }, decider.Decision{Action: decider.CutOver, Reason: decider.EndOfTrial}},
		"fleet not up to date":            {trial(), 3 * s, func(x *decider.Situation) { x.FleetKnown = false }, decider.Decision{Action: decider.Wait, Reason: decider.NoCapacity}},
		"new decider, short trial":        {trial(), 3 * s, func(x *decider.Situation) { x.TrialFor = 2900 * ms }, decider.Decision{Action: decider.Wait, Reason: decider.TrialTooShort}},
		"trial just long enough":          {trial(), 3 * s, func(x *decider.Situation) { x.TrialFor = 3 * s }, decider.Decision{Action: decider.CutOver, Reason: decider.EndOfTrial}},
		"too few answers":                 {trial(), 3 * s, func(x *decider.Situation) { x.Sufficient = false }, decider.Decision{Action: decider.Wait, Reason: decider.TooFewAnswers}},
		"boxes silent at the end":         {trial(), 3 * s, func(x *decider.Situation) { x.Reporting = 4 }, decider.Decision{Action: decider.Wait, Reason: decider.NotReported}},
		"evidence against it":             {trial(), 2 * s, func(x *decider.Situation) { x.Suspicion = 0.5 }, decider.Decision{Action: decider.Wait, Reason: decider.Suspicious}},
		"weak evidence against it":        {trial(), 2 * s, func(x *decider.Situation) { x.Suspicion = 0.4 }, decider.Decision{Action: decider.CutOver, Reason: decider.EndOfTrial}},
		"too late for the cutover":        {trial(), 400 * ms, nil, decider.Decision{Action: decider.Wait, Reason: decider.TooLate}},
		"limit passed in the trial":       {trial(), 0, nil, decider.Decision{Action: decider.RollBack, Reason: decider.LimitPassed}},
		"limit passed during an outage":   {trial(), -20 * s, nil, decider.Decision{Action: decider.RollBack, Reason: decider.LimitPassed}},
		"limit passed, decider gone":      {trial(), -100 * ms, holderGone, decider.Decision{Action: decider.RollBack, Reason: decider.LimitPassed}},
		"limit passed at another reader":  {trial(), -100 * ms, otherHolds, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"limit passed, decider undecided": {trial(), -600 * ms, otherHolds, decider.Decision{Action: decider.RollBack, Reason: decider.LimitPassed}},
	})
}

// TestDecideCutover checks when an order is completed.
func TestDecideCutover(t *testing.T) {
	checkDecisions(t, map[string]decisionTest{
		"cutover, runs left":            {cutover(), 900 * ms, nil, decider.Decision{Action: decider.Wait, Reason: decider.RunsAtBaseline}},
		"cutover, none left":            {cutover(), 900 * ms, func(x *decider.Situation) { x.Running = 0 }, decider.Decision{Action: decider.Complete, Reason: decider.CutOverDone}},
		"cutover, one box silent":       {cutover(), 900 * ms, func(x *decider.Situation) { x.Running, x.Reporting = 0, 9 }, decider.Decision{Action: decider.Wait, Reason: decider.RunsAtBaseline}},
		"cutover just begun":            {cutover(), 2800 * ms, func(x *decider.Situation) { x.Running = 0 }, decider.Decision{Action: decider.Wait, Reason: decider.TimeToSpread}},
		"cutover, earlier reports":      {cutover(), 1200 * ms, func(x *decider.Situation) { x.Running = 0 }, decider.Decision{Action: decider.Wait, Reason: decider.TimeToSpread}},
		"cutover, last write":           {cutover(), 500 * ms, nil, decider.Decision{Action: decider.Complete, Reason: decider.LastWrite}},
		"cutover, most boxes silent":    {cutover(), 500 * ms, func(x *decider.Situation) { x.Reporting = 4 }, decider.Decision{Action: decider.Wait, Reason: decider.NotReported}},
		"bad in the cutover":            {cutover(), 400 * ms, func(x *decider.Situation) { x.BadFor = ms }, decider.Decision{Action: decider.RollBack, Reason: decider.BadRelease}},
		"over the bound":                {cutover(), 900 * ms, func(x *decider.Situation) { x.Exceeded = true }, decider.Decision{Action: decider.Wait, Reason: decider.RunsAtBaseline}},
		"over the bound, evidence":      {cutover(), 900 * ms, func(x *decider.Situation) { x.Exceeded, x.Suspicion = true, 0.5 }, decider.Decision{Action: decider.RollBack, Reason: decider.BoundReached}},
		"evidence within the bound":     {cutover(), 900 * ms, func(x *decider.Situation) { x.Suspicion = 0.5 }, decider.Decision{Action: decider.Wait, Reason: decider.Suspicious}},
		"evidence at the last write":    {cutover(), 400 * ms, func(x *decider.Situation) { x.Suspicion = 0.5 }, decider.Decision{Action: decider.Wait, Reason: decider.Suspicious}},
		"weak evidence, last write":     {cutover(), 400 * ms, func(x *decider.Situation) { x.Suspicion = 0.4 }, decider.Decision{Action: decider.Complete, Reason: decider.LastWrite}},
		"decider killed in the cutover": {cutover(), 1800 * ms, holderGone, decider.Decision{Action: decider.TakeOver, Reason: decider.DeciderGone}},
		"cutover, limit passed":         {cutover(), 0, nil, decider.Decision{Action: decider.RollBack, Reason: decider.LimitPassed}},
	})
}

// TestDecideEnded checks the decision about orders that were withdrawn or have an outcome.
func TestDecideEnded(t *testing.T) {
	checkDecisions(t, map[string]decisionTest{
		"withdrawn, status of another": {ordered().WithStatus(orders.Withdrawn, 0), 8 * s, nil, decider.Decision{Action: decider.Wait, Reason: decider.Ended}},
		"withdrawn before a status":    {ordered().WithStatus(orders.Withdrawn, 0), 8 * s, missing, decider.Decision{Action: decider.RollBack, Reason: decider.OrderWithdrawn}},
		"the same at another reader":   {ordered().WithStatus(orders.Withdrawn, 0), 8 * s, missingElsewhere, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"the same, 0.5 s later":        {ordered().WithStatus(orders.Withdrawn, 0), 8 * s, missingForLong, decider.Decision{Action: decider.RollBack, Reason: decider.OrderWithdrawn}},
		"the same, status not read":    {ordered().WithStatus(orders.Withdrawn, 0), 8 * s, missingUnread, decider.Decision{Action: decider.Wait, Reason: decider.RowsUnknown}},
		"completed, outcome lost":      {cutover().WithStatus(orders.Completed, 9), s, lost, decider.Decision{Action: decider.Complete, Reason: decider.OutcomeLost}},
		"rolled back, outcome lost":    {trial().WithStatus(orders.RolledBack, 9), s, lost, decider.Decision{Action: decider.RollBack, Reason: decider.OutcomeLost}},
		"the same, another decides":    {trial().WithStatus(orders.RolledBack, 9), s, lostElsewhere, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"the same, rows not read":      {trial().WithStatus(orders.RolledBack, 9), s, lostUnread, decider.Decision{Action: decider.Wait, Reason: decider.RowsUnknown}},
		"withdrawn":                    {trial().WithStatus(orders.Withdrawn, 6), 8 * s, nil, decider.Decision{Action: decider.RollBack, Reason: decider.OrderWithdrawn}},
		"withdrawn, status not read":   {trial().WithStatus(orders.Withdrawn, 6), 8 * s, func(x *decider.Situation) { x.RowsRead = false }, decider.Decision{Action: decider.Wait, Reason: decider.RowsUnknown}},
		"withdrawn at another reader":  {trial().WithStatus(orders.Withdrawn, 6), 8 * s, otherHolds, decider.Decision{Action: decider.Wait, Reason: decider.OtherDecides}},
		"withdrawn, already an answer": {trial().WithStatus(orders.Withdrawn, 6), 8 * s, func(x *decider.Situation) { x.StatusRunning = false }, decider.Decision{Action: decider.Wait, Reason: decider.Ended}},
		"completed":                    {cutover().WithStatus(orders.Completed, 9), -s, nil, decider.Decision{Action: decider.Wait, Reason: decider.Ended}},
		"rolled back, now not bad":     {trial().WithStatus(orders.RolledBack, 9), 3 * s, nil, decider.Decision{Action: decider.Wait, Reason: decider.Ended}},
	})
}
