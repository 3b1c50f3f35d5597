package core

import (
	"fmt"
	"time"
)

const (
	// configTailRecords is how many of the latest records a node keeps for
	// peers that are behind.
	configTailRecords = 256
	// configAnswerRecords bounds the records of one ConfigAnswer.
	configAnswerRecords = 64
	// configQueryEvery is the least time between two queries while the node
	// waits for an answer.
	configQueryEvery = 250 * time.Millisecond
	// configStartPeers is how many members a starting node asks.
	configStartPeers = 3
	// logReaders is the number of nodes up to which each reads the log at the
	// full rate. Beyond it, nodes read less often and rely on each other.
	logReaders = 8
)

// configuration is the configuration in force, folded from the log.
//
// A node counts as fresh while it hears, from the log's end or from any peer,
// of no offset beyond its own. Two alternatives were weighed. Counting only
// reads of the log would stop every node during an outage of the log, when
// nothing can be published and serving on is right. Letting a peer's word
// count only while that peer has itself read the log comes to the same in an
// outage, since no node can tell an outage from a cut that parts its side from
// the log. So peers count: a node that can read the log carries the
// configuration to all that can reach it, and only a node that hears neither
// goes stale. Several nodes that are together cut off from the log and from
// all others keep serving by the configuration that they have; withdrawal by
// the engine's own state and by the VM list still reaches them.
type configuration struct {
	folded Folded
	reader logReader
	// tail holds the latest records, without gaps, up to the folded offset.
	tail []LogRecord
	// heardAt is when the node last heard that it is at the highest offset.
	heardAt   Instant
	heard     bool
	startedAt Instant
	// highest is the highest offset that the node has heard of.
	highest Offset
	askedAt Instant
	asked   bool
	// started is set once the node has asked members for a configuration.
	started  bool
	snapshot snapshots
	inForce  revisions
}

func (s *configuration) start(n *Node) {
	s.startedAt = n.now
	s.reader.stream = ConfigStream
	s.reader.poll(n)
	s.tick(n)
}

// tick reads the log again and again. The period grows with the number of
// members, so that the log's load does not.
func (s *configuration) tick(n *Node) {
	period := n.Settings.LogReadEvery
	if nodes := n.members.size() + 1; nodes > logReaders {
		period = period * time.Duration(nodes) / logReaders
	}
	period = min(period, n.Settings.StaleAfter/3)
	n.afterFunc(n.jitter(period), func(n *Node) {
		s.reader.poll(n)
		s.tick(n)
	})
}

// begin asks a few members for their configuration, so that a node that starts
// during an outage of the log gets one.
func (s *configuration) begin(n *Node) {
	if s.started {
		return
	}
	ids := n.members.sample(n, configStartPeers)
	s.started = len(ids) > 0
	for _, id := range ids {
		n.send(id, ConfigQuery{After: s.folded.Offset()})
	}
}

// hear takes in the offset that a peer is at.
func (s *configuration) hear(n *Node, from NodeID, offset Offset) {
	s.highest = max(s.highest, offset)
	if offset <= s.folded.Offset() {
		s.refresh(n)
		return
	}
	if s.asked && n.now.Sub(s.askedAt) < configQueryEvery {
		return
	}
	s.asked, s.askedAt = true, n.now
	n.send(from, ConfigQuery{After: s.folded.Offset()})
}

// refresh notes that the node has just heard of the configuration's end, if it
// has folded everything that it has heard of.
func (s *configuration) refresh(n *Node) {
	if s.folded.Offset() < s.highest {
		return
	}
	s.heard, s.heardAt = true, n.now
}

func (s *configuration) query(n *Node, from NodeID, m ConfigQuery) {
	answer := ConfigAnswer{After: m.After, Through: s.folded.Offset()}
	switch {
	case m.After >= s.folded.Offset():
	case len(s.tail) > 0 && s.tail[0].Offset <= m.After+1:
		first := int(m.After + 1 - s.tail[0].Offset)
		last := min(first+configAnswerRecords, len(s.tail))
		answer.Records = append(answer.Records, s.tail[first:last]...)
	default:
		answer.Snapshot = Some(s.folded.Snapshot())
	}
	n.send(from, answer)
}

func (s *configuration) answer(n *Node, from NodeID, m ConfigAnswer) {
	s.asked = false
	s.move(n, func() {
		if snapshot, ok := m.Snapshot.Get(); ok && s.folded.Restore(snapshot) {
			s.tail = nil
			s.snapshot.restored(s.folded.Offset())
		}
		for _, r := range m.Records {
			s.apply(r)
		}
	})
	s.hear(n, from, m.Through)
}

