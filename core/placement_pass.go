package core

import "slices"

// placementPass is one pass over an owner's queue.
//
// Load pattern: a crest, with a hundred requests and more in the queue, while every
// arrival and every release starts another pass. Scanning all engines for each queued job
// takes more processor time than a small VM has. A job that needs at least as much memory,
// or as long a prefill, as one that could not be placed in the same pass is skipped.
type placementPass struct {
	late lateRoom
	// full are divided groups of which no job can be placed.
	full []DispatchGroup
	// failedMemory and failedPrompt are, by group, the least memory and the shortest
	// prompt for which no upstream had room.
	failedMemory map[DispatchGroup]Tokens
	failedPrompt map[DispatchGroup]Tokens
}

// place places a job if there is room, and reports whether it did.
func (p *placementPass) place(n *Node, d *dispatcher, j *dispatchJob) bool {
	if m, failed := p.failedMemory[j.group]; failed && j.memory >= m {
		return false
	}
	if m, failed := p.failedPrompt[j.group]; failed && j.prompt >= m {
		return false
	}
	if slices.Contains(p.full, j.group) {
		return false
	}
	if !p.late.has(n, d, j) {
		return false
	}
	outcome := d.assign(n, j)
	if _, bound := j.version.Get(); len(j.avoid) == 0 && !bound {
		switch outcome {
		case noMemory:
			p.failedMemory = lowered(p.failedMemory, j.group, j.memory)
		case noPrefill:
			p.failedPrompt = lowered(p.failedPrompt, j.group, j.prompt)
		case assigned:
		}
	}
	return outcome == assigned
}

// lowered returns the map with the value of a group lowered to the given one.
func lowered(m map[DispatchGroup]Tokens, g DispatchGroup, value Tokens) map[DispatchGroup]Tokens {
	if m == nil {
		m = map[DispatchGroup]Tokens{}
	}
	if old, ok := m[g]; !ok || value < old {
		m[g] = value
	}
	return m
}
