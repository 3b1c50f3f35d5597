package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// The bounds of usage caps in the emulated deployment, what a request counts, and the part of its cap
// that a tenant usually uses.
const (
	usageWindow  = 8 * time.Second
	usageOver    = 0.1
	usageSlack   = 140_000.0
	plainAmount  = 3000
	streamAmount = float64(worldPrompt + 5*worldOutput)
	usual        = 0.55
	// allocatorGap is the share of ten seconds within which the next allocator must grant after one is
	// lost.
	allocatorGap = 0.2
)

// usedAt is what a request counts, at an instant.
type usedAt struct {
	at     core.Instant
	amount float64
}

// worldTenants are the tenants of a deployment, each with a usage cap. next is that of the next request.
type worldTenants struct {
	list []*worldTenant
	next *worldTenant
}

// worldTenant is a tenant with its requests, by when they were sent, were rejected over the cap and
// arrived at upstreams.
type worldTenant struct {
	core.Tenant
	sent, rejected, arrived, runs []usedAt
	// returns are the instants at which rejected callers were told to come back.
	returns []core.Instant
	// under are the requests that one token bucket for the whole deployment admits, which contains level
	// at the instant levelAt.
	under   []usedAt
	level   float64
	levelAt core.Instant
}

// usageWorld returns a deployment of 65 nodes in three failure domains, with tenants of the given caps
// in units a second and bursts of a second, or of nothing.
func usageWorld(seed uint64, burst float64, rates ...float64) *hostedWorld {
	w := newHostedWorld(worldOptions{nodes: 65, prefillers: 4, decoders: 12, plain: 12, slots: 100, seed: seed, domains: 3})
	w.capped = &worldTenants{}
	for i, rate := range rates {
		w.capped.list = append(w.capped.list, &worldTenant{Tenant: core.Tenant{
			ID: core.TenantID(fmt.Sprint("t", i)), Keys: []core.CredentialDigest{keyOf(byte(i + 1))},
			Cap: core.UsageCap{Rate: rate, Burst: burst * rate, Unit: core.TokenUnit, PlainTokens: plainAmount},
		}})
	}
	w.setUsageBounds()
	for _, n := range w.nodes {
		n.deliver(w.capped.state(2))
	}
	w.pick = w.anyOf(w.nodes...)
	w.confirmStates()
	w.run(20 * time.Second)
	return w
}

// setUsageBounds gives all nodes the bounds of usage caps.
func (w *hostedWorld) setUsageBounds() {
	for _, n := range w.nodes {
		n.deliver(core.BoundsChanged{
			Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}, DrainDelay: 2 * time.Second, StateDelay: stateDelay,
			Usage: core.UsageBounds{Window: usageWindow, Over: usageOver, Slack: usageSlack},
		})
	}
}

// confirmStates has the store confirm the desired state to all nodes again and again, so that they know
// which keys are valid.
func (w *hostedWorld) confirmStates() {
	for _, n := range w.nodes {
		n.deliver(core.StateConfirmed{})
	}
	w.after(stateDelay/4, w.confirmStates)
}

// state returns a version of the desired state with the tenants.
func (t *worldTenants) state(version int64) core.DesiredState {
	var list []core.Tenant
	for _, tenant := range t.list {
		list = append(list, tenant.Tenant)
	}
	return keyedState(version, list...)
}

// amount is what the request counts.
func (r *worldRequest) amount() float64 {
	if r.kind == "draft" {
		return streamAmount
	}
	return plainAmount
}

// send records a request, and adds the key of its tenant.
func (t *worldTenants) send(now core.Instant, r *worldRequest, m *core.Forward) {
	if t == nil || t.next == nil {
		return
	}
	r.tenant, t.next = t.next, nil
	m.Credential = core.Some(r.tenant.Keys[0])
	u := r.tenant
	u.sent = append(u.sent, usedAt{now, r.amount()})
	if r.retried {
		return
	}
	u.level = min(u.level+u.Cap.Rate*now.Sub(u.levelAt).Seconds(), max(u.Cap.Burst, 2*streamAmount))
	u.levelAt = now
	if u.level >= r.amount() {
		u.level -= r.amount()
		u.under = append(u.under, usedAt{now, r.amount()})
	}
}

// retry has the next request be that of a caller who retries.
func (t *worldTenants) retry(r *worldRequest) { t.as(r.tenant) }

