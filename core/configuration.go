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
	// configStartPeers is how many members a starting node queries.
	configStartPeers = 3
	// fullRateReaders is the number of nodes up to which each node reads the log
	// every LogReadEvery. With more nodes, each reads less often and also learns
	// of new records from its peers.
	fullRateReaders = 8
)

// configuration is the configuration in force, folded from the log.
//
// It is fresh if a read of the log's end or any peer has recently confirmed
// that no offset is higher than the node's own. Two stricter rules were
// considered. Counting only reads of the log would stop every node during an
// outage of the log, when nothing can be published and it is right to keep
// serving. Counting a peer's confirmation only while that peer has itself read
// the log has the same effect in an outage, since no node can tell an outage
// from a network partition between its side and the log. So all peers count: a
// node that can read the log passes the configuration on to all nodes that can
// reach it, and only a node that reaches neither the log nor a peer goes stale.
// Several nodes that are together cut off from the log and from all other nodes
// keep serving with the configuration that they have. They still learn of
// withdrawals that an engine reports itself or that the VM list shows.
type configuration struct {
	folded FoldedConfiguration
	reader logReader
	// tail holds the latest records, without gaps, up to the folded offset. It
	// serves the queries of peers that are behind.
	tail []LogRecord
	// confirmedAt is when the log or a peer last confirmed that the node is at
	// the highest offset.
	confirmedAt Instant
	confirmed   bool
	startedAt   Instant
	// highest is the highest offset that the node has learned of.
	highest      Offset
	queriedAt    Instant
	queryPending bool
	// startQueried is set once the node has queried members at its start.
	startQueried  bool
	snapshot      snapshots
	lastRevisions revisions
}

func (s *configuration) start(n *Node) {
	s.startedAt = n.now
	s.reader.stream = ConfigStream
	s.reader.poll(n)
	s.schedulePoll(n)
}

// schedulePoll polls the log after each period. The period grows with the
// number of members, so that the load on the log does not.
func (s *configuration) schedulePoll(n *Node) {
	period := n.Settings.LogReadEvery
	if nodes := n.members.liveCount() + 1; nodes > fullRateReaders {
		period = period * time.Duration(nodes) / fullRateReaders
	}
	period = min(period, n.Settings.StaleAfter/3)
	n.afterFunc(n.jitter(period), func(n *Node) {
		s.reader.poll(n)
		s.schedulePoll(n)
	})
}

// queryMembers queries a few members for their configuration, so that a node that
// starts during an outage of the log gets one.
func (s *configuration) queryMembers(n *Node) {
	if s.startQueried {
		return
	}
	ids := n.members.sample(n, configStartPeers)
	s.startQueried = len(ids) > 0
	for _, id := range ids {
		n.send(id, ConfigQuery{After: s.folded.Offset()})
	}
}

// handlePeerOffset handles the configuration offset that a peer reports, and queries
// the peer if this node is behind.
func (s *configuration) handlePeerOffset(n *Node, from NodeID, offset Offset) {
	s.highest = max(s.highest, offset)
	if offset <= s.folded.Offset() {
		s.confirm(n)
		return
	}
	if s.queryPending && n.now.Sub(s.queriedAt) < configQueryEvery {
		return
	}
	s.queryPending, s.queriedAt = true, n.now
	n.send(from, ConfigQuery{After: s.folded.Offset()})
}

// confirm records that the configuration is up to date now, unless the node has
// learned of a higher offset than its own.
func (s *configuration) confirm(n *Node) {
	if s.folded.Offset() < s.highest {
		return
	}
	s.confirmed, s.confirmedAt = true, n.now
}

// handleQuery answers a peer that is behind: with the records that it lacks if the
// tail still holds them, and otherwise with a snapshot.
func (s *configuration) handleQuery(n *Node, from NodeID, m ConfigQuery) {
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

// handleAnswer applies the records or the snapshot that a peer sent, and queries it
// again if it has more.
func (s *configuration) handleAnswer(n *Node, from NodeID, m ConfigAnswer) {
	s.queryPending = false
	s.changeFolded(n, func() {
		if snapshot, ok := m.Snapshot.Get(); ok && s.folded.Restore(snapshot) {
			s.tail = nil
			s.snapshot.restored(s.folded.Offset())
		}
		for _, r := range m.Records {
			s.apply(r)
		}
	})
	s.handlePeerOffset(n, from, m.Through)
}

// handleLogRead applies the answer to a read of ConfigStream. It reads on until the
// end of the stream, and there confirms the configuration and appends a snapshot if
// one is due.
func (s *configuration) handleLogRead(n *Node, m LogRead) {
	s.reader.readSucceeded(n, m)
	s.highest = max(s.highest, m.End)
	s.changeFolded(n, func() { s.applyRead(m) })
	if s.folded.Offset() >= m.End {
		s.reader.caughtUp = true
		s.confirm(n)
		s.snapshot.appendIfDue(n, m)
		return
	}
	if s.reader.cursor != m.After {
		s.reader.poll(n)
	}
}

// applyRead folds a page of records. If the log no longer keeps the record
// after the folded offset, the cursor moves past it in search of a snapshot.
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
// was a snapshot that closed a gap. The records that follow the snapshot's
// offset then have to be read again.
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

// changeFolded runs a change of the folded configuration and checks that its
// offset did not decrease. It notifies the owner if a profile or pool changed.
func (s *configuration) changeFolded(n *Node, change func()) {
	before := s.folded.Offset()
	change()
	after := s.folded.Offset()
	n.checkInvariant(ConfigurationMonotone, after >= before, "configuration moved to a lower offset")
	if after == before {
		return
	}
	s.highest = max(s.highest, after)
	changed := s.lastRevisions.update(n, &s.folded)
	if changed {
		n.owner.reconcile(n)
	}
}

// revisions remembers the latest revisions in force separately from the folded
// configuration, in order to detect one that reverts.
type revisions struct {
	profiles map[ProfileID]Revision
	pools    map[PoolID]Revision
}

// update checks that no revision in force decreased, stores the current ones
// and reports whether any changed.
func (v *revisions) update(n *Node, f *FoldedConfiguration) bool {
	changed := false
	for _, id := range sortedKeys(v.profiles) {
		ok := f.profiles[id].Revision >= v.profiles[id]
		n.checkInvariant(ConfigurationMonotone, ok, fmt.Sprintf("profile %s reverted", id))
	}
	for _, id := range sortedKeys(v.pools) {
		ok := f.pools[id].Revision >= v.pools[id]
		n.checkInvariant(ConfigurationMonotone, ok, fmt.Sprintf("pool %s reverted", id))
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

// fresh reports whether the configuration was confirmed recently enough for new
// requests.
func (s *configuration) fresh(n *Node) bool {
	return s.confirmed && n.now.Sub(s.confirmedAt) < n.Settings.StaleAfter
}

func (s *configuration) readFailed(_ *Node, _ LogReadFailed) { s.reader.readFailed() }

func (s *configuration) appended(n *Node, m LogAppended)         { s.snapshot.appended(n, m) }
func (s *configuration) appendFailed(_ *Node, m LogAppendFailed) { s.snapshot.appendFailed(m) }

// age returns the time since the log or a peer last confirmed that the node has
// the latest configuration, or since the node's start if none has.
func (s *configuration) age(n *Node) time.Duration {
	if !s.confirmed {
		return n.now.Sub(s.startedAt)
	}
	return n.now.Sub(s.confirmedAt)
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
