package core

import "time"

const (
	// releaseGrace is how long a release may be on its way before the owner
	// repeats it on behalf of the holder.
	releaseGrace = time.Second
	// askHolderEvery is the least time between questions about one job.
	askHolderEvery = 2 * time.Second
	// quietAfter is how long a placed job may show no progress before its
	// holder is asked.
	quietAfter = 10 * time.Second
	// confirmEvery is how often the holder of a running job is asked whether
	// it still serves it.
	confirmEvery = 30 * time.Second
	// missingReports is how many reports in a row a job found on an engine's
	// list may be absent from it before it is forgotten.
	missingReports = 2
)

// compare sets an engine's own list against the books: it finds what other
// owners placed, and what is held for attempts that are over.
func (s *owner) compare(n *Node, b *book, m EngineReport) {
	seen := make(map[Allocation]bool, len(m.Held))
	ask := make(map[NodeID][]Allocation)
	for _, h := range m.Held {
		seen[h.Allocation] = true
		if at, over := s.ended[h.Allocation]; over {
			if n.now.Sub(at) > releaseGrace {
				n.release(b.upstream.ID, h.Allocation)
			}
			continue
		}
		j, known := s.jobs[h.Allocation]
		if known && b.hasMovedTo(j) {
			s.forget(j)
			known = false
		}
		if !known {
			j = s.discover(n, b, h)
		}
		j.missing = 0
		if !s.holderAlive(n, h.Allocation) {
			s.orphan(n, j)
		}
		if s.wantsConfirmation(n, j) {
			j.askedAt = n.now
			ask[j.entry] = append(ask[j.entry], h.Allocation)
		}
	}
	s.forgetMissing(b, seen)
	for _, holder := range sortedKeys(ask) {
		n.send(holder, HolderQuery{Allocations: ask[holder]})
	}
}

// hasMovedTo reports whether a job that was found on a prefill engine's list
// has reached this decode engine, which its books do not know of.
func (b *book) hasMovedTo(j *job) bool {
	return j.discovered && b.role == Decode && j.decode != b.upstream.ID
}

// discover enters an allocation that another owner, or an earlier start of
// this one, has placed.
func (s *owner) discover(n *Node, b *book, h Held) *job {
	j := &job{
		allocation: h.Allocation,
		entry:      h.Allocation.Holder,
		memory:     h.Tokens,
		maxTokens:  h.Tokens,
		placedAt:   n.now,
		askedAt:    n.now.Add(-confirmEvery),
		discovered: true,
		prefilled:  true,
		placed:     Placed{Allocation: h.Allocation},
	}
	if g, ok := s.groupOf[b.upstream.ID]; ok {
		j.group = g.id
	}
	if b.role == Decode {
		j.decode = b.upstream.ID
		j.decoding = true
		j.decodingAt = n.now
	} else {
		j.prefill = b.upstream.ID
		b.jobs[h.Allocation] = j
	}
	s.settleTwo(n, j)
	s.remember(j)
	return j
}

// holderAlive reports whether the start of the node that holds an allocation
// is believed to live.
func (s *owner) holderAlive(n *Node, a Allocation) bool {
	if a.Holder == n.Self.ID {
		return a.Incarnation == n.Incarnation
	}
	return n.members.alive(a.Holder, a.Incarnation)
}

func (s *owner) wantsConfirmation(n *Node, j *job) bool {
	since := n.now.Sub(j.askedAt)
	if _, orphaned := j.orphanedAt.Get(); orphaned {
		return false
	}
	if j.discovered && !j.confirmed {
		return since > askHolderEvery
	}
	if j.decoding {
		return since > confirmEvery
	}
	return since > askHolderEvery && n.now.Sub(j.placedAt) > quietAfter
}

// forgetMissing drops discovered jobs that the engine no longer holds.
func (s *owner) forgetMissing(b *book, seen map[Allocation]bool) {
	for _, j := range b.sortedJobs() {
		if !j.discovered || seen[j.allocation] {
			continue
		}
		j.missing++
		if j.missing >= missingReports {
			s.forget(j)
			delete(b.jobs, j.allocation)
		}
	}
}

// holderAnswer releases what its holder says is over.
func (s *owner) holderAnswer(n *Node, from NodeID, m HolderAnswer) {
	for _, a := range m.Asked {
		if j, ok := s.jobs[a]; ok && a.Holder == from {
			j.confirmed = true
		}
	}
	for _, a := range m.Ended {
		if a.Holder != from {
			continue
		}
		if j, ok := s.jobs[a]; ok {
			j.over = true
		}
		s.releaseOver(n, a)
	}
}

// releaseOver releases an attempt that is over on whichever engines may hold
// it.
func (s *owner) releaseOver(n *Node, a Allocation) {
	s.ended[a] = n.now
	j, ok := s.jobs[a]
	if !ok {
		return
	}
	_, orphaned := j.orphanedAt.Get()
	n.require(DrainGraceful, j.over || orphaned, string(a.Request)+" is cut off though its holder serves it")
	if j.prefill != "" {
		n.release(j.prefill, a)
	}
	if j.decode != "" {
		n.release(j.decode, a)
	}
	s.forget(j)
	if g, ok := s.groups[j.group]; ok {
		s.pump(n, g)
	}
}

// orphan marks a job whose holder died. A stream is kept for a while, in case
// its caller comes back through another entry.
func (s *owner) orphan(n *Node, j *job) {
	if _, already := j.orphanedAt.Get(); already {
		return
	}
	j.orphanedAt = Some(n.now)
	wait := time.Duration(0)
	if j.decoding {
		wait = n.Settings.ResumeWithin
	}
	a := j.allocation
	n.afterFunc(wait, func(n *Node) {
		j, ok := n.owner.jobs[a]
		if !ok {
			return
		}
		if _, still := j.orphanedAt.Get(); still {
			n.owner.releaseOver(n, a)
		}
	})
}

// memberDied marks the jobs of a start of a node that died, and drops what it
// had queued.
func (s *owner) memberDied(n *Node, id NodeID, incarnation Incarnation) {
	for _, j := range s.sortedJobs() {
		if j.allocation.Holder == id && j.allocation.Incarnation == incarnation {
			s.orphan(n, j)
		}
	}
	for _, gid := range sortedKeys(s.groups) {
		g := s.groups[gid]
		for _, it := range g.queue.ordered() {
			a := it.place.Allocation
			if a.Holder == id && a.Incarnation == incarnation {
				g.queue.remove(it)
			}
		}
	}
}

// sweep forgets what is long over and asks about jobs that show no progress.
func (s *owner) sweep(n *Node) {
	for a, at := range s.ended {
		if n.now.Sub(at) > endedFor {
			delete(s.ended, a)
		}
	}
	for id, h := range s.history {
		if _, running := s.byRequest[id]; !running && n.now.Sub(h.at) > endedFor {
			delete(s.history, id)
		}
	}
	ask := make(map[NodeID][]Allocation)
	for _, j := range s.sortedJobs() {
		if !j.decoding && s.wantsConfirmation(n, j) {
			j.askedAt = n.now
			ask[j.entry] = append(ask[j.entry], j.allocation)
		}
	}
	for _, holder := range sortedKeys(ask) {
		n.send(holder, HolderQuery{Allocations: ask[holder]})
	}
}