// as has the next request be one of a tenant.
func (t *worldTenants) as(tenant *worldTenant) {
	if t != nil {
		t.next = tenant
	}
}

// upcoming returns the tenant of the next request; nil if there is none.
func (t *worldTenants) upcoming() *worldTenant {
	if t == nil {
		return nil
	}
	return t.next
}

// run records a request that has reached an upstream.
func (t *worldTenants) run(now core.Instant, r *worldRequest) {
	if t != nil && r.tenant != nil && r.runs == 1 {
		r.tenant.runs = append(r.tenant.runs, usedAt{now, r.amount()})
		r.tenant.arrived = append(r.tenant.arrived, usedAt{r.arrived, r.amount()})
	}
}

func (t *worldTenants) end(now core.Instant, r *worldRequest, c core.EndForward) {
	if t != nil && r != nil && r.tenant != nil && c.Reason == core.OverShare {
		r.tenant.rejected = append(r.tenant.rejected, usedAt{r.arrived, r.amount()})
		r.tenant.returns = append(r.tenant.returns, now.Add(c.RetryAfter))
	}
}

// tenantLoad has a tenant send requests worth a share of its cap for a duration, to nodes that pick
// returns. A sixth of them are streams.
func (w *hostedWorld) tenantLoad(t *worldTenant, share float64, d time.Duration, pick func() *worldNode) {
	mean := (5*plainAmount + streamAmount) / 6
	for at := time.Duration(0); ; {
		at += time.Duration(w.rng.ExpFloat64() * mean / (share * t.Cap.Rate) * float64(time.Second))
		if at > d {
			return
		}
		kind := []core.RouteID{"draft", "pay", "pay", "pay", "read", "read"}[w.rng.IntN(6)]
		w.after(at, func() {
			usualPick := w.pick
			w.capped.next, w.pick = t, pick
			w.sendRequest(kind, worldOutput/4, w.now, false, 0)
			w.capped.next, w.pick = nil, usualPick
		})
	}
}

// anyOf returns a function that picks one of some nodes that live, at random.
func (w *hostedWorld) anyOf(nodes ...*worldNode) func() *worldNode {
	return func() *worldNode {
		live := slices.DeleteFunc(slices.Clone(nodes), func(n *worldNode) bool { return n.killed })
		if len(live) == 0 {
			return nodes[0]
		}
		return live[w.rng.IntN(len(live))]
	}
}

// sumBetween sums what was used from one instant up to before another.
func sumBetween(list []usedAt, from, to core.Instant) (sum float64) {
	for _, u := range list {
		if u.at >= from && u.at < to {
			sum += u.amount
		}
	}
	return sum
}

// lost returns the share of what one bucket would have admitted that was rejected over the cap, between
// two instants.
func (t *worldTenant) lost(from, to core.Instant) float64 {
	under := sumBetween(t.under, from, to)
	admitted := sumBetween(t.sent, from, to) - sumBetween(t.rejected, from, to)
	return max(under-admitted, 0) / max(under, 1)
}

// checkUsage verifies the bound for each tenant in all windows from an instant on, by when requests were
// sent and by when they arrived.
func (w *hostedWorld) checkUsage(t *testing.T, from core.Instant) {
	t.Helper()
	for _, tenant := range w.capped.list {
		limit := tenant.Cap.Rate*usageWindow.Seconds() + tenant.Cap.Burst
		bound, most := limit*(1+usageOver)+usageSlack, 0.0
		for _, list := range [][]usedAt{tenant.arrived, tenant.runs} {
			for _, u := range list {
				if u.at >= from {
					most = max(most, sumBetween(list, u.at, u.at.Add(usageWindow)))
				}
			}
		}
		t.Logf("%s: %.0f in the worst window, the cap is %.0f and the bound %.0f", tenant.ID, most, limit, bound)
		if most > bound {
			t.Errorf("%s: %.0f in a window, the bound is %.0f", tenant.ID, most, bound)
		}
	}
}

// busiest returns the live node with the highest count.
func (w *hostedWorld) busiest(count func(*worldNode) int) *worldNode {
	return slices.MaxFunc(w.nodes, func(a, b *worldNode) int { return btoi(!a.killed)*count(a) - btoi(!b.killed)*count(b) })
}

