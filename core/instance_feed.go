package core

import (
	"slices"
	"time"
)

const (
	// feedReaders is how many nodes read the upstreams' entries from the store on
	// behalf of all: the store limits the calls of all nodes together, so not every
	// node can read, and with a single reader its failure would stop the updates.
	feedReaders = 3
	// feedBackupReaders is how many more nodes read on behalf of all once they
	// receive nothing from a reader, before every node reads for itself.
	feedBackupReaders = 3
	// These are fractions of DrainDelay, within which a leaving upstream must
	// stop getting new requests: the period of a reader, the period of checking
	// whether to read, and how long all readers have to be silent before a backup
	// reader reads, and before any node does. Many nodes reading at once take so
	// long that they fall behind again.
	feedReadFraction   = 0.3
	feedCheckFraction  = 0.125
	feedBackupFraction = 0.45
	feedStaleFraction  = 0.7
	// feedRelistFraction is, as a fraction of DrainDelay too, the time over which nodes
	// read all entries again after the store was restored from a copy.
	feedRelistFraction = 0.25
	// feedQueryEvery is the least time between two queries for missed changes.
	feedQueryEvery = 100 * time.Millisecond
	// feedReaderKey is the key by which readers are ranked.
	feedReaderKey = "reader"
	// feedMaxRemovals bounds the removals that a node remembers to answer queries
	// of other nodes.
	feedMaxRemovals = 4096
	// renewalGrace is how long after an outage of the store upstreams may take to
	// renew entries that expired during it.
	renewalGrace = 2500 * time.Millisecond
	// staleEntryTimeout is how long after its return from a copy the store may hold entries of
	// upstreams that had left: for three of their check-in intervals.
	staleEntryTimeout = 5 * time.Second
)

// feedPosition is a position in the store's log of upstreams' entries. Offsets of
// different eras cannot be compared: after the store was restored from a copy, it gives
// some of them out again.
type feedPosition struct {
	era    StoreEra
	offset Offset
}

func (p feedPosition) before(q feedPosition) bool {
	return p.era < q.era || p.era == q.era && p.offset < q.offset
}

// ReadInstances reads the upstreams' entries from the store after an offset, or all of
// them if Whole is set.
type ReadInstances struct {
	Whole bool
	After Offset
	// Started is when the read was started.
	Started Instant
}

// InstancesRead answers ReadInstances with the entries that were changed or removed.
// More is set if the store has later ones. Era is the store's era of the entries and of
// Offset. Whole, After and Started are those of the read.
type InstancesRead struct {
	Whole   bool
	More    bool
	After   Offset
	Started Instant
	Era     StoreEra
	Offset  Offset
	Changed []Instance
	Removed []EngineID
	// Versions are those of all records read, also of ones that later records replace.
	Versions []ServiceVersion
}

// InstancesReadFailed reports that reading the entries failed. Compacted is set if the
// store no longer has the changes after the offset, so that all entries must be read.
type InstancesReadFailed struct {
	Compacted bool
	// Started is that of the read.
	Started Instant
}

// InstancesChanged forwards to other nodes the changes that a reader read: those after
// the offset After, up to the offset Offset, both of the store's era Era.
type InstancesChanged struct {
	Era     StoreEra
	After   Offset
	Offset  Offset
	Changed []Instance
	Removed []EngineID
	// Passed are versions that upstreams may have had since After and that are not in the
	// sender's list.
	Passed []ServiceVersion
	// ConfigOffset and Proof are as in Heartbeat.
	ConfigOffset Offset
	Proof        StateProof
	Settled      SettledRemovals
}

// InstancesQuery asks a node for the changes after an offset of an era of the store. A
// node that does not know all of them does not answer.
type InstancesQuery struct {
	Era   StoreEra
	After Offset
}

// StoreEraObserved reports that a response of the store named a higher era than all
// responses before: the store was restored from a copy, or this is the first response.
type StoreEraObserved struct{ Era StoreEra }

