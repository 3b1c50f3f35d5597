package core

import "time"

const (
	// snapshotRecords is the number of records after which a new snapshot is
	// taken, so that new readers need not fold them one by one.
	snapshotRecords Offset = 1000
	// snapshotEvery is the least time between two snapshots of one node, and
	// between its start and its first.
	snapshotEvery = 10 * time.Second
	// snapshotKey is the key whose owner in the region takes snapshots.
	snapshotKey = "snapshot"
)

// snapshots decides when to append a snapshot of the configuration, so that
// the log always keeps enough records for a new reader.
type snapshots struct {
	// through is the offset of the latest usable snapshot, zero for none. The
	// record after it is the oldest that a new reader needs.
	through Offset
	// oldestAt is the log's time of the oldest record that a new reader needs,
	// if oldestKnown is set.
	oldestAt    int64
	oldestKnown bool

	ticket    Ticket
	inFlight  bool
	nextAt    Instant
	nextAtSet bool
}

// applied handles a record that the node has just folded. The tail ends with
// that record. A snapshot counts only if the tail still holds the record after
// the snapshot's offset.
func (s *snapshots) applied(r LogRecord, tail []LogRecord) {
	if r.Offset == s.through+1 {
		s.oldestAt, s.oldestKnown = r.At, true
	}
	taken, ok := r.Record.(SnapshotTaken)
	if !ok || taken.Through <= s.through || tail[0].Offset > taken.Through+1 {
		return
	}
	s.through = taken.Through
	s.oldestAt = tail[taken.Through+1-tail[0].Offset].At
	s.oldestKnown = true
}

// restored records that the node restored the configuration from a snapshot of
// an offset.
func (s *snapshots) restored(through Offset) {
	s.through = through
	s.oldestKnown = false
}

// appendIfDue appends a snapshot if one is due and this node takes snapshots.
// The node has folded all records up to the log's end.
func (s *snapshots) appendIfDue(n *Node, m LogRead) {
	if !s.nextAtSet {
		s.nextAtSet, s.nextAt = true, n.now.Add(snapshotEvery)
	}
	if s.inFlight || n.now < s.nextAt || !s.due(n, m) {
		return
	}
	if n.members.ownerOf(n, n.Self.Region, snapshotKey) != n.Self.ID {
		return
	}
	s.nextAt = n.now.Add(snapshotEvery)
	s.inFlight = true
	s.ticket = n.nextTicket()
	n.do(AppendLog{Ticket: s.ticket, Stream: ConfigStream, Records: []Record{n.config.folded.Snapshot()}})
}

// due reports whether the log needs a new snapshot: because the oldest record
// that a new reader needs has passed half of the retention or has no known
// time, or because more than snapshotRecords records follow the last snapshot.
func (s *snapshots) due(n *Node, m LogRead) bool {
	offset := n.config.folded.Offset()
	if offset == 0 {
		return false
	}
	aged := !s.oldestKnown || (m.Retention > 0 && time.Duration(m.Now-s.oldestAt) > m.Retention/2)
	return aged || offset-s.through > snapshotRecords
}

func (s *snapshots) appended(_ *Node, m LogAppended) {
	if m.Ticket == s.ticket {
		s.inFlight = false
	}
}

func (s *snapshots) appendFailed(m LogAppendFailed) {
	if m.Ticket == s.ticket {
		s.inFlight = false
	}
}