// startAgain starts a node that was killed.
func (n *worldNode) startAgain() {
	old := n.node
	n.node = &core.Node{Self: old.Self, Incarnation: old.Incarnation + 1, Seed: old.Seed + 1, Settings: old.Settings, Hosted: true}
	n.killed, n.wakeAt, n.era = false, 0, 0
	n.start()
	n.deliver(n.w.capped.state(2))
}

// hardLoad has one tenant send 6.7 times its usual rate, another one with the same cap its usual, and a
// small one far below its cap, for a duration. It returns them.
func (w *hostedWorld) hardLoad(d time.Duration, greedyAt ...*worldNode) (greedy, other, small *worldTenant) {
	greedy, other, small = w.capped.list[0], w.capped.list[1], w.capped.list[2]
	w.tenantLoad(greedy, 6.7*usual, d, w.anyOf(greedyAt...))
	w.tenantLoad(other, usual, d, w.anyOf(w.nodes...))
	w.tenantLoad(small, 0.2, d, w.anyOf(w.nodes...))
	return greedy, other, small
}

// A tenant sends 6.7 times its usual rate to few nodes. Without caps all of it ran; equal shares of the
// nodes would reject most of what is below the cap. Rejected callers must not all come back at one time.
func TestTenantFarAboveItsCapAtFewNodes(t *testing.T) {
	for _, burst := range []float64{0, 1} {
		t.Run(fmt.Sprint("burst ", burst), func(t *testing.T) {
			is := is.New(t)
			w := usageWorld(1, burst, 135_000, 135_000, 36_000)
			began := w.now
			greedy, other, small := w.hardLoad(12*time.Second, w.nodes[:5]...)
			w.run(16 * time.Second)
			w.checkUsage(t, began)
			t.Logf("lost %.3f, %.3f and %.3f", greedy.lost(began, w.now), other.lost(began, w.now), small.lost(began, w.now))
			is.True(greedy.lost(began, w.now) <= 0.03)
			is.True(other.lost(began, w.now) <= 0.01)
			is.True(small.lost(began, w.now) <= 0.01)
			is.Equal(w.failed, 0)
			for _, n := range w.nodes {
				s := commandsOf[core.AnswerStatus](n.node.Update(w.now, core.StatusQuery{}))[0].Status.Usage[1]
				if all := sumBetween(other.runs, began, w.now); s.Admitted > 0.1*all {
					t.Logf("%s admitted %.0f and knows of %.0f elsewhere, of %.0f", n.node.Self.ID, s.Admitted, s.Elsewhere, all)
					is.True(s.Admitted+s.Elsewhere >= 0.95*all && s.Admitted+s.Elsewhere <= 1.05*all)
				}
			}
			slices.Sort(greedy.returns)
			most, first := 0, 0
			for i, at := range greedy.returns {
				for greedy.returns[first] < at.Add(-100*time.Millisecond) {
					first++
				}
				most = max(most, i-first+1)
			}
			t.Logf("%d of %d rejected callers return within 100 ms", most, len(greedy.returns))
			is.True(most <= 4*len(greedy.returns)/120)
		})
	}
}

// A third of the nodes, single nodes, or all are cut off from each other. Each side granted the whole
// cap, or nodes that reach nobody rejected everything.
func TestUsageCapsHoldInPartitions(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(w *hostedWorld, i int) int
		// lost and after bound what another tenant may lose while the nodes are cut off, and afterwards.
		lost, after float64
	}{
		{"a third", func(_ *hostedWorld, i int) int { return btoi(i < 22) }, 0.05, 0.05},
		{"single nodes", func(_ *hostedWorld, i int) int { return i * btoi(i%20 == 5) }, 0.05, 0.05},
		{"the allocator", func(w *hostedWorld, i int) int {
			return btoi(w.nodes[i] == w.busiest(func(n *worldNode) int { return n.granted }))
		}, allocatorGap, 0.05},
		{"all from each other", func(_ *hostedWorld, i int) int { return i }, 0.6, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := usageWorld(2, 1, 135_000, 135_000, 36_000)
			began := w.now
			greedy, other, small := w.hardLoad(20*time.Second, w.nodes...)
			w.run(4 * time.Second)
			for i, n := range w.nodes {
				n.side = c.cut(w, i)
			}
			w.run(10 * time.Second)
			for _, n := range w.nodes {
				n.side = 0
			}
			healed := w.now
			w.run(10 * time.Second)
			w.checkUsage(t, began)
			cut := began.Add(4 * time.Second)
			t.Logf("lost meanwhile %.3f, %.3f and %.3f, afterwards %.3f, %.3f and %.3f", greedy.lost(cut, healed), other.lost(cut, healed), small.lost(cut, healed),
				greedy.lost(healed, w.now), other.lost(healed, w.now), small.lost(healed, w.now))
			is.True(other.lost(cut, healed) <= c.lost)
			is.True(other.lost(healed, w.now) <= c.after)
		})
	}
}