func (s *configuration) read(n *Node, m LogRead) {
	s.reader.answered(n, m)
	s.highest = max(s.highest, m.End)
	s.move(n, func() { s.applyRead(m) })
	if s.folded.Offset() >= m.End {
		s.reader.caughtUp = true
		s.refresh(n)
		s.snapshot.consider(n, m)
		return
	}
	if s.reader.cursor != m.After {
		s.reader.poll(n)
	}
}

// applyRead folds a stretch of the log. Where the records behind the folded
// offset are gone, the cursor runs ahead in search of a snapshot.
func (s *configuration) applyRead(m LogRead) {
	for _, r := range m.Records {
		s.reader.cursor = max(s.reader.cursor, r.Offset)
		if s.apply(r) {
			break
		}
	}
	if s.folded.Offset() >= m.First-1 {
		s.reader.cursor = s.folded.Offset()
	}
}

// apply folds one record and keeps it for peers. It reports whether the record
// was a snapshot that closed a gap, so that the records after it are due again.
func (s *configuration) apply(r LogRecord) bool {
	next := s.folded.Offset() + 1
	if !s.folded.Apply(r) {
		return false
	}
	if r.Offset != next {
		s.tail = nil
		s.snapshot.restored(s.folded.Offset())
		return true
	}
	if len(s.tail) == configTailRecords {
		s.tail = s.tail[1:]
	}
	s.tail = append(s.tail, r)
	s.snapshot.applied(r, s.tail)
	return false
}

// move runs a change of the folded configuration, checks that it went forward,
// and tells the owner if anything in force changed.
func (s *configuration) move(n *Node, change func()) {
	before := s.folded.Offset()
	change()
	after := s.folded.Offset()
	n.require(ConfigurationMonotone, after >= before, "configuration moved to a lower offset")
	if after == before {
		return
	}
	s.highest = max(s.highest, after)
	changed := s.inForce.advance(n, &s.folded)
	if changed {
		n.owner.reconcile(n)
	}
}

// revisions remembers which revisions were in force, apart from the fold, so
// that a fold that reverts is noticed.
type revisions struct {
	profiles map[ProfileID]Revision
	pools    map[PoolID]Revision
}

// advance compares the fold with the revisions before it, and reports whether
// any changed.
func (v *revisions) advance(n *Node, f *Folded) bool {
	changed := false
	for _, id := range sortedKeys(v.profiles) {
		ok := f.profiles[id].Revision >= v.profiles[id]
		n.require(ConfigurationMonotone, ok, fmt.Sprintf("profile %s reverted", id))
	}
	for _, id := range sortedKeys(v.pools) {
		ok := f.pools[id].Revision >= v.pools[id]
		n.require(ConfigurationMonotone, ok, fmt.Sprintf("pool %s reverted", id))
	}
	if v.profiles == nil {
		v.profiles, v.pools = map[ProfileID]Revision{}, map[PoolID]Revision{}
	}
	for id, e := range f.profiles {
		changed = changed || v.profiles[id] != e.Revision
		v.profiles[id] = e.Revision
	}
	for id, e := range f.pools {
		changed = changed || v.pools[id] != e.Revision
		v.pools[id] = e.Revision
	}
	return changed
}

// profile returns a profile in force.
func (s *configuration) profile(id ProfileID) (Profile, bool) {
	e, ok := s.folded.Profile(id)
	return e.Profile, ok
}

// pool returns a pool in force.
func (s *configuration) pool(id PoolID) (Pool, bool) {
	e, ok := s.folded.Pool(id)
	return e.Pool, ok
}

// fresh reports whether the configuration was heard of recently enough to
// take new work under it.
func (s *configuration) fresh(n *Node) bool {
	return s.heard && n.now.Sub(s.heardAt) < n.Settings.StaleAfter
}

func (s *configuration) readFailed(_ *Node, _ LogReadFailed) { s.reader.failed() }

func (s *configuration) appended(n *Node, m LogAppended)         { s.snapshot.appended(n, m) }
func (s *configuration) appendFailed(_ *Node, m LogAppendFailed) { s.snapshot.appendFailed(m) }

// age returns the time since the node last heard that it has the latest
// configuration.
func (s *configuration) age(n *Node) time.Duration {
	if !s.heard {
		return n.now.Sub(s.startedAt)
	}
	return n.now.Sub(s.heardAt)
}

// pools returns the pools in force, sorted by id.
func (s *configuration) pools() []Pool {
	pools := make([]Pool, 0, len(s.folded.pools))
	for _, id := range sortedKeys(s.folded.pools) {
		pools = append(pools, s.folded.pools[id].Pool)
	}
	return pools
}

// profiles returns the profiles in force, sorted by id.
func (s *configuration) profiles() []Profile {
	profiles := make([]Profile, 0, len(s.folded.profiles))
	for _, id := range sortedKeys(s.folded.profiles) {
		profiles = append(profiles, s.folded.profiles[id].Profile)
	}
	return profiles
}
