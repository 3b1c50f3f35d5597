package core

import "time"

const (
	// snapshotRecords is the number of records after which a new snapshot
	// spares readers from folding them one by one.
	snapshotRecords Offset = 1000
	// snapshotEvery is the least time between two snapshots of one node, and
	// between its start and its first.
	snapshotEvery = 10 * time.Second
	// snapshotKey is the key whose owner takes snapshots.
	snapshotKey = "snapshot"
)

// snapshots decides when to append a snapshot of the configuration, so that
// the log always keeps enough to start from.
type snapshots struct {
	// through is the offset of the latest usable snapshot, zero for none. The
	// record after it is the oldest that a new reader needs.
	through Offset
	// oldest is the log's time of that record, if known.
	oldest int64
	known  bool

	ticket   Ticket
	inFlight bool
	nextAt   Instant
	started  bool
}

// applied takes in a record that the node has just folded. The tail ends with
// that record.
func (s *snapshots) applied(r LogRecord, tail []LogRecord) {
	if r.Offset == s.through+1 {
		s.oldest, s.known = r.At, true
	}
	taken, ok := r.Record.(SnapshotTaken)
	if !ok || taken.Through <= s.through || tail[0].Offset > taken.Through+1 {
		return
	}
	s.through = taken.Through
	s.oldest = tail[taken.Through+1-tail[0].Offset].At
	s.known = true
}

// restored notes that the node started from a snapshot at an offset.
func (s *snapshots) restored(through Offset) {
	s.through = through
	s.known = false
}

// consider appends a snapshot if one is due. The node has folded up to the
// log's end.
func (s *snapshots) consider(n *Node, m LogRead) {
	if !s.started {
		s.started, s.nextAt = true, n.now.Add(snapshotEvery)
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

func (s *snapshots) due(n *Node, m LogRead) bool {
	offset := n.config.folded.Offset()
	if offset == 0 {
		return false
	}
	aged := !s.known || (m.Retention > 0 && time.Duration(m.Now-s.oldest) > m.Retention/2)
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