func (StoreEraObserved) isMessage()    {}
func (InstancesQuery) isPeerBody()     {}
func (ReadInstances) isCommand()       {}
func (InstancesRead) isMessage()       {}
func (InstancesReadFailed) isMessage() {}
func (InstancesChanged) isPeerBody()   {}

// instanceFeed keeps the list of upstreams up to date. A few nodes read the store and
// forward the changes; the others read only if they receive nothing from a reader.
type instanceFeed struct {
	entries map[EngineID]Instance
	// expiring holds removed entries that still count.
	expiring map[EngineID]expiringEntry
	// position is where the list is up to date, and latestEra the store's latest era
	// that this node knows of.
	position  feedPosition
	latestEra StoreEra
	loaded    bool
	// reads are the instants at which the reads in flight were started.
	reads []Instant
	proof listProof
	// changedAt and removedAt are the positions at which entries were last changed and
	// removed. They are complete for all changes after historyStart. left holds the
	// incarnations of those in removedAt that were draining before, or that were dropped.
	changedAt    map[EngineID]feedPosition
	removedAt    map[EngineID]feedPosition
	left         map[EngineID]int64
	historyStart feedPosition
	// missedRecords is how many records this node is known to lack, and queriedAt is
	// when it last asked a peer for them.
	missedRecords Offset
	queriedAt     Instant
	// readAt is when this node last read the store, and updatedAt when its list was
	// last brought up to date, by its own read or by a peer.
	readAt Instant
	// updatedBefore is the update before that one.
	updatedAt, updatedBefore Instant
	// steadySince is since when updates have come without a gap in which backup readers read.
	steadySince Instant
	// storeUnreachable is set while reads of the store fail, and outageAt is the time of
	// the last failed read or, after an outage, of the first successful one.
	storeUnreachable bool
	outageAt         Instant
	// readAll is set when the next read must return all entries.
	readAll bool
}

func (s *instanceFeed) start(n *Node) {
	s.entries = map[EngineID]Instance{}
	s.expiring = map[EngineID]expiringEntry{}
	s.changedAt = map[EngineID]feedPosition{}
	s.removedAt = map[EngineID]feedPosition{}
	s.left = map[EngineID]int64{}
	s.readAll = true
	s.read(n)
	s.scheduleCheck(n)
}

// scheduleCheck schedules the next check. It sets a new timer each time because
// DrainDelay may have changed since the last.
func (s *instanceFeed) scheduleCheck(n *Node) {
	n.afterFunc(fractionOf(n.Settings.DrainDelay, feedCheckFraction), func(n *Node) {
		s.check(n)
		s.scheduleCheck(n)
	})
}

