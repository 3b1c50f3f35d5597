package core

// mayPlaceAny reports whether any of the waiting jobs of a group may find room now, by the least
// that one of them needs.
//
// Load pattern: a load peak, where hardly any message brings room for another job. To order the
// queue for each of them would take more processor time than anything else that an owner does.
func (d *dispatcher) mayPlaceAny(n *Node, jobs []*dispatchJob) bool {
	least := *jobs[0]
	for _, j := range jobs {
		least.memory = min(least.memory, j.memory)
		least.prompt = min(least.prompt, j.prompt)
		least.maxPause = max(least.maxPause, j.maxPause)
	}
	engine, generates := n.forward.state.Services[least.group.Service].Engine.Get()
	if !generates {
		return true
	}
	c, memory, decodePrefill := n.roles.costsOf(least.group), false, false
	prefillEngines, prefill := 0, false
	for _, u := range n.forward.upstreams.byGroup[least.group] {
		if !u.open(n.now) {
			continue
		}
		if d.hasMemory(n, u, c, engine.KVCapacityTokens, least.memory) {
			memory = true
			decodePrefill = decodePrefill || d.mayPrefillAtDecode(n, &least, u)
		}
		if n.roles.canServe(n, u, Prefill) && u.fullUntil <= n.now {
			prefillEngines++
			prefill = prefill || d.prefillsSoon(u, c)
		}
	}
	switch {
	case !memory:
		c.memoryShortAt = n.now
		return false
	case prefillEngines > 0 && !prefill:
		c.prefillShortAt = n.now
		return decodePrefill
	default:
		return true
	}
}
