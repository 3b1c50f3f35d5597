package experiment

import (
	"time"

	"daisyshed.dev/bench/bound"
	"daisyshed.dev/bench/scenario"
	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts what the callers of the measured window observed. good counts the
// answers within both targets with the time to the first token counted from the
// last attempt, and goodFirst the same from the first attempt. flood and
// floodGood are offered and good of the flooder.
type tally struct {
	offered, completed, good, goodFirst, gaveUp, refusals, faulty int
	flood, floodGood                                              int
	first, perToken, refusal                                      *hdrhistogram.Histogram
	goodBy, offeredBy                                             map[core.CustomerID]int
}

const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	percentile        = 95
	significantDigits = 3
)

func newTally() *tally {
	return &tally{
		first:     hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		perToken:  hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		refusal:   hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		goodBy:    make(map[core.CustomerID]int),
		offeredBy: make(map[core.CustomerID]int),
	}
}

func (t *tally) add(c *world.Caller, p core.Profile, flooder core.CustomerID) {
	customer := c.Request.Customer
	t.offered++
	t.offeredBy[customer]++
	t.refusals += c.Refused
	if len(c.Faults) > 0 {
		t.faulty++
	}
	if c.Refused > 0 {
		record(t.refusal, c.RefusedAfter)
	}
	good, goodFirst := onTime(c, p)
	if c.Done {
		t.completed++
		record(t.first, c.FirstTokenAt.Sub(c.LastAttemptAt))
		record(t.perToken, perToken(c))
	} else {
		t.gaveUp++
	}
	if goodFirst {
		t.goodFirst++
	}
	if good {
		t.good++
		t.goodBy[customer]++
	}
	if customer == flooder {
		t.flood++
		if good {
			t.floodGood++
		}
	}
}

// onTime reports whether a caller got its whole answer within both targets. For
// fromLastAttempt, the time to the first token counts from LastAttemptAt, and
// for fromFirstAttempt, from FirstAttemptAt.
func onTime(c *world.Caller, p core.Profile) (fromLastAttempt, fromFirstAttempt bool) {
	if !c.Done || len(c.Faults) > 0 || perToken(c) > p.PerTokenTarget {
		return false, false
	}
	limit := scenario.FirstTokenLimit(p)
	return c.FirstTokenAt.Sub(c.LastAttemptAt) <= limit, c.FirstTokenAt.Sub(c.FirstAttemptAt) <= limit
}

// perToken returns the mean time between two tokens of an answer.
func perToken(c *world.Caller) time.Duration {
	return c.LastTokenAt.Sub(c.FirstTokenAt) / time.Duration(max(c.Received-1, 1))
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

func percentileMs(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Run) result(ran time.Duration) Result {
	t := newTally()
	s := r.Scenario
	for _, a := range r.measured {
		profile, _ := s.Profile(a.Caller.Request.Profile)
		t.add(a.Caller, profile, s.Customers.FlooderID())
	}
	out := Result{
		Scenario: s.Name, Policy: r.Policy.Name, Seed: r.Seed, Nodes: s.Nodes, Load: s.Factor,
		Offered: t.offered, Goodput: share(t.good, t.offered), Refused: share(t.gaveUp, t.offered),
		FirstTokenP95Ms: percentileMs(t.first), PerTokenP95Ms: percentileMs(t.perToken),
		GoodPerSecond:     float64(t.good) / r.Window.Seconds(),
		GoodputFirstAsked: share(t.goodFirst, t.offered), AdmittedOnTime: share(t.good, t.completed),
		GoodputOfOthers: share(t.good-t.floodGood, t.offered-t.flood), GoodputOfFlooder: share(t.floodGood, t.flood),
		Refusals: t.refusals, RefusalP95Ms: percentileMs(t.refusal),
		Violations: len(r.world.Violations), Faulty: t.faulty,
		BorrowedShareMax: r.borrowed.maxShare,
	}
	r.addBounds(&out, t)
	r.addCosts(&out, ran)
	return out
}

func (r *Run) addBounds(out *Result, t *tally) {
	demands := r.Scenario.Demands(r.measured)
	supply := r.Scenario.Supply(r.Window)
	cheapest := bound.CheapestFirst(demands, supply)
	profile := bound.CheapestFirst(r.Scenario.MeanDemands(r.measured), supply)
	mix := bound.Proportional(demands, supply)
	offered := float64(max(t.offered, 1))
	out.Bound = cheapest / offered
	out.BoundWithTail = bound.CheapestFirst(demands, r.Scenario.Supply(r.Window+r.Scenario.LongestAnswer())) / offered
	out.BoundByProfile = profile / offered
	out.GoodputOfBoundByProfile = float64(t.good) / max(profile, 1)
	out.BoundInMix = mix / offered
	out.GoodputOfBound = float64(t.good) / max(cheapest, 1)
	out.GoodputOfBoundInMix = float64(t.good) / max(mix, 1)
	out.Fairness = fairness(t, r.Scenario.Customers, mix)
}

func (r *Run) addCosts(out *Result, ran time.Duration) {
	w := r.world
	counters := w.EngineCounters()
	if counters.Prefilled > 0 {
		out.WastedPrefill = 1 - float64(counters.Used)/float64(counters.Prefilled)
	}
	out.ControlBytesPerNodePerSecond = float64(r.controlBytes) / float64(out.Nodes) / (ran - drain).Seconds()
	out.CPUMicrosPerDecision = float64(w.UpdateTime.Microseconds()) / float64(max(r.decisions, 1))
	for _, e := range w.Engines {
		out.HeldAtEnd += len(w.Held(e.Upstream.ID))
	}
}
