package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// versionRecordEvery is the period at which readers check whether the versions whose streams may
// be resumed are recorded in the store.
const versionRecordEvery = time.Second

// ServiceVersion is a software version of a service's upstreams.
type ServiceVersion struct {
	Service ServiceID
	Version SoftwareVersion
}

// RecordVersion records in the store that a version serves or has served lately, and its resume window
// unless Window is zero. If Gone is set, it removes that record: the version has not served for longer
// than its streams can be resumed. Nodes that start read the records: when all nodes have died at once,
// nothing else shows which versions have served, and until when their streams can be resumed.
//
// Each window of a version has a record of its own, so that a write that is carried out late does not
// replace a longer one.
type RecordVersion struct {
	ServiceVersion
	Window time.Duration
	Gone   bool
}

// VersionRecorded answers RecordVersion.
type VersionRecorded struct {
	RecordVersion
	Failed bool
}

// ReadVersions reads the recorded versions. The runtime does so at its start without being asked.
type ReadVersions struct{}

// VersionsRead reports the recorded versions, and their resume windows.
type VersionsRead struct {
	Versions []ServiceVersion
	Windows  []RecordedWindow
}

// RecordedWindow is a resume window of a version in the store.
type RecordedWindow struct {
	ServiceVersion
	Window time.Duration
}

func (ReadVersions) isCommand()    {}
func (RecordVersion) isCommand()   {}
func (VersionRecorded) isMessage() {}
func (VersionsRead) isMessage()    {}

// versionRecord is what this node knows of the record in the store.
type versionRecord struct {
	// atStart are the versions that were recorded when this node began to watch the list of
	// upstreams; nil until it has read them.
	atStart map[ServiceVersion]bool
	// recorded are the records that it knows to be in the store now, and windows the longest one of
	// each version.
	recorded map[RecordVersion]bool
	windows  map[ServiceVersion]time.Duration
	// pending are the changes of the record that the runtime has not answered.
	pending map[RecordVersion]bool
}

func (r *versionRecord) start(n *Node) {
	r.pending = map[RecordVersion]bool{}
	r.handleRestored()
	r.scheduleUpdate(n)
}

func (r *versionRecord) scheduleUpdate(n *Node) {
	n.afterFunc(versionRecordEvery, func(n *Node) {
		r.update(n)
		n.forward.versions.reportWindows(n)
		r.scheduleUpdate(n)
	})
}

// window returns the longest window of a version that is recorded; zero if none is.
func (r *versionRecord) window(o ServiceVersion) time.Duration { return r.windows[o] }

func (r *versionRecord) noteRecorded(c RecordVersion) {
	r.recorded[c] = true
	if c.Window > r.windows[c.ServiceVersion] {
		r.windows[c.ServiceVersion] = c.Window
	}
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

// update has the readers of the upstreams record versions whose streams may be resumed, and their
// resume windows, and the first of them remove those that have not served for a while.
func (r *versionRecord) update(n *Node) {
	v, rank := &n.forward.versions, n.readerRank()
	for _, o := range sortedVersions(v.seen) {
		if rank >= feedReaders || v.forgettable(n, o, n.now) {
			continue
		}
		r.request(n, RecordVersion{ServiceVersion: o})
		if window := v.windows.longest[o]; window > r.window(o) {
			r.request(n, RecordVersion{ServiceVersion: o, Window: window})
		}
	}
	for _, c := range slices.SortedFunc(maps.Keys(r.recorded), compareRecords) {
		gone := c
		gone.Gone = true
		switch {
		case !v.gone(n, c.ServiceVersion) || r.pending[c] || r.pending[gone]:
		case rank == 0:
			r.pending[gone] = true
			n.do(gone)
		default:
			// The first reader removes it.
			r.forget(c)
		}
	}
}

// request has a version or its window recorded, unless it is or is being.
func (r *versionRecord) request(n *Node, c RecordVersion) {
	if !r.recorded[c] && !r.pending[c] {
		r.pending[c] = true
		n.do(c)
	}
}

func (r *versionRecord) forget(c RecordVersion) {
	delete(r.recorded, c)
	delete(r.windows, c.ServiceVersion)
}

func compareRecords(a, b RecordVersion) int {
	return cmp.Or(compareVersions(a.ServiceVersion, b.ServiceVersion), cmp.Compare(a.Window, b.Window))
}

// handleRecorded handles the outcome of a change. A window that has been recorded is named to the
// other nodes, so that they do not have it recorded too.
func (r *versionRecord) handleRecorded(n *Node, m VersionRecorded) {
	delete(r.pending, m.RecordVersion)
	c := m.RecordVersion
	c.Gone = false
	switch {
	case m.Failed:
	case m.Gone:
		r.forget(c)
	default:
		r.noteRecorded(c)
		if c.Window > 0 {
			n.broadcast(WindowReported{ServiceVersion: c.ServiceVersion, Window: c.Window, Recorded: true})
		}
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
	v := &n.forward.versions
	r.atStart = map[ServiceVersion]bool{}
	for _, o := range m.Versions {
		r.atStart[o] = true
		r.noteRecorded(RecordVersion{ServiceVersion: o})
		v.seen[o] = n.now
	}
	for _, w := range m.Windows {
		r.atStart[w.ServiceVersion] = true
		r.noteRecorded(RecordVersion{ServiceVersion: w.ServiceVersion, Window: w.Window})
		v.windows.raise(w.ServiceVersion, w.Window)
		v.seen[w.ServiceVersion] = n.now
	}
	r.update(n)
}

// handleRestored has all versions recorded again: the store may have lost some.
func (r *versionRecord) handleRestored() {
	r.recorded, r.windows = map[RecordVersion]bool{}, map[ServiceVersion]time.Duration{}
}