// fractionOf returns the given part of a duration.
func fractionOf(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// check reads the store if this node is a reader or has received nothing from one
// for too long.
func (s *instanceFeed) check(n *Node) {
	s.removeExpired(n)
	if !s.loaded || s.shouldRead(n) {
		s.read(n)
	}
}

// shouldRead reports whether this node has to read the store now.
func (s *instanceFeed) shouldRead(n *Node) bool {
	delay, silence := n.Settings.DrainDelay, n.now.Sub(s.updatedAt)
	switch rank := n.readerRank(); {
	case rank < feedReaders:
		return n.now.Sub(s.readAt) > fractionOf(delay, feedReadFraction)
	case rank < feedReaders+feedBackupReaders:
		return silence > fractionOf(delay, feedBackupFraction)
	default:
		return silence > fractionOf(delay, feedStaleFraction)
	}
}

// read starts a read of the store unless one is in flight.
func (s *instanceFeed) read(n *Node) {
	if len(s.reads) == 0 {
		s.startRead(n)
	}
}

// cutOff reports whether neither the store nor a reader has reached this node for longer than
// leaving upstreams may go unnoticed.
func (s *instanceFeed) cutOff(n *Node) bool {
	return s.storeUnreachable && n.now.Sub(s.updatedAt) > n.Settings.DrainDelay
}

// startRead starts a read unless too many are in flight, and reports whether it did.
func (s *instanceFeed) startRead(n *Node) bool {
	if len(s.reads) >= feedMaxReads {
		return false
	}
	// A node that lacks more records than there are entries gets them sooner by
	// reading all entries.
	s.readAll = s.readAll || s.missedRecords > Offset(len(s.entries))
	s.reads = append(s.reads, n.now)
	s.readAt = n.now
	n.do(ReadInstances{Whole: s.readAll, After: s.position.offset, Started: n.now})
	return true
}

// readAnswered removes a read from those in flight.
func (s *instanceFeed) readAnswered(started Instant) {
	if len(s.reads) > 0 {
		i := max(slices.Index(s.reads, started), 0)
		s.reads = slices.Delete(s.reads, i, i+1)
	}
}

// handleEra handles a new era of the store, which was restored from a copy: records that
// this node has read may be lost, and offsets are given out again. Every node reads all
// entries once more, at a random time soon, because nodes may have read different lost
// records, so that changes relative to the list of one are wrong for another.
func (s *instanceFeed) handleEra(n *Node, era StoreEra) {
	if era <= s.latestEra {
		return
	}
	s.latestEra = era
	if !s.loaded || s.position.era == era {
		return
	}
	s.readAll = true
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "store-restored", Tokens: Tokens(era)}})
	spread := fractionOf(n.Settings.DrainDelay, feedRelistFraction*n.rng.Float64())
	n.afterFunc(spread, func(n *Node) {
		if s.position.era < s.latestEra {
			s.read(n)
		}
	})
}

// readerRank returns this node's rank among the live nodes that could read on behalf
// of all; the lowest ranks read.
func (n *Node) readerRank() int { return rankByScore(n.acceptingNodes(), feedReaderKey, n.Self.ID) }

// applyRead applies the result of this node's read, and forwards the changes.
func (s *instanceFeed) applyRead(n *Node, m InstancesRead) {
	s.readAnswered(m.Started)
	if s.storeUnreachable {
		s.storeUnreachable, s.outageAt = false, n.now
	}
	if m.Era == 0 {
		m.Era = s.latestEra
	}
	s.handleEra(n, m.Era)
	n.forward.notePassed(n, m.Versions)
	to := feedPosition{m.Era, m.Offset}
	switch {
	case m.Era < s.latestEra:
		// The store was restored while this read was in flight.
		s.readAll = true
		s.notProved(n, m.Started)
		return
	case !m.Whole && s.loaded && (m.Era != s.position.era || m.After > s.position.offset):
		// The offset from which the store was read is of an earlier era.
		s.readAll = true
		s.startRead(n)
		return
	case m.Whole && m.Started < s.proof.at:
		// A later read was answered before.
		return
	case !m.Whole && to.before(s.position):
		// A peer has forwarded later changes meanwhile.
		s.readEnded(n, m)
		return
	}
	s.readAll = false
	// Another reader may have sent some of these changes already. They are left out of
	// what is forwarded, so the forwarded range starts where they end.
	after := s.position.offset
	changed := s.changedEntries(m.Changed)
	removed := m.Removed
	if m.Whole {
		removed = s.missingEntries(m.Changed)
	}
	if s.loaded && s.position.era != m.Era {
		s.outageAt, s.historyStart = n.now, to
		changed = s.withoutStale(n, changed)
	}
	if m.Whole && s.loaded {
		n.forward.versions.restartWatch(n)
	}
	forward := !m.Whole && n.readerRank() < feedReaders+feedBackupReaders
	s.apply(n, to, changed, removed)
	if forward {
		n.broadcast(InstancesChanged{
			Era: m.Era, After: after, Offset: m.Offset, Changed: changed, Removed: removed, Passed: n.forward.versions.notServing(m.Versions),
			ConfigOffset: n.stateOffset(), Proof: n.stateProof(), Settled: s.settledRemovals(n),
		})
	}
	s.readEnded(n, m)
}

