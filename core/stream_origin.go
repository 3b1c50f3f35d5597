package core

import (
	"slices"
	"time"
)

const (
	// maxDoubted bounds how many streams a node remembers that have ended while their origin was
	// not verified.
	maxDoubted = 4096
	// correctedCopies is how many nodes are notified of a wrong origin, beside those that were
	// notified of the stream: others may have been notified by a node that resumed it.
	correctedCopies = 5
)

// streamOrigin is the upstream that has begun a stream, as long as it is not verified that it was
// the listed incarnation: the list may not have shown yet that it had started again.
type streamOrigin struct {
	engine EngineID
	born   int64
	// send is the run that began the stream, and openedAt when its connection was opened.
	send     SendNumber
	openedAt Instant
	// lost is set once it cannot be known any more which incarnation began the stream.
	lost bool
}

// doubtedStream is a stream that has ended while its origin was not verified.
type doubtedStream struct {
	streamOrigin
	stream StreamKey
	ServiceVersion
	endedAt Instant
	// reported are the nodes that were notified of the origin, and logged is set if it was sent to
	// be appended to the store.
	reported Set[NodeID]
	logged   bool
}

// registered returns the instant at which the store must have had the entry of the process that
// began the stream.
func (o *streamOrigin) registered() Instant { return o.openedAt.Add(registrationMargin) }

// listedBefore reports whether a list without a later incarnation was late enough to show the
// process that began a stream.
func (s *forwards) listedBefore(n *Node, o *streamOrigin, later *upstream) bool {
	return later.provenBefore >= o.registered() || s.knownToAll(n, later.updatedBefore, o.registered())
}

// checkOrigin verifies which incarnation has begun a request's stream, if the list shows another
// one than when the request was sent: the process is the later one if the run still has its
// connection; otherwise it may have been either.
func (s *forwards) checkOrigin(n *Node, f *forwardedRequest) {
	o := f.origin
	if o == nil || o.lost {
		return
	}
	version, _ := f.version.Get()
	u, listed := s.upstreams.byID[o.engine]
	switch {
	case !listed || u.Born == o.born:
	case s.listedBefore(n, o, u) || u.Version == version:
		f.origin = nil
	case f.current == o.send:
		o.born = u.Born
		f.version = Some(u.Version)
		s.logOrigin(n, f, "begun by the later incarnation, version "+string(u.Version))
		if f.keepers != nil {
			s.correctStream(n, streamKey(f.beganBy()), ServiceVersion{f.spec.ID, u.Version}, true, f.reported, f.logged)
		}
	default:
		o.lost = true
		s.logOrigin(n, f, "not known: the upstream has started again")
		if f.keepers != nil {
			s.correctStream(n, streamKey(f.beganBy()), ServiceVersion{f.spec.ID, u.Version}, false, f.reported, f.logged)
		}
	}
}

// checkOrigins verifies with a new list which incarnations have begun streams.
func (s *forwards) checkOrigins(n *Node) {
	for _, id := range sortedKeys(s.live) {
		s.checkOrigin(n, s.live[id])
	}
	s.versions.doubted = slices.DeleteFunc(s.versions.doubted, func(d doubtedStream) bool {
		u, listed := s.upstreams.byID[d.engine]
		switch {
		case n.now.Sub(d.endedAt) > n.Settings.DrainDelay:
			return true
		case !listed || u.Born == d.born:
			return false
		case !s.listedBefore(n, &d.streamOrigin, u) && u.Version != d.Version:
			s.correctStream(n, d.stream, ServiceVersion{d.Service, u.Version}, false, d.reported, d.logged)
		}
		return true
	})
}

// whenSettled calls then once it is verified which incarnation began a stream that was recorded in
// doubt, or with settled unset after timeout. The record is corrected by then if it was wrong.
func (s *forwards) whenSettled(n *Node, o *streamOrigin, timeout time.Duration, then func(n *Node, settled bool)) {
	if o == nil || s.knownToAll(n, n.feed.updatedAt, o.registered()) {
		then(n, true)
		return
	}
	prove := func(n *Node) {
		n.feed.proveAfter(n, o.registered(), timeout, func(n *Node, proven bool) {
			then(n, proven || s.knownToAll(n, n.feed.updatedAt, o.registered()))
		})
	}
	if wait := o.registered().Sub(n.now); wait > 0 {
		n.afterFunc(wait, prove)
		return
	}
	prove(n)
}

// whenOriginKnown calls then once it is verified which incarnation began a stream that is to be
// continued elsewhere, and ends the request if that cannot be known.
func (s *forwards) whenOriginKnown(n *Node, f *forwardedRequest, then func(n *Node)) {
	o := f.origin
	if o == nil {
		then(n)
		return
	}
	f.phase = forwardVerifying
	f.step++
	step := f.step
	s.whenSettled(n, o, listProofTimeout, func(n *Node, settled bool) {
		switch {
		case s.live[f.ID] != f || f.step != step:
			return
		case f.origin == nil:
		case o.lost, !settled:
			s.end(n, f, StreamVersionUnknown, 0)
			return
		default:
			f.origin = nil
		}
		then(n)
	})
}

// doubt remembers a stream that ends before its origin is verified.
func (s *forwards) doubt(n *Node, f *forwardedRequest) {
	version, known := f.version.Get()
	if f.origin == nil || f.origin.lost || !known || f.keepers == nil {
		return
	}
	d := doubtedStream{*f.origin, streamKey(f.beganBy()), ServiceVersion{f.spec.ID, version}, n.now, f.reported, f.logged}
	if s.versions.doubted = append(s.versions.doubted, d); len(s.versions.doubted) > maxDoubted {
		s.versions.doubted = slices.Delete(s.versions.doubted, 0, maxDoubted/2)
	}
}

// correctStream replaces the recorded origin of a stream here and at the nodes that may keep it by
// the later incarnation's, or records there that it is not known whether that is the origin. In the
// store, a second origin has the same effect for both.
func (s *forwards) correctStream(n *Node, stream StreamKey, later ServiceVersion, known bool, reported Set[NodeID], logged bool) {
	if logged {
		s.versions.log.report(n, later, stream)
	}
	if !known {
		later = ServiceVersion{}
	}
	s.versions.correct(n, stream, later)
	nodes := SetOf(n.streamKeepers(stream, correctedCopies)...)
	for id := range reported {
		nodes.Add(id)
	}
	s.versions.corrections.add(n, stream, later, nodes)
}

// correct replaces the origin of a stream, whether or not it is kept already.
func (v *streamVersions) correct(n *Node, stream StreamKey, origin ServiceVersion) {
	v.keep(n, stream, origin)
	if kept, ok := v.streams[stream]; ok {
		v.streams[stream] = keptStream{ServiceVersion: origin, at: kept.at, corrected: true}
	}
}

// keepLogged keeps the origin of a stream that was read from the store. Of a stream that has two
// there, the origin is not known, unless this node was notified of a correction.
func (v *streamVersions) keepLogged(n *Node, stream StreamKey, origin ServiceVersion) {
	if kept, ok := v.streams[stream]; ok && !kept.corrected && kept.ServiceVersion != origin {
		v.correct(n, stream, ServiceVersion{})
		return
	}
	v.keep(n, stream, origin)
}

func (s *forwards) logOrigin(n *Node, f *forwardedRequest, detail string) {
	d := s.newDecision(n, f, "stream-origin", NoReason)
	d.Detail = string(f.origin.engine) + ": " + detail
	n.do(LogDecision{Decision: d})
}
