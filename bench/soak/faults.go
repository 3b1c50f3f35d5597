package soak

import (
	"fmt"
	"slices"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
)

// faultKind is a kind of fault and the function that injects it.
type faultKind struct {
	name   string
	inject func(r *Run)
}

// faultKinds lists the kinds of fault that a run chooses from.
var faultKinds = []faultKind{
	{"kill", (*Run).kill},
	{"freeze", (*Run).freeze},
	{"cut", (*Run).cut},
	{"unreliable", (*Run).injectMessageFaults},
	{"shutdown", (*Run).shutdown},
	{"engine-freeze", (*Run).engineFreeze},
	{"engine-crash", (*Run).engineCrash},
	{"engine-delay", (*Run).engineDelay},
	{"engine-lost-replies", (*Run).engineLostReplies},
	{"transfer-stall", (*Run).transferStall},
	{"engine-drain", (*Run).engineDrain},
	{"log-down", (*Run).logDown},
	{"log-lost-replies", (*Run).logLostReplies},
	{"vm-list-down", (*Run).vmListDown},
	{"withdraw", (*Run).withdraw},
	{"race", (*Run).race},
	{"domain-loss", (*Run).domainLoss},
	{"service-down", (*Run).serviceDown},
	{"service-lost-replies", (*Run).serviceLostReplies},
	{"desert", (*Run).abandonConnections},
	{"partition", (*Run).partition},
}

// Kinds returns the names of the kinds of fault.
func Kinds() []string {
	var names []string
	for _, k := range faultKinds {
		names = append(names, k.name)
	}
	return names
}

// nextFault injects a random fault and schedules the next one. Faults may
// overlap, and the same kind may be active twice.
func (r *Run) nextFault() {
	if r.w.Now >= world.Start.Add(warmUpTime+r.Faulty) {
		return
	}
	k := r.randomKind()
	r.Faults[k.name]++
	k.inject(r)
	r.w.After(r.randomDuration(50*time.Millisecond, 2*time.Second), r.nextFault)
}

// randomKind returns one of the kinds of fault that the run may inject, all
// kinds if Only is empty.
func (r *Run) randomKind() faultKind {
	if len(r.Only) == 0 {
		return faultKinds[r.rng.IntN(len(faultKinds))]
	}
	name := r.Only[r.rng.IntN(len(r.Only))]
	i := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == name })
	return faultKinds[max(i, 0)]
}

func (r *Run) randomNode() core.NodeInfo { return r.w.Nodes[r.rng.IntN(len(r.w.Nodes))] }

func (r *Run) randomEngine() core.EngineID {
	return r.w.Engines[r.rng.IntN(len(r.w.Engines))].Upstream.ID
}

func (r *Run) randomService() core.EngineID {
	return r.w.Services[r.rng.IntN(len(r.w.Services))].Upstream.ID
}

// extendFaultsEnd records that a fault that heal cannot end early lasts for d
// from now.
func (r *Run) extendFaultsEnd(d time.Duration) { r.faultsEnd = max(r.faultsEnd, r.w.Now.Add(d)) }

// markDisturbed records that a node may miss messages until d from now.
func (r *Run) markDisturbed(id core.NodeID, d time.Duration) {
	r.disturbedUntil[id] = max(r.disturbedUntil[id], r.w.Now.Add(d))
}

func (r *Run) kill() {
	n := r.randomNode()
	if !r.w.Running(n.ID) {
		return
	}
	r.Provoked[core.MemoryReleased] += r.w.ConnectedCallers(n.ID)
	r.Provoked[core.AnswerWhole] += r.w.ConnectedCallers(n.ID)
	r.w.Kill(n.ID)
	r.restart(n, r.randomDuration(50*time.Millisecond, 8*time.Second))
}

func (r *Run) restart(n core.NodeInfo, after time.Duration) {
	r.markDisturbed(n.ID, after+warmUpTime)
	r.extendFaultsEnd(after)
	r.w.After(after, func() {
		if !r.w.Running(n.ID) {
			r.w.StartNode(n)
			r.Provoked[core.ConfigurationMonotone]++
		}
	})
}

func (r *Run) freeze() {
	n := r.randomNode()
	d := r.randomDuration(300*time.Millisecond, 15*time.Second)
	r.Provoked[core.AnsweredOnce] += r.w.ConnectedCallers(n.ID)
	r.Provoked[core.AtMostOnce] += r.w.PendingCalls(n.ID)
	r.markDisturbed(n.ID, d+time.Second)
	r.extendFaultsEnd(d)
	r.w.Freeze(n.ID, d)
}