// readEnded continues a read of which the store has more, and otherwise records what it proves.
func (s *instanceFeed) readEnded(n *Node, m InstancesRead) {
	if m.More {
		s.startRead(n)
		return
	}
	s.proved(n, m.Started)
}

// withoutStale returns the entries of a restored store without what this node knows to be
// out of date in them: an incarnation that was draining is draining still, or has left. One that
// was dropped without draining counts again once it has renewed its entry. Another node may have
// read the renewal, so that all entries are read once more when the store has removed those that
// nobody renews.
func (s *instanceFeed) withoutStale(n *Node, restored []Instance) []Instance {
	var list []Instance
	for _, i := range restored {
		if born, ok := s.left[i.ID]; ok && born == i.Born {
			continue
		}
		if old, ok := s.entries[i.ID]; ok && old.Born == i.Born {
			i.Draining = i.Draining || old.Draining
		}
		list = append(list, i)
	}
	if len(list) < len(restored) {
		n.afterFunc(staleEntryTimeout, func(n *Node) {
			s.readAll = true
			s.read(n)
		})
	}
	return list
}

// changedEntries returns the entries that differ from the known ones: most records
// only renew an entry. An entry renewed after its removal counts as changed, because
// other nodes may have dropped it.
func (s *instanceFeed) changedEntries(list []Instance) []Instance {
	var changed []Instance
	for _, i := range list {
		_, expiring := s.expiring[i.ID]
		if old, ok := s.entries[i.ID]; !ok || old != i || expiring {
			changed = append(changed, i)
		}
	}
	return changed
}

// missingEntries returns the known entries that a complete list does not contain.
func (s *instanceFeed) missingEntries(list []Instance) []EngineID {
	have := Set[EngineID]{}
	for _, i := range list {
		have.Add(i.ID)
	}
	var removed []EngineID
	for _, id := range sortedKeys(s.entries) {
		if !have.Has(id) {
			removed = append(removed, id)
		}
	}
	return removed
}

// readFailed handles a failed read: it reads all entries if the changes were compacted,
// and otherwise records an outage of the store.
func (s *instanceFeed) readFailed(n *Node, m InstancesReadFailed) {
	s.readAnswered(m.Started)
	if m.Compacted {
		s.readAll = true
		s.startRead(n)
		return
	}
	if s.proof.readAt == 0 || m.Started != s.proof.readAt {
		s.storeUnreachable, s.outageAt = true, n.now
	}
	s.notProved(n, m.Started)
}

// handleChanges applies the changes that a reader forwarded. If they start after this
// node's position, it asks that reader for those in between. Reading the store instead
// is expensive, and while many nodes do so, all of them fall further behind. Changes of
// another era than the list's do not apply to it.
func (s *instanceFeed) handleChanges(n *Node, from NodeID, m InstancesChanged) {
	n.forward.proof.adopt(n, int64(m.ConfigOffset), m.Proof)
	if !s.loaded {
		return
	}
	s.handleEra(n, m.Era)
	if m.Era != s.position.era {
		return
	}
	if m.After > s.position.offset {
		s.missedRecords = m.Offset - s.position.offset
		if s.queriedAt == 0 || n.now.Sub(s.queriedAt) > feedQueryEvery {
			s.queriedAt = n.now
			n.send(from, InstancesQuery{Era: s.position.era, After: s.position.offset})
		}
		return
	}
	s.updated(n)
	n.forward.notePassed(n, m.Passed)
	if m.Offset > s.position.offset {
		s.apply(n, feedPosition{m.Era, m.Offset}, m.Changed, m.Removed)
	}
	s.handleSettled(n, m.Settled)
}

