package scenario

import (
	"fmt"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

// World returns a world with the nodes and engines of the scenario. It is not
// opened.
func (s Scenario) World(policy core.Policy, seed uint64) *world.World {
	w := &world.World{
		Seed:        seed,
		Policy:      policy,
		Profiles:    s.Profiles,
		LinkDelay:   s.LinkDelay,
		CallerDelay: s.CallerDelay,
		LogDelay:    s.LogDelay,
	}
	for i := range s.Nodes {
		id := nodeID(i)
		w.Nodes = append(w.Nodes, core.NodeInfo{
			ID: id, Domain: s.domainOf(i), Region: s.Region, PeerAddress: string(id), CallerAddress: string(id),
		})
	}
	for _, set := range s.Engines {
		w.Pools = append(w.Pools, set.Pool)
		for i := range set.Count {
			id := core.EngineID(fmt.Sprintf("%s-%d", set.Pool.ID, i))
			w.Engines = append(w.Engines, world.EngineSpec{
				Upstream: core.Upstream{
					ID: id, Pool: set.Pool.ID, Domain: s.domainOf(len(w.Engines)), Region: s.Region, Address: string(id),
				},
				Settings: set.Settings,
			})
		}
	}
	return w
}

// Schedule schedules the scenario's faults in an open world whose measured
// window begins at from and lasts for window.
func (s Scenario) Schedule(w *world.World, from, window time.Duration) {
	at := func(share float64) time.Duration { return from + time.Duration(share*float64(window)) }
	for _, f := range s.Faults {
		switch f := f.(type) {
		case DomainLoss:
			w.After(at(f.From), func() { loseDomain(w, f.Domain) })
			w.After(at(f.Until), func() { restoreDomain(w, f.Domain) })
		case Withdrawal:
			w.After(at(f.At), func() { s.withdraw(w, f.Pools) })
		case NodeChurn:
			churn(w, f, from, window)
		}
	}
}

func loseDomain(w *world.World, domain core.DomainID) {
	for _, n := range w.Nodes {
		if n.Domain == domain {
			w.Kill(n.ID)
		}
	}
	for _, e := range w.Engines {
		if e.Upstream.Domain == domain {
			w.CrashEngine(e.Upstream.ID)
		}
	}
}

func restoreDomain(w *world.World, domain core.DomainID) {
	for _, e := range w.Engines {
		if e.Upstream.Domain == domain {
			w.RestoreEngine(e.Upstream.ID)
		}
	}
	for _, n := range w.Nodes {
		if n.Domain == domain {
			w.StartNode(n)
		}
	}
}

// withdraw publishes the pools as withdrawn, as an operator of the lending team
// would.
func (s Scenario) withdraw(w *world.World, pools []core.PoolID) {
	for _, set := range s.Engines {
		for _, id := range pools {
			if set.Pool.ID != id {
				continue
			}
			pool := set.Pool
			pool.Withdrawn = true
			w.Publish(core.PoolPublished{
				Publication: core.PublicationID("withdraw-" + string(id)), Operator: "lender", Base: 1, Pool: pool,
			})
		}
	}
}

// churn kills the nodes one after another and starts each again after f.Down.
func churn(w *world.World, f NodeChurn, from, window time.Duration) {
	for k := 0; time.Duration(k)*f.Every < window; k++ {
		n := w.Nodes[k%len(w.Nodes)]
		killAt := from + time.Duration(k)*f.Every
		w.After(killAt, func() { w.Kill(n.ID) })
		w.After(killAt+f.Down, func() { w.StartNode(n) })
	}
}
