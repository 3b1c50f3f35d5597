package core

import (
	"math/bits"
	"time"
)

const (
	// unknownResumeWindow is the resume window of a version whose record in the store names none,
	// because the nodes died before they had written it. Callers name their deadlines; longer ones
	// than this are not expected.
	unknownResumeWindow = time.Hour
	// MaxResumeWindow bounds resume windows, so that an instant and a window can be added.
	MaxResumeWindow = 1 << 28 * time.Second
)

// WindowReported names the resume window of a version. Recorded is set if the store has it; otherwise
// the receiver has it recorded.
type WindowReported struct {
	ServiceVersion
	Window   time.Duration
	Recorded bool
}

func (WindowReported) isPeerBody() {}

// resumeWindows holds the resume window of each software version: for how long after a stream of the
// version has begun its caller may resume it. A caller may do so until the deadline that it named, so
// that the window of a version is the longest deadline of the callers whose streams it has begun.
//
// Windows only grow. They are rounded up, so that a service with similar callers has one window, and
// its record in the store is written once for each version.
type resumeWindows struct {
	longest map[ServiceVersion]time.Duration
}

func (w *resumeWindows) start() { w.longest = map[ServiceVersion]time.Duration{} }

// raise raises the window of a version, and reports whether it was shorter.
func (w *resumeWindows) raise(o ServiceVersion, window time.Duration) bool {
	if window <= w.longest[o] {
		return false
	}
	w.longest[o] = window
	return true
}

func (w *resumeWindows) forget(o ServiceVersion) { delete(w.longest, o) }

// resumeWindow returns the window that covers a caller's deadline, in seconds a power of two. A caller
// may read its answer, and send the last attempt to resume it, until lateAnswerTime after the deadline.
func resumeWindow(deadline time.Duration) time.Duration {
	if deadline >= MaxResumeWindow-lateAnswerTime {
		return MaxResumeWindow
	}
	seconds := uint64((deadline + lateAnswerTime - 1) / time.Second)
	return time.Second << bits.Len64(seconds)
}

// resumeWindow returns for how long a stream of a version may be resumed.
func (v *streamVersions) resumeWindow(o ServiceVersion) time.Duration {
	if window := max(v.windows.longest[o], v.record.window(o)); window > 0 {
		return window
	}
	if v.record.atStart[o] {
		return unknownResumeWindow
	}
	return minStreamRetention
}

// longestResumeWindow returns the longest window of the versions of a service.
func (v *streamVersions) longestResumeWindow(service ServiceID) time.Duration {
	longest := time.Duration(0)
	for o := range v.seen {
		if o.Service == service {
			longest = max(longest, v.resumeWindow(o))
		}
	}
	return longest
}

// retention returns for how long the origins of streams are kept.
func (v *streamVersions) retention() time.Duration {
	retention := minStreamRetention
	for _, window := range v.windows.longest {
		retention = max(retention, window)
	}
	return retention
}

// resumableFor returns for how long after a version was last listed callers may resume its streams.
// Nodes send requests to an upstream for DrainDelay at most after the store shows that it leaves.
func (v *streamVersions) resumableFor(n *Node, o ServiceVersion) time.Duration {
	return v.resumeWindow(o) + n.Settings.DrainDelay
}

// resumable reports whether callers may resume streams of a version now.
func (v *streamVersions) resumable(n *Node, o ServiceVersion) bool {
	return v.serving[o] || n.now.Sub(v.seen[o]) < v.resumableFor(n, o)
}

// observeDeadline raises the window of the version that has begun a caller's stream. If it was shorter,
// the window is recorded in the store before others need it.
func (s *forwards) observeDeadline(n *Node, o ServiceVersion, deadline time.Duration) {
	v := &s.versions
	if !v.windows.raise(o, resumeWindow(deadline)) {
		return
	}
	if n.readerRank() == 0 {
		v.record.update(n)
		return
	}
	v.reportWindow(n, o)
}

// reportWindow notifies the nodes that record windows of one.
func (v *streamVersions) reportWindow(n *Node, o ServiceVersion) {
	for _, id := range n.loggers() {
		if id != n.Self.ID {
			n.send(id, WindowReported{ServiceVersion: o, Window: v.windows.longest[o]})
		}
	}
}

// handleWindow handles a version's window that another node names.
func (s *forwards) handleWindow(n *Node, from NodeID, m WindowReported) {
	if m.Window <= 0 {
		return
	}
	v, o := &s.versions, m.ServiceVersion
	_, known := v.seen[o]
	if !known && m.Recorded {
		// This node has forgotten the version already.
		return
	}
	raised := v.windows.raise(o, min(m.Window, MaxResumeWindow))
	if !known {
		// The sender's list is later than this node's.
		s.notePassed(n, []ServiceVersion{o})
	}
	switch {
	case m.Recorded:
		v.record.noteRecorded(RecordVersion{ServiceVersion: o, Window: m.Window})
	case v.record.window(o) >= m.Window:
		n.send(from, WindowReported{ServiceVersion: o, Window: v.record.window(o), Recorded: true})
	case raised && n.readerRank() == 0:
		v.record.update(n)
	}
}

// reportWindows reports the windows that are not in the store to the nodes that record them, and those
// of versions that are no longer listed to all nodes: a node that has missed one must not forget its
// version too soon.
func (v *streamVersions) reportWindows(n *Node) {
	rank := n.readerRank()
	for _, o := range sortedVersions(v.windows.longest) {
		recorded := v.record.window(o)
		switch {
		case recorded < v.windows.longest[o] && rank >= feedReaders:
			v.reportWindow(n, o)
		case recorded > 0 && rank == 0 && !v.serving[o] && v.resumable(n, o):
			n.broadcast(WindowReported{ServiceVersion: o, Window: recorded, Recorded: true})
		}
	}
}