// handleQuery answers a node that missed changes.
func (s *instanceFeed) handleQuery(n *Node, from NodeID, m InstancesQuery) {
	after := feedPosition{m.Era, m.After}
	if !s.loaded || m.Era != s.position.era || after.before(s.historyStart) || s.position.before(after) {
		return
	}
	missed := InstancesChanged{
		Era: m.Era, After: m.After, Offset: s.position.offset, Passed: n.forward.versions.notServing(sortedVersions(n.forward.versions.seen)),
		Settled: s.settledRemovals(n),
	}
	for _, id := range sortedKeys(s.changedAt) {
		if after.before(s.changedAt[id]) {
			missed.Changed = append(missed.Changed, s.entries[id])
		}
	}
	for _, id := range sortedKeys(s.removedAt) {
		if after.before(s.removedAt[id]) {
			missed.Removed = append(missed.Removed, id)
		}
	}
	n.send(from, missed)
}

// recordHistory records the position at which entries were changed and removed.
func (s *instanceFeed) recordHistory(at feedPosition, changed []Instance, removed []EngineID) {
	if !s.loaded {
		s.historyStart = at
		return
	}
	for _, i := range changed {
		s.changedAt[i.ID] = at
		delete(s.removedAt, i.ID)
		delete(s.left, i.ID)
	}
	for _, id := range removed {
		s.removedAt[id] = at
		if old, ok := s.entries[id]; ok && old.Draining {
			s.left[id] = old.Born
		}
		delete(s.changedAt, id)
	}
	if len(s.removedAt) > feedMaxRemovals {
		clear(s.removedAt)
		clear(s.left)
		s.historyStart = at
	}
}

// apply applies changes to the list. Entries removed during or right after an outage of
// the store are kept for renewalGrace, since live upstreams renew them, unless a peer shows
// that their removal is final.
func (s *instanceFeed) apply(n *Node, to feedPosition, changed []Instance, removed []EngineID) {
	s.recordHistory(to, changed, removed)
	s.missedRecords = 0
	for _, i := range changed {
		s.entries[i.ID] = i
		delete(s.expiring, i.ID)
	}
	outage := s.outageAt != 0 && n.now.Sub(s.outageAt) < renewalGrace
	for _, id := range removed {
		if _, ok := s.entries[id]; !ok {
			continue
		}
		if outage {
			at := to
			if e, ok := s.expiring[id]; ok {
				at = e.at
			}
			s.expiring[id] = expiringEntry{at: at, until: s.outageAt.Add(renewalGrace)}
			continue
		}
		s.drop(id)
	}
	firstList := !s.loaded
	s.loaded, s.position = true, to
	s.updated(n)
	if firstList || len(changed)+len(removed) > 0 {
		s.publish(n)
	}
}

// updated records that the list has just been brought up to date.
func (s *instanceFeed) updated(n *Node) {
	if n.now > s.updatedAt {
		if s.updatesStopped(n) {
			s.steadySince = n.now
		}
		s.updatedAt, s.updatedBefore = n.now, s.updatedAt
	}
}

// updatesStopped reports whether readers have been silent for so long that backup readers read.
func (s *instanceFeed) updatesStopped(n *Node) bool {
	return n.now.Sub(s.updatedAt) > fractionOf(n.Settings.DrainDelay, feedBackupFraction)
}

// steady reports whether the store has been read all through the last renewalGrace, by this node
// or by the readers that update it: live upstreams have renewed their entries by now.
func (s *instanceFeed) steady(n *Node) bool {
	return !s.updatesStopped(n) && n.now.Sub(s.steadySince) > renewalGrace
}

// publish passes the list to the forwarding of requests, which selects upstreams from it.
func (s *instanceFeed) publish(n *Node) {
	list := InstanceList{Era: s.position.era, Offset: s.position.offset}
	for _, id := range sortedKeys(s.entries) {
		list.Instances = append(list.Instances, s.entries[id])
	}
	n.forward.applyInstances(n, list)
}

// applyPeerList applies a complete list from a peer, for a node that cannot reach
// the store.
func (s *instanceFeed) applyPeerList(n *Node, list InstanceList) {
	if s.loaded {
		return
	}
	s.latestEra = max(s.latestEra, list.Era)
	s.apply(n, feedPosition{list.Era, list.Offset}, list.Instances, nil)
	s.readAll = true
}
