package core

import "time"

const (
	// releaseGrace is how long a release may be in flight before the owner repeats
	// it on behalf of the holder.
	releaseGrace = time.Second
	// askHolderEvery is the lower bound of the time between two queries to a holder
	// about one job that is not decoding or not confirmed.
	askHolderEvery = 2 * time.Second
	// progressTimeout is how long after its placement a job may stay without
	// decoding before its holder is asked about it.
	progressTimeout = 10 * time.Second
	// confirmEvery is how often the holder of a decoding job is asked whether it
	// still serves the request.
	confirmEvery = 30 * time.Second
	// maxMissedReports is the number of consecutive reports without a
	// discovered job after which the job is dropped.
	maxMissedReports = 2
)

// compareReport compares the allocations that an engine reports with the allocation
// table. It adds those that other owners placed, releases those of ended attempts,
// and asks holders about jobs that are due for confirmation.
func (s *owner) compareReport(n *Node, b *allocationTable, m EngineReport) {
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
			s.removeJob(j)
			known = false
		}
		if !known {
			j = s.addDiscovered(n, b, h)
		}
		j.missedReports = 0
		if !s.holderAlive(n, h.Allocation) {
			s.markOrphaned(n, j)
		}
		if s.needsConfirmation(n, j) {
			j.askedAt = n.now
			ask[j.entry] = append(ask[j.entry], h.Allocation)
		}
	}
	s.forgetMissing(b, seen)
	for _, holder := range sortedKeys(ask) {
		n.send(holder, HolderQuery{Allocations: ask[holder]})
	}
}

// hasMovedTo reports whether a job that was discovered on another engine has since
// moved to this decode engine, which is not yet recorded in the job.
func (b *allocationTable) hasMovedTo(j *job) bool {
	return j.discovered && b.role == Decode && j.decode != b.upstream.ID
}

// addDiscovered adds a job for an allocation that an engine reports but this owner
// did not place. Another owner placed it, or an earlier incarnation of this node.
func (s *owner) addDiscovered(n *Node, b *allocationTable, h Held) *job {
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
	if g, ok := s.groupByEngine[b.upstream.ID]; ok {
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
	s.resolveDuplicate(n, j)
	s.addJob(j)
	return j
}

// holderAlive reports whether the incarnation of the node that holds an allocation
// is believed to be alive.
func (s *owner) holderAlive(n *Node, a Allocation) bool {
	if a.Holder == n.Self.ID {
		return a.Incarnation == n.Incarnation
	}
	return n.members.alive(a.Holder, a.Incarnation)
}

// needsConfirmation reports whether the holder of a job should be asked whether
// it still serves the request.
func (s *owner) needsConfirmation(n *Node, j *job) bool {
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
	return since > askHolderEvery && n.now.Sub(j.placedAt) > progressTimeout
}

// forgetMissing drops discovered jobs that the engine has stopped reporting.
func (s *owner) forgetMissing(b *allocationTable, seen map[Allocation]bool) {
	for _, j := range b.sortedJobs() {
		if !j.discovered || seen[j.allocation] {
			continue
		}
		j.missedReports++
		if j.missedReports >= maxMissedReports {
			s.removeJob(j)
			delete(b.jobs, j.allocation)
		}
	}
}

// handleHolderAnswer handles a holder's answer: it releases the attempts that the
// holder reports as ended.
func (s *owner) handleHolderAnswer(n *Node, from NodeID, m HolderAnswer) {
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
			j.endReported = true
		}
		s.releaseEnded(n, a)
	}
}

// releaseEnded releases an ended attempt on all engines that may hold memory for
// it.
func (s *owner) releaseEnded(n *Node, a Allocation) {
	s.ended[a] = n.now
	j, ok := s.jobs[a]
	if !ok {
		return
	}
	_, orphaned := j.orphanedAt.Get()
	n.checkInvariant(DrainGraceful, j.endReported || orphaned, string(a.Request)+" is released although its holder has not ended it")
	if j.prefill != "" {
		n.release(j.prefill, a)
	}
	if j.decode != "" {
		n.release(j.decode, a)
	}
	s.removeJob(j)
	if g, ok := s.groups[j.group]; ok {
		s.serveQueue(n, g)
	}
}

// markOrphaned marks a job whose holder died, and releases it. A stream is kept
// for [Settings.ResumeWithin] first, in case its caller reconnects to another
// entry.
func (s *owner) markOrphaned(n *Node, j *job) {
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
			n.owner.releaseEnded(n, a)
		}
	})
}

// memberDied marks the jobs of an incarnation of a node that died as orphaned, and
// drops its queued requests.
func (s *owner) memberDied(n *Node, id NodeID, incarnation Incarnation) {
	for _, j := range s.sortedJobs() {
		if j.allocation.Holder == id && j.allocation.Incarnation == incarnation {
			s.markOrphaned(n, j)
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

// sweep drops records of attempts and requests that ended more than
// endedRetention ago, and asks holders about jobs that show no progress.
func (s *owner) sweep(n *Node) {
	for a, at := range s.ended {
		if n.now.Sub(at) > endedRetention {
			delete(s.ended, a)
		}
	}
	for id, h := range s.history {
		if _, running := s.byRequest[id]; !running && n.now.Sub(h.at) > endedRetention {
			delete(s.history, id)
		}
	}
	ask := make(map[NodeID][]Allocation)
	for _, j := range s.sortedJobs() {
		if !j.decoding && s.needsConfirmation(n, j) {
			j.askedAt = n.now
			ask[j.entry] = append(ask[j.entry], j.allocation)
		}
	}
	for _, holder := range sortedKeys(ask) {
		n.send(holder, HolderQuery{Allocations: ask[holder]})
	}
}
