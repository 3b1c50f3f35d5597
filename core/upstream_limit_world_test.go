package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// In limitWindow an upstream may get limitFactor times what its limit allows and limitSlack
	// requests more, from nodes that have known of the limit for limitKnown.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	limitKnown  = 500 * time.Millisecond
	// rejectedAtOnce is an eighth of the objective of plain requests.
	rejectedAtOnce = 150 * time.Millisecond / 8
)

// worldArrival is a request that has reached an upstream.
type worldArrival struct {
	at   core.Instant
	from core.NodeID
}

func (n *worldNode) arriveAt(u *worldUpstream) {
	if n.w.namesLimits {
		u.arrived = append(u.arrived, worldArrival{n.w.now, n.node.Self.ID})
	}
}

// nameLimit delivers what an answer of an upstream says about its limit.
func (n *worldNode) nameLimit(u *worldUpstream) {
	if !n.w.namesLimits || n.frozen {
		return
	}
	_, limited := u.limit.Get()
	signal := core.UpstreamSignal{Engine: u.ID, NamesLimit: limited, Limit: u.limit}
	if u.misspells {
		signal.Limit = core.None[core.RequestRate]()
	}
	n.deliver(signal)
	if _, known := u.told[n.node.Self.ID]; limited && !known {
		u.told[n.node.Self.ID] = n.w.now
	}
}

// limitTo makes an upstream name a limit in its answers from now on.
func (w *hostedWorld) limitTo(id core.EngineID, rate core.RequestRate) {
	u := w.ups[id]
	if _, limited := u.limit.Get(); !limited {
		u.limitBegan, u.told, u.arrived = w.now, map[core.NodeID]core.Instant{}, nil
	}
	u.limit = core.Some(rate)
}

