package core

import "time"

// versionRecordEvery is the period at which readers check whether the versions whose streams may
// be resumed are recorded in the store.
const versionRecordEvery = time.Second

// ServiceVersion is a software version of a service's upstreams.
type ServiceVersion struct {
	Service ServiceID
	Version SoftwareVersion
}

// RecordVersion records in the store that a version serves or has served lately, or, if Gone is
// set, that it has not served for longer than its streams can be resumed. Nodes that start read the
// record: when all nodes have died at once, nothing else shows whether only one version has served.
type RecordVersion struct {
	ServiceVersion
	Gone bool
}

// VersionRecorded answers RecordVersion.
type VersionRecorded struct {
	RecordVersion
	Failed bool
}

// ReadVersions reads the recorded versions. The runtime does so at its start without being asked.
type ReadVersions struct{}

// VersionsRead reports the recorded versions.
type VersionsRead struct{ Versions []ServiceVersion }

func (ReadVersions) isCommand()    {}
func (RecordVersion) isCommand()   {}
func (VersionRecorded) isMessage() {}
func (VersionsRead) isMessage()    {}

// versionRecord is what this node knows of the record in the store.
type versionRecord struct {
	// atStart are the versions that were recorded when this node began to watch the list of
	// upstreams; nil until it has read them. recorded are those that it knows to be recorded now.
	atStart, recorded map[ServiceVersion]bool
	// pending are the changes of the record that the runtime has not answered.
	pending map[ServiceVersion]bool
}

func (r *versionRecord) start(n *Node) {
	r.recorded, r.pending = map[ServiceVersion]bool{}, map[ServiceVersion]bool{}
	r.scheduleUpdate(n)
}

func (r *versionRecord) scheduleUpdate(n *Node) {
	n.afterFunc(versionRecordEvery, func(n *Node) {
		r.update(n)
		r.scheduleUpdate(n)
	})
}

// covers reports whether the record held all versions of a service that serve, so that it was
// kept up to date before this node began to watch.
func (r *versionRecord) covers(v *streamVersions, service ServiceID) bool {
	if r.atStart == nil {
		return false
	}
	for o := range v.serving {
		if o.Service == service && !r.atStart[o] {
			return false
		}
	}
	return true
}

// update has the readers of the upstreams record versions whose streams may be resumed, and the
// first of them remove those that have not served for a while.
func (r *versionRecord) update(n *Node) {
	v := &n.forward.versions
	rank := n.readerRank()
	for _, o := range sortedVersions(v.seen) {
		resumable := v.serving[o] || n.now.Sub(v.seen[o]) <= v.retention
		if rank < feedReaders && resumable && !r.recorded[o] && !r.pending[o] {
			r.pending[o] = true
			n.do(RecordVersion{ServiceVersion: o})
		}
	}
	for _, o := range sortedVersions(r.recorded) {
		switch {
		case !v.gone(n, o) || r.pending[o]:
		case rank == 0:
			r.pending[o] = true
			n.do(RecordVersion{ServiceVersion: o, Gone: true})
		default:
			// The first reader removes it.
			delete(r.recorded, o)
		}
	}
}

func (r *versionRecord) handleRecorded(m VersionRecorded) {
	delete(r.pending, m.ServiceVersion)
	switch {
	case m.Failed:
	case m.Gone:
		delete(r.recorded, m.ServiceVersion)
	default:
		r.recorded[m.ServiceVersion] = true
	}
}

// readAgain drops what was read of the record and has it read once more.
func (r *versionRecord) readAgain(n *Node) {
	r.atStart = nil
	n.do(ReadVersions{})
}

// handleRead handles the record as it was when this node began to watch. What it names counts as
// seen just now.
func (r *versionRecord) handleRead(n *Node, m VersionsRead) {
	r.atStart = map[ServiceVersion]bool{}
	for _, o := range m.Versions {
		r.atStart[o], r.recorded[o] = true, true
		n.forward.versions.seen[o] = n.now
	}
	r.update(n)
}

// handleRestored has all versions recorded again: the store may have lost some.
func (r *versionRecord) handleRestored() { clear(r.recorded) }
