package core

import "time"

const (
	// askTimeout is how long an entry waits for an owner's first answer. It
	// costs a request that much when the owner has died or stands still.
	askTimeout = 80 * time.Millisecond
	// ownerMuted is how long an owner that did not answer is not asked.
	ownerMuted = 2 * time.Second
)

// ask asks the owner of a group of engines to place a request. Where there is
// no owner, or it does not answer, this node places the request by itself.
func (s *forwards) ask(n *Node, f *forwarded) {
	f.group = DispatchGroup{Service: f.spec.ID, Index: n.rng.IntN(s.groupsOf(f.spec.ID))}
	owner := s.groupOwner(n, f.group)
	if owner == "" || !n.uses(OwnedGroups) || s.muted[owner] > n.now {
		s.admit(n, f)
		return
	}
	g, _ := f.Generation.Get()
	f.phase = forwardAsking
	f.step++
	f.owner = owner
	f.acked = false
	n.send(owner, PlaceForward{
		ID: f.ID, Group: f.group, Prompt: f.prompt(), Expected: f.expectedOutput(), MaxOutput: g.MaxOutput, Rank: f.rank,
		OnTime: f.onTimeBy.Sub(n.now), Patience: f.goneBy.Sub(n.now), Objective: f.objective,
		Waited: f.waited(n.now), Prompted: g.Prompted, Attempt: f.Attempt, Again: f.sends > 0, Avoid: f.tried.Sorted(),
	})
	step := f.step
	n.afterFunc(askTimeout, func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.acked {
			return
		}
		s.muted[f.owner] = n.now.Add(n.jitter(ownerMuted))
		s.decide(n, f, "owner-silent", OwnerUnreachable)
		s.leaveOwner(n, f)
		s.admit(n, f)
	})
}

// leaveOwner tells the owner that the request holds nothing any more.
func (s *forwards) leaveOwner(n *Node, f *forwarded) {
	if f.owner != "" {
		n.send(f.owner, ForwardReleased{ID: f.ID, Outcome: f.outcome, Output: f.output})
		f.owner = ""
	}
	f.outcome = RunUnknown
}

// queued notes that the owner has the request.
func (s *forwards) queued(from NodeID, m ForwardQueued) {
	if f, ok := s.live[m.ID]; ok && f.phase == forwardAsking && f.owner == from {
		f.acked = true
	}
}

// placed takes the lease at the engine that the owner chose.
func (s *forwards) placed(n *Node, from NodeID, m ForwardPlaced) {
	f, ok := s.live[m.ID]
	if !ok || f.phase != forwardAsking || f.owner != from {
		if !ok || f.owner != from {
			n.send(from, ForwardReleased{ID: m.ID})
		}
		return
	}
	u, ok := s.upstreams.byID[m.Decode]
	if !ok || !u.usable() {
		s.leaveOwner(n, f)
		s.admit(n, f)
		return
	}
	if _, engine := f.spec.Engine.Get(); !engine {
		s.runPlainAt(n, f, u)
		return
	}
	f.advised = m.Prefill
	s.takeLease(n, f, u, m.Memory)
}

// turnedAway refuses a request that the owner cannot place in time.
func (s *forwards) turnedAway(n *Node, from NodeID, m ForwardTurnedAway) {
	f, ok := s.live[m.ID]
	if !ok || f.phase != forwardAsking || f.owner != from {
		return
	}
	f.owner = ""
	s.end(n, f, NoCapacity, 0)
}

// ownersChanged tells new owners what requests hold at their engines, and asks
// them for requests that waited at the old ones.
func (s *forwards) ownersChanged(n *Node) {
	for _, id := range sortedKeys(s.live) {
		f := s.live[id]
		if f.owner == "" {
			continue
		}
		owner := s.groupOwner(n, f.group)
		if owner == f.owner || owner == "" {
			continue
		}
		if f.phase == forwardAsking {
			s.decide(n, f, "owner-changed", NoReason)
			s.leaveOwner(n, f)
			s.ask(n, f)
			continue
		}
		if f.decode != nil {
			s.leaveOwner(n, f)
			f.owner = owner
			n.send(owner, ForwardHeld{ID: f.ID, Group: f.group, Decode: f.decode.ID, Memory: f.reserved})
		}
	}
}
