package core

import "time"

const (
	// feedReaders is how many nodes read the upstreams' entries from the store
	// for all: calls are limited for all nodes together, and one reader alone
	// would be missed when it dies.
	feedReaders = 3
	// feedStandIns is how many more nodes read for all once they hear of no
	// reader, before every node reads for itself.
	feedStandIns = 3
	// These are parts of the time within which a leaving upstream must get
	// nothing new: a reader's period, the period of looking whether to read, and
	// the silence of all readers after which a stand-in reads, and any node.
	// Many nodes that read at once take so long that they fall behind again.
	feedReadShare    = 0.3
	feedLookShare    = 0.125
	feedStandInShare = 0.45
	feedStaleShare   = 0.7
	// feedAskEvery is the least time between two questions for missed changes.
	feedAskEvery = 100 * time.Millisecond
	// feedReader is the key by which the nodes that read are chosen.
	feedReader = "reader"
	// feedGone bounds the removals that a node remembers for others' questions.
	feedGone = 4096
	// lapseGrace is how long after an outage of the store upstreams may take to
	// renew entries that lapsed meanwhile.
	lapseGrace = 2500 * time.Millisecond
)

// ReadInstances asks for the upstreams' entries after an offset, or for all of
// them if Whole is set.
type ReadInstances struct {
	Whole bool
	After Offset
}

// InstancesRead answers ReadInstances with the entries that changed or went.
// More says that the store has later ones.
type InstancesRead struct {
	Whole   bool
	More    bool
	After   Offset
	Offset  Offset
	Changed []Instance
	Removed []EngineID
}

// InstancesUnread says that reading the entries failed. Compacted is set if the
// store no longer has the entries after the offset, so that all are to be read.
type InstancesUnread struct{ Compacted bool }

// InstancesChanged passes on to other nodes what a reader read.
type InstancesChanged struct {
	After   Offset
	Offset  Offset
	Changed []Instance
	Removed []EngineID
}

// InstancesQuery asks a node for what changed after an offset. It is not
// answered by one that does not know.
type InstancesQuery struct{ After Offset }

func (InstancesQuery) isPeerBody()   {}
func (ReadInstances) isCommand()     {}
func (InstancesRead) isMessage()     {}
func (InstancesUnread) isMessage()   {}
func (InstancesChanged) isPeerBody() {}

// instanceFeed keeps the list of upstreams. A few nodes read the store and pass
// on what changed; the others read only when they hear of no reader.
type instanceFeed struct {
	entries map[EngineID]Instance
	// lapsing holds entries that went during or right after an outage of the
	// store, and until when they still count.
	lapsing map[EngineID]Instant
	offset  Offset
	known   bool
	reading bool
	// changedAt and goneAt are the offsets by which entries last changed and
	// went. They are complete for what happened after the offset since.
	changedAt map[EngineID]Offset
	goneAt    map[EngineID]Offset
	since     Offset
	// behind is how many records this node is known to lack, and askedAt when it
	// last asked a peer for them.
	behind  Offset
	askedAt Instant
	// readAt and heardAt are when this node last read, and when the list was
	// last brought up to date by anyone.
	readAt  Instant
	heardAt Instant
	lost    bool
	lostAt  Instant
	whole   bool
}

func (s *instanceFeed) start(n *Node) {
	s.entries = map[EngineID]Instance{}
	s.lapsing = map[EngineID]Instant{}
	s.changedAt = map[EngineID]Offset{}
	s.goneAt = map[EngineID]Offset{}
	s.whole = true
	s.read(n)
	s.lookLater(n)
}