func (r *Run) cut() {
	a, b := r.randomNode().ID, r.randomNode().ID
	d := r.randomDuration(time.Second, 15*time.Second)
	r.markDisturbed(a, d)
	r.markDisturbed(b, d)
	both := r.chance(0.5)
	r.w.Cut(a, b, true)
	if both {
		r.w.Cut(b, a, true)
	}
	r.w.After(d, func() {
		r.w.Cut(a, b, false)
		r.w.Cut(b, a, false)
	})
}

// partition splits the nodes into two groups that cannot reach each other. Both
// groups still reach the platform and the engines.
func (r *Run) partition() {
	d := r.randomDuration(2*time.Second, 12*time.Second)
	var one, other []core.NodeID
	for _, n := range r.w.Nodes {
		if r.chance(0.4) {
			one = append(one, n.ID)
		} else {
			other = append(other, n.ID)
		}
	}
	r.Provoked[core.AtMostOnce]++
	r.markAllDisturbed(d + time.Second)
	r.partitionedUntil = r.w.Now.Add(d + longestStream)
	r.cutAll(one, other, true)
	r.w.After(d, func() { r.cutAll(one, other, false) })
}

// longestStream is how long the longest stream of a run takes: 256 tokens at
// 55 ms each. During a partition two owners may both place a request whose
// caller has reconnected to another entry node. The abandoned stream ends by
// itself within this time.
const longestStream = 256 * 55 * time.Millisecond

func (r *Run) cutAll(one, other []core.NodeID, on bool) {
	for _, a := range one {
		for _, b := range other {
			r.w.Cut(a, b, on)
			r.w.Cut(b, a, on)
		}
	}
}

func (r *Run) injectMessageFaults() {
	r.w.SetMessageFaults(0.1*r.rng.Float64(), 0.2*r.rng.Float64())
	r.w.After(r.randomDuration(time.Second, 10*time.Second), func() { r.w.SetMessageFaults(0, 0) })
}

func (r *Run) shutdown() {
	n := r.randomNode()
	r.w.Shutdown(n.ID)
	r.markDisturbed(n.ID, 20*time.Second)
	r.extendFaultsEnd(12 * time.Second)
	r.w.After(10*time.Second, func() {
		r.w.Kill(n.ID)
		r.restart(n, time.Second)
	})
}

func (r *Run) engineFreeze() {
	d := r.randomDuration(100*time.Millisecond, 8*time.Second)
	r.extendFaultsEnd(d)
	r.w.Inject(r.randomEngine(), fault.Fault{Kind: fault.Freeze, Millis: d.Milliseconds()})
}

func (r *Run) engineCrash() {
	id := r.randomEngine()
	r.Provoked[core.AnswerWhole] += len(r.w.Held(id))
	r.w.Inject(id, fault.Fault{Kind: fault.Crash})
}

func (r *Run) engineDelay() {
	id := r.randomEngine()
	r.w.Inject(id, fault.Fault{Kind: fault.Delay, Millis: r.randomDuration(5*time.Millisecond, time.Second).Milliseconds()})
	r.w.After(r.randomDuration(time.Second, 6*time.Second), func() { r.w.Inject(id, fault.Fault{Kind: fault.Delay}) })
}

func (r *Run) engineLostReplies() {
	r.Provoked[core.MemoryReleased]++
	r.w.Inject(r.randomEngine(), fault.Fault{Kind: fault.LoseReplies, Count: 1 + r.rng.IntN(4)})
}

func (r *Run) transferStall() {
	id := r.randomEngine()
	r.w.Inject(id, fault.Fault{Kind: fault.Stall, On: true})
	r.w.After(r.randomDuration(100*time.Millisecond, 8*time.Second), func() { r.w.Inject(id, fault.Fault{Kind: fault.Stall}) })
}

func (r *Run) engineDrain() {
	id := r.randomEngine()
	r.Provoked[core.DrainGraceful] += len(r.w.Held(id))
	r.w.Inject(id, fault.Fault{Kind: fault.Drain, On: true})
	r.w.After(r.randomDuration(time.Second, 12*time.Second), func() { r.w.Inject(id, fault.Fault{Kind: fault.Drain}) })
}

func (r *Run) logDown() {
	r.w.InjectLogFault(fault.Fault{Kind: fault.Down, On: true})
	r.markAllDisturbed(12 * time.Second)
	r.w.After(r.randomDuration(500*time.Millisecond, 10*time.Second), func() { r.w.InjectLogFault(fault.Fault{Kind: fault.Down}) })
}

// markAllDisturbed records that every node may miss messages until d from now.
func (r *Run) markAllDisturbed(d time.Duration) {
	for _, n := range r.w.Nodes {
		r.markDisturbed(n.ID, d)
	}
}

func (r *Run) logLostReplies() {
	r.Provoked[core.AtMostOnce]++
	r.Provoked[core.NotRunTrue]++
	r.w.InjectLogFault(fault.Fault{Kind: fault.LoseReplies, Count: 1 + r.rng.IntN(5)})
}