// overLimit returns by how many requests an upstream has got more than the rule allows in the
// worst span of limitWindow, and the share of its limit that it got from contact after the
// limit began.
func (w *hostedWorld) overLimit(u *worldUpstream, excused ...core.NodeID) (excess, used float64) {
	rate, _ := u.limit.Get()
	allowed := limitFactor*float64(rate)*limitWindow.Seconds() + limitSlack
	var counted []core.Instant
	all := 0
	for _, a := range u.arrived {
		if a.at < u.limitBegan.Add(contact) {
			continue
		}
		all++
		at, told := u.told[a.from]
		if !told || a.at < at.Add(limitKnown) || core.SetOf(excused...).Has(a.from) {
			continue
		}
		counted = append(counted, a.at)
	}
	worst, first := 0, 0
	for i, at := range counted {
		for counted[first] < at.Add(-limitWindow) {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) - allowed, float64(all) / (float64(rate) * w.now.Sub(u.limitBegan.Add(contact)).Seconds())
}

// checkLimits verifies the rule for all limited upstreams. It returns the mean share of the
// limits that was used.
func (w *hostedWorld) checkLimits(t *testing.T, excused ...core.NodeID) float64 {
	t.Helper()
	is := is.New(t)
	sum, count := 0.0, 0
	for _, id := range w.ids {
		u := w.ups[id]
		if rate, limited := u.limit.Get(); limited {
			excess, used := w.overLimit(u, excused...)
			t.Logf("%s, limit %g/s: %.1f over the bound, %.2f of the limit used", id, float64(rate), excess, used)
			is.True(excess <= 0)
			sum, count = sum+used, count+1
		}
	}
	return sum / float64(count)
}

// unevenCallers makes half of the requests come to one node in eight.
func (w *hostedWorld) unevenCallers() {
	w.pick = func() *worldNode {
		if w.rng.IntN(2) == 0 {
			return w.nodes[w.rng.IntN((len(w.nodes)+7)/8)]
		}
		return w.nodes[w.rng.IntN(len(w.nodes))]
	}
}

// Upstreams of a plain service name limits. They got as many requests as before, three times
// what they named.
func TestLimitedUpstreamsGetNoMoreThanTheyNamed(t *testing.T) {
	for _, c := range []struct {
		name    string
		nodes   int
		plain   int
		limited int
		rate    core.RequestRate
		load    float64
		loses   float64
		slow    bool
	}{
		{name: "two of three", nodes: 8, plain: 3, limited: 2, rate: 4.5, load: 30},
		{name: "all, far too much load", nodes: 8, plain: 3, limited: 3, rate: 4.5, load: 60},
		{name: "all, lost answers", nodes: 8, plain: 3, limited: 3, rate: 4.5, load: 60, loses: 0.2},
		{name: "all, a high limit", nodes: 8, plain: 3, limited: 3, rate: 60, load: 400},
		{name: "all, a low limit", nodes: 8, plain: 3, limited: 3, rate: 0.4, load: 30},
		{name: "all, slow messages that are lost", nodes: 8, plain: 3, limited: 3, rate: 4.5, load: 60, slow: true},
		{name: "all", nodes: 82, plain: 3, limited: 3, rate: 20, load: 200},
		{name: "all", nodes: 410, plain: 5, limited: 5, rate: 4.5, load: 300},
	} {
		t.Run(fmt.Sprintf("%s, %d nodes", c.name, c.nodes), func(t *testing.T) {
			if testing.Short() && c.nodes > 8 {
				t.Skip("the race detector takes long for this size")
			}
			is := is.New(t)
			w := newHostedWorld(worldOptions{nodes: c.nodes, plain: c.plain, slots: 6, seed: 1})
			w.namesLimits = true
			w.unevenCallers()
			if c.slow {
				w.slowLinks()
			}
			for _, u := range w.ups {
				u.loses = c.loses
			}
			w.run(3 * time.Second)
			w.load("read", c.load/3, 26*time.Second)
			w.load("pay", c.load*2/3, 26*time.Second)
			w.run(5 * time.Second)
			for i := range c.limited {
				w.limitTo(core.EngineID(fmt.Sprintf("s%02d", i)), c.rate)
			}
			rejections, waited := w.rejections, w.waitedInVain
			w.run(20 * time.Second)
			used := w.checkLimits(t)
			if n := w.rejections - rejections; n > 0 {
				mean := (w.waitedInVain - waited) / time.Duration(n)
				t.Logf("%d rejections after %v each", n, mean)
				is.True(mean <= rejectedAtOnce)
			}
			t.Logf("served %d, on time %d, rejected %d, failed %d, used %.2f", w.served, w.onTime, w.rejected, w.failed, used)
			if c.limited == c.plain {
				is.True(used > 0.5)
			}
		})
	}
}

// limitedWorld returns a deployment whose callers come unevenly and send far more than three
// upstreams with a limit of 4.5 take.
func limitedWorld(nodes int, seed uint64) *hostedWorld {
	return limitedWorldOf(nodes, seed, func(*core.DesiredState) {})
}

// limitedWorldOf does the same with a change of the desired state.
func limitedWorldOf(nodes int, seed uint64, change func(*core.DesiredState)) *hostedWorld {
	w := newHostedWorld(worldOptions{nodes: nodes, plain: 3, slots: 6, seed: seed})
	d := worldState()
	d.Version = 2
	change(&d)
	for _, n := range w.nodes {
		n.deliver(d)
	}
	w.namesLimits = true
	w.unevenCallers()
	w.run(3 * time.Second)
	w.load("read", 20, 30*time.Second)
	w.load("pay", 40, 30*time.Second)
	w.run(4 * time.Second)
	for _, id := range w.ids {
		w.limitTo(id, 4.5)
	}
	return w
}

// placers returns how many requests each node has placed as an owner.
func (w *hostedWorld) placers() map[core.NodeID]int {
	counts := map[core.NodeID]int{}
	for _, n := range w.nodes {
		counts[n.node.Self.ID] = n.placed
	}
	return counts
}

// The owner of a limited group freezes and wakes again, so that others place its requests
// meanwhile and both do for a moment. The limit held per owner, and both used all of it.
func TestLimitsHoldWhileOwnersChange(t *testing.T) {
	for seed := range uint64(5) {
		nodes := 8
		if seed == 4 {
			nodes = 82
		}
		t.Run(fmt.Sprintf("%d nodes, seed %d", nodes, seed), func(t *testing.T) {
			if testing.Short() && nodes > 8 {
				t.Skip("the race detector takes long for this size")
			}
			w := limitedWorld(nodes, seed+1)
			w.run(4 * time.Second)
			owner := core.NodeID("")
			for id, count := range w.placers() {
				if owner == "" || count > w.placers()[owner] {
					owner = id
				}
			}
			for range 3 {
				w.freeze(owner, 2500*time.Millisecond)
				w.run(4 * time.Second)
			}
			w.run(4 * time.Second)
			t.Logf("%s froze; used %.2f", owner, w.checkLimits(t, owner))
		})
	}
}

// A limit ends, and the upstreams get all requests again. Answers without the limit that
// arrive late must not end it before.
func TestUpstreamsAreUsedAgainOnceTheirLimitEnds(t *testing.T) {
	is := is.New(t)
	w := limitedWorld(8, 1)
	w.run(8 * time.Second)
	w.checkLimits(t)
	for _, u := range w.ups {
		u.limit = core.None[core.RequestRate]()
	}
	w.run(3 * time.Second)
	served, rejections := w.served, w.rejections
	w.run(5 * time.Second)
	t.Logf("served %d, rejections %d afterwards", w.served-served, w.rejections-rejections)
	is.True(w.served-served > 200)
	is.Equal(w.rejections-rejections, 0)
}

// An upstream that named a limit starts again without one. The new incarnation is not held
// to it.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	w := limitedWorld(8, 1)
	w.run(8 * time.Second)
	for _, u := range w.ups {
		u.limit = core.None[core.RequestRate]()
		u.Born++
	}
	w.offset++
	w.run(2 * time.Second)
	served := w.served
	w.run(3 * time.Second)
	is.True(w.served-served > 120)
}

// Limits change with every answer, or are misspelled. Neither ends them.
func TestChangingAndMisspelledLimitsHold(t *testing.T) {
	w := limitedWorld(8, 1)
	for i := range 150 {
		w.run(100 * time.Millisecond)
		for _, id := range w.ids {
			w.ups[id].misspells = i%3 == 0
			w.limitTo(id, 4.5+core.RequestRate(i%2)/100)
		}
	}
	for _, id := range w.ids {
		w.limitTo(id, 4.5)
	}
	w.checkLimits(t)
}

// Prefill and decode engines name limits. A call that reserves memory counts as half a
// request, so that the limit holds whether or not the engine counts it.
func TestLimitedEnginesGetNoMoreThanTheyNamed(t *testing.T) {
	for _, nodes := range []int{8, 82} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			if testing.Short() && nodes > 8 {
				t.Skip("the race detector takes long for this size")
			}
			w := newHostedWorld(worldOptions{nodes: nodes, prefillers: 3, decoders: 4, seed: 1})
			w.namesLimits, w.leasesCount = true, true
			w.unevenCallers()
			w.run(3 * time.Second)
			w.load("resumable", 0.8*modelCapacity, 26*time.Second)
			w.run(4 * time.Second)
			for _, id := range w.ids {
				w.limitTo(id, 1)
			}
			w.run(20 * time.Second)
			t.Logf("used %.2f, with leases", w.checkLimits(t))
			t.Logf("served %d, rejected %d, failed %d", w.served, w.rejected, w.failed)
		})
	}
}