// lookLater schedules the next look. The delay may have changed since the last.
func (s *instanceFeed) lookLater(n *Node) {
	n.afterFunc(share(n.Settings.DrainDelay, feedLookShare), func(n *Node) {
		s.look(n)
		s.lookLater(n)
	})
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// look reads the store if this node is a reader or has heard of none.
func (s *instanceFeed) look(n *Node) {
	s.lapse(n)
	if !s.known || s.readsNow(n) {
		s.read(n)
	}
}

// readsNow reports whether it is this node's turn to read the store.
func (s *instanceFeed) readsNow(n *Node) bool {
	delay, silence := n.Settings.DrainDelay, n.now.Sub(s.heardAt)
	switch rank := n.readerRank(); {
	case rank < feedReaders:
		return n.now.Sub(s.readAt) > share(delay, feedReadShare)
	case rank < feedReaders+feedStandIns:
		return silence > share(delay, feedStandInShare)
	default:
		return silence > share(delay, feedStaleShare)
	}
}

func (s *instanceFeed) read(n *Node) {
	if s.reading {
		return
	}
	// One who lacks more records than there are entries gets them sooner whole.
	s.whole = s.whole || s.behind > Offset(len(s.entries))
	s.reading, s.readAt = true, n.now
	n.do(ReadInstances{Whole: s.whole, After: s.offset})
}

// readerRank returns how many live nodes come before this one in the order of
// those that read for all.
func (n *Node) readerRank() int { return countBefore(n.staying(), feedReader, n.Self.ID) }

// answered takes in what this node read, and passes on what changed.
func (s *instanceFeed) answered(n *Node, m InstancesRead) {
	s.reading, s.whole = false, false
	if s.lost {
		s.lost, s.lostAt = false, n.now
	}
	if !m.Whole && m.Offset < s.offset {
		return
	}
	// Others may have told of a part of this already. What is passed on leaves
	// that part out, so it follows on where that part ends.
	after := max(m.After, s.offset)
	changed := s.changes(m.Changed)
	removed := m.Removed
	if m.Whole {
		removed = s.missing(m.Changed)
	}
	pass := !m.Whole && n.readerRank() < feedReaders+feedStandIns
	s.apply(n, m.Offset, changed, removed)
	if m.More {
		s.read(n)
	}
	if !pass {
		return
	}
	n.sendAll(InstancesChanged{After: after, Offset: m.Offset, Changed: changed, Removed: removed})
}

// changes returns the entries that differ from what is known: most records only
// renew an entry. One that is renewed after it had gone counts, because other
// nodes may have dropped it.
func (s *instanceFeed) changes(list []Instance) []Instance {
	var changed []Instance
	for _, i := range list {
		_, lapsing := s.lapsing[i.ID]
		if old, ok := s.entries[i.ID]; !ok || old != i || lapsing {
			changed = append(changed, i)
		}
	}
	return changed
}

// missing returns the known entries that a whole list lacks.
func (s *instanceFeed) missing(list []Instance) []EngineID {
	have := Set[EngineID]{}
	for _, i := range list {
		have.Add(i.ID)
	}
	var gone []EngineID
	for _, id := range sortedKeys(s.entries) {
		if !have.Has(id) {
			gone = append(gone, id)
		}
	}
	return gone
}

// unread takes in that a read failed.
func (s *instanceFeed) unread(n *Node, m InstancesUnread) {
	s.reading = false
	if m.Compacted {
		s.whole = true
		s.read(n)
		return
	}
	s.lost, s.lostAt = true, n.now
}

// heard takes in what a reader passed on. If it does not follow on what this
// node has, the reader is asked for what lies between: to read the store instead
// is dear, and while many do, all of them fall further behind.
func (s *instanceFeed) heard(n *Node, from NodeID, m InstancesChanged) {
	if !s.known {
		return
	}
	if m.After > s.offset {
		s.behind = m.Offset - s.offset
		if s.askedAt == 0 || n.now.Sub(s.askedAt) > feedAskEvery {
			s.askedAt = n.now
			n.send(from, InstancesQuery{After: s.offset})
		}
		return
	}
	s.heardAt = n.now
	if m.Offset > s.offset {
		s.apply(n, m.Offset, m.Changed, m.Removed)
	}
}

// query answers a node that missed changes.
func (s *instanceFeed) query(n *Node, from NodeID, m InstancesQuery) {
	if !s.known || m.After < s.since || m.After > s.offset {
		return
	}
	missed := InstancesChanged{After: m.After, Offset: s.offset}
	for _, id := range sortedKeys(s.changedAt) {
		if s.changedAt[id] > m.After {
			missed.Changed = append(missed.Changed, s.entries[id])
		}
	}
	for _, id := range sortedKeys(s.goneAt) {
		if s.goneAt[id] > m.After {
			missed.Removed = append(missed.Removed, id)
		}
	}
	n.send(from, missed)
}

// remember notes at which offset entries changed and went.
func (s *instanceFeed) remember(offset Offset, changed []Instance, removed []EngineID) {
	if !s.known {
		s.since = offset
		return
	}
	for _, i := range changed {
		s.changedAt[i.ID] = offset
		delete(s.goneAt, i.ID)
	}
	for _, id := range removed {
		s.goneAt[id] = offset
		delete(s.changedAt, id)
	}
	if len(s.goneAt) > feedGone {
		clear(s.goneAt)
		s.since = offset
	}
}

// apply brings the list up to date. Entries that go in or right after an outage
// of the store are kept for a while, since live upstreams renew them.
func (s *instanceFeed) apply(n *Node, offset Offset, changed []Instance, removed []EngineID) {
	s.remember(offset, changed, removed)
	s.behind = 0
	for _, i := range changed {
		s.entries[i.ID] = i
		delete(s.lapsing, i.ID)
	}
	outage := s.lostAt != 0 && n.now.Sub(s.lostAt) < lapseGrace
	for _, id := range removed {
		if _, ok := s.entries[id]; !ok {
			continue
		}
		if outage {
			s.lapsing[id] = s.lostAt.Add(lapseGrace)
			continue
		}
		delete(s.entries, id)
	}
	fresh := !s.known
	s.known, s.offset, s.heardAt = true, offset, n.now
	if fresh || len(changed)+len(removed) > 0 {
		s.publish(n)
	}
}

// lapse removes entries that were not renewed in time after an outage.
func (s *instanceFeed) lapse(n *Node) {
	gone := false
	for id, until := range s.lapsing {
		if n.now > until && !s.lost {
			delete(s.lapsing, id)
			delete(s.entries, id)
			delete(s.changedAt, id)
			gone = true
		}
	}
	if gone {
		s.publish(n)
	}
}

// publish hands the list to those who place requests.
func (s *instanceFeed) publish(n *Node) {
	list := InstanceList{Offset: s.offset}
	for _, id := range sortedKeys(s.entries) {
		list.Instances = append(list.Instances, s.entries[id])
	}
	n.forward.instances(n, list)
}

// adopt takes a whole list from a peer, for a node that cannot reach the store.
func (s *instanceFeed) adopt(n *Node, list InstanceList) {
	if s.known {
		return
	}
	s.apply(n, list.Offset, list.Instances, nil)
	s.whole = true
}