// The node that allocates the caps, the one that places all requests, or both die. Shares that are lost
// until they expire, or that the next nodes have to wait for, would reject what is below the caps.
func TestCapsAreServedWhenAllocatorOrOwnerDies(t *testing.T) {
	allocator := func(n *worldNode) int { return n.granted }
	owner := func(n *worldNode) int { return n.placed }
	for _, c := range []struct {
		name   string
		killed []func(*worldNode) int
		lost   float64
	}{
		{"owner", []func(*worldNode) int{owner}, 0.05},
		{"allocator", []func(*worldNode) int{allocator}, 0.5},
		{"both", []func(*worldNode) int{allocator, owner}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var at, later float64
			for seed := range uint64(3) {
				w := usageWorld(seed+3, 1, 135_000, 135_000, 36_000)
				began := w.now
				_, other, _ := w.hardLoad(10*time.Second, w.nodes...)
				w.run(4 * time.Second)
				for _, count := range c.killed {
					w.busiest(count).killed = true
				}
				died := w.now
				w.run(10 * time.Second)
				w.checkUsage(t, began)
				at += other.lost(died, died.Add(2*time.Second)) / 3
				later += other.lost(died.Add(2*time.Second), w.now) / 3
			}
			t.Logf("lost %.3f in the first two seconds, %.3f later", at, later)
			is.True(at <= c.lost)
			is.True(later <= 0.03)
		})
	}
}

// All nodes are killed and start again, one after another within a second. What is below the caps must
// be served within two seconds after that.
func TestCapsAreServedAfterAllNodesStartAgain(t *testing.T) {
	is := is.New(t)
	w := usageWorld(4, 1, 135_000, 135_000, 36_000)
	began := w.now
	greedy, other, small := w.hardLoad(16*time.Second, w.nodes...)
	w.run(4 * time.Second)
	for _, n := range w.nodes {
		n.killed = true
		w.after(time.Second+time.Duration(w.rng.IntN(1000))*time.Millisecond, n.startAgain)
	}
	w.run(2 * time.Second)
	up := w.now
	w.run(14 * time.Second)
	w.checkUsage(t, began)
	for i := range 4 {
		from := up.Add(time.Duration(i) * time.Second)
		to := from.Add(time.Second)
		t.Logf("lost %.3f, %.3f and %.3f in second %d", greedy.lost(from, to), other.lost(from, to), small.lost(from, to), i)
	}
	is.True(other.lost(up.Add(2*time.Second), w.now) <= 0.03)
	is.True(small.lost(up.Add(2*time.Second), w.now) <= 0.05)
}

// A cap is lowered to a tenth while its tenant sends far more, and a third of the nodes learn of it two
// seconds later. It must hold one window after that.
func TestLowerCapHoldsAfterOneWindow(t *testing.T) {
	is := is.New(t)
	w := usageWorld(5, 1, 135_000, 135_000, 36_000)
	began := w.now
	greedy, other, _ := w.hardLoad(30*time.Second, w.nodes...)
	w.run(5 * time.Second)
	greedy.Cap.Rate, greedy.Cap.Burst = 13_500, 13_500
	for i, n := range w.nodes {
		w.after(time.Duration(btoi(i%3 == 0)*2)*time.Second, func() { n.deliver(w.capped.state(3)) })
	}
	w.run(30 * time.Second)
	w.checkUsage(t, began.Add(7*time.Second+usageWindow))
	t.Logf("lost %.3f of the other tenant", other.lost(began, w.now))
	is.True(other.lost(began, w.now) <= 0.02)
	is.True(sumBetween(greedy.runs, began.Add(20*time.Second), began.Add(30*time.Second)) >= 10*13_500*0.8)
}