func (r *Run) vmListDown() {
	r.w.InjectVMListFault(fault.Fault{Kind: fault.Down, On: true})
	r.w.After(r.randomDuration(time.Second, 20*time.Second), func() { r.w.InjectVMListFault(fault.Fault{Kind: fault.Down}) })
}

// withdraw withdraws the borrowed pool and publishes it again some seconds later.
func (r *Run) withdraw() {
	pool := core.Pool{
		ID: borrowedDecodePool, Team: core.TeamID("team-" + borrowedDecodePool), Role: core.Decode, Model: model,
		Borrowed: true, ReturnBy: returnWithin, Withdrawn: true,
	}
	r.Provoked[core.WithdrawnIdle]++
	r.publishPool(pool)
	r.w.After(r.randomDuration(6*time.Second, 15*time.Second), func() {
		pool.Withdrawn = false
		r.publishPool(pool)
	})
}

// publishPool publishes a revision of a pool based on the current one.
func (r *Run) publishPool(p core.Pool) {
	record := core.PoolPublished{
		Publication: core.PublicationID(fmt.Sprintf("%s-%d-%d", p.ID, r.revisions[p.ID], r.rng.Int64())),
		Operator:    "team", Base: r.revisions[p.ID], Pool: p,
	}
	if r.w.TryPublish(record) {
		r.revisions[p.ID]++
	}
}

// race publishes two conflicting revisions of a profile on the same base, as two
// operators would at the same time.
func (r *Run) race() {
	r.Provoked[core.ConfigurationMonotone]++
	p := balanceRead()
	base := r.revisions["balance-read"] + 1
	won := false
	for i := range 2 {
		p.Priority = r.rng.IntN(100)
		appended := r.w.TryPublish(core.ProfilePublished{
			Publication: core.PublicationID(fmt.Sprintf("race-%d-%d-%d", base, i, r.rng.Int64())),
			Operator:    fmt.Sprintf("operator-%d", i), Base: base, Profile: p,
		})
		if appended && !won {
			won = true
			r.winningPriority = p.Priority
			r.revisions["balance-read"] = base
		}
	}
}

// domainLoss kills all nodes of a failure domain and crashes its engines.
func (r *Run) domainLoss() {
	lost := domain(r.rng.IntN(3))
	back := r.randomDuration(time.Second, 10*time.Second)
	r.extendFaultsEnd(back)
	for _, n := range r.w.Nodes {
		if n.Domain == lost && r.w.Running(n.ID) {
			r.Provoked[core.AnswerWhole] += r.w.ConnectedCallers(n.ID)
			r.w.Kill(n.ID)
			r.restart(n, back)
		}
	}
	for _, e := range r.w.Engines {
		if e.Upstream.Domain == lost {
			r.w.Inject(e.Upstream.ID, fault.Fault{Kind: fault.Crash})
			r.w.Inject(e.Upstream.ID, fault.Fault{Kind: fault.Freeze, Millis: back.Milliseconds()})
		}
	}
}

func (r *Run) serviceDown() {
	id := r.randomService()
	r.Provoked[core.NotRunTrue]++
	r.w.SetServiceDown(id, true)
	r.w.After(r.randomDuration(500*time.Millisecond, 6*time.Second), func() { r.w.SetServiceDown(id, false) })
}

func (r *Run) serviceLostReplies() {
	r.Provoked[core.AtMostOnce]++
	r.w.LoseServiceReplies(r.randomService(), 1+r.rng.IntN(3))
}

// abandonConnections makes several callers reconnect to other nodes without
// their previous nodes noticing.
func (r *Run) abandonConnections() {
	for _, c := range r.callers {
		if c.FirstAttemptAt != 0 && r.chance(0.3) && r.w.AbandonConnection(c) {
			r.Provoked[core.AnsweredOnce]++
		}
	}
}

// heal ends all faults that can be ended early; the others last until faultsEnd.
func (r *Run) heal() {
	r.extendFaultsEnd(0)
	r.w.SetMessageFaults(0, 0)
	r.w.RestoreLinks()
	r.w.InjectLogFault(fault.Fault{Kind: fault.Down})
	r.w.InjectLogFault(fault.Fault{Kind: fault.LoseReplies})
	r.w.InjectVMListFault(fault.Fault{Kind: fault.Down})
	for _, e := range r.w.Engines {
		for _, k := range []string{fault.Delay, fault.Stall, fault.Drain, fault.LoseReplies} {
			r.w.Inject(e.Upstream.ID, fault.Fault{Kind: k})
		}
	}
	for _, s := range r.w.Services {
		r.w.SetServiceDown(s.Upstream.ID, false)
	}
}
