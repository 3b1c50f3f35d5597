package core

import (
	"slices"
	"time"
)

const (
	// streamCopies is how many nodes keep the version that began a stream, and streamQueries how
	// many are queried for it.
	streamCopies  = 3
	streamQueries = 5
	// streamFlushDelay is for how long streams that have begun are collected before their
	// keepers are notified.
	streamFlushDelay = 50 * time.Millisecond
	// streamRetention is how long the version of a stream is kept, and maxStreams how many.
	streamRetention = time.Minute
	maxStreams      = 1 << 16
	// versionLookupTimeout is how long a node waits for the keepers of a stream.
	versionLookupTimeout = 150 * time.Millisecond
)

// StreamKey is a hash of the attempt that brought the first event of a stream.
type StreamKey uint64

// StreamsBegun notifies a keeper of streams that an upstream of a version has begun.
type StreamsBegun struct {
	Service ServiceID
	Version SoftwareVersion
	Streams []StreamKey
	// Corrects says that the streams were recorded wrongly before. If Service is empty, it is not
	// known which version has begun them.
	Corrects bool
}

// VersionQuery asks a keeper which version has begun a stream.
type VersionQuery struct {
	Service ServiceID
	Stream  StreamKey
}

// VersionAnswer answers a VersionQuery. Known is set if the sender knows the service and the
// version, because it keeps the stream or because no other version has served lately.
type VersionAnswer struct {
	Stream  StreamKey
	Known   bool
	Service ServiceID
	Version SoftwareVersion
}

func (StreamsBegun) isPeerBody()  {}
func (VersionQuery) isPeerBody()  {}
func (VersionAnswer) isPeerBody() {}

// keptStream is the origin of a stream and when it was recorded.
type keptStream struct {
	ServiceVersion
	at Instant
}

// streamVersions knows which versions have begun streams. Only while several versions serve, or
// have lately, it keeps streams one by one.
type streamVersions struct {
	// loadedAt is when this node had its first list of upstreams. serving are the versions in the
	// list, and seen is when each was last in it.
	loadedAt Instant
	serving  map[ServiceVersion]bool
	seen     map[ServiceVersion]Instant
	// record is the record of versions in the store.
	record versionRecord
	// streams are those that this node keeps, and order their keys by age.
	streams map[StreamKey]keptStream
	order   []StreamKey
	// outbox are streams of which keepers have not been notified.
	outbox         map[NodeID]map[ServiceVersion][]StreamKey
	flushScheduled bool
	// lookups are the requests that wait for the origin of a stream.
	lookups map[StreamKey][]ForwardID
	// longest is how long streams of a service may be resumed; it is computed when it is needed.
	longest map[ServiceID]time.Duration
	// doubted are streams that have ended while their origin was not verified.
	doubted []doubtedStream
}

// versionLookup is a request's search for the version that began its stream.
type versionLookup struct {
	// asked are the keepers that have not answered.
	asked Set[NodeID]
}

func streamKey(attempt string) StreamKey { return StreamKey(hash64(attempt)) }

// beganBy returns the attempt that began the request's stream: an earlier one of its caller, or
// the request's own.
func (f *forwardedRequest) beganBy() string {
	if attempt, resumes := f.Resumes.Get(); resumes {
		return attempt
	}
	return f.Attempt
}

func (v *streamVersions) start() {
	v.serving = map[ServiceVersion]bool{}
	v.seen = map[ServiceVersion]Instant{}
	v.streams = map[StreamKey]keptStream{}
	v.outbox = map[NodeID]map[ServiceVersion][]StreamKey{}
	v.lookups = map[StreamKey][]ForwardID{}
	v.longest = map[ServiceID]time.Duration{}
}

// observeList records the versions in a new list of upstreams, and reports whether there is one
// that was not known.
func (v *streamVersions) observeList(n *Node, list map[EngineID]*upstream) (added bool) {
	if v.loadedAt == 0 {
		v.loadedAt = n.now
	}
	for o := range v.serving {
		v.seen[o] = n.now
	}
	clear(v.serving)
	for _, u := range list {
		v.serving[ServiceVersion{u.Service, u.Version}] = true
	}
	for o := range v.serving {
		_, known := v.seen[o]
		added = added || !known
		v.seen[o] = n.now
	}
	for o, at := range v.seen {
		if n.now.Sub(at) > streamRetention {
			delete(v.seen, o)
		}
	}
	return added
}

// sole returns the only version that can have begun a stream that callers may still resume. A
// node that has just started knows it only from the record in the store.
func (s *forwards) sole(n *Node, service ServiceID) (SoftwareVersion, bool) {
	v := &s.versions
	span := s.longestStream(service)
	watched := v.loadedAt != 0 && n.now.Sub(v.loadedAt) >= span
	if !watched && !v.record.covers(v, service) {
		return "", false
	}
	var sole SoftwareVersion
	count := 0
	for o, at := range v.seen {
		if o.Service == service && (v.serving[o] || n.now.Sub(at) < span) {
			sole = o.Version
			count++
		}
	}
	return sole, count == 1
}

// longestStream returns how long after its first event a stream of a service may be resumed.
func (s *forwards) longestStream(service ServiceID) time.Duration {
	if longest, ok := s.versions.longest[service]; ok {
		return longest
	}
	longest := time.Duration(0)
	for _, r := range s.state.Routes {
		if r.RetryPolicy == ResumeOnly && slices.ContainsFunc(r.Split, func(p Share) bool { return p.Service == service }) {
			longest = max(longest, r.Timeout)
		}
	}
	s.versions.longest[service] = longest + lateAnswerTime
	return longest + lateAnswerTime
}

// keep keeps the origin of a stream; the first one that is reported counts. The oldest are
// dropped beyond maxStreams.
func (v *streamVersions) keep(n *Node, stream StreamKey, origin ServiceVersion) {
	if _, known := v.streams[stream]; known {
		return
	}
	v.order = append(v.order, stream)
	v.streams[stream] = keptStream{ServiceVersion: origin, at: n.now}
	for len(v.order) > maxStreams || n.now.Sub(v.streams[v.order[0]].at) > streamRetention {
		delete(v.streams, v.order[0])
		v.order = v.order[1:]
	}
}

// lookUp returns the origin of a stream of a service, as far as this node knows.
func (s *forwards) lookUp(n *Node, service ServiceID, stream StreamKey) (ServiceVersion, bool) {
	if kept, ok := s.versions.streams[stream]; ok && n.now.Sub(kept.at) <= streamRetention {
		return kept.ServiceVersion, kept.Service != ""
	}
	version, sole := s.sole(n, service)
	return ServiceVersion{service, version}, sole
}

// streamBegan records the version that has begun a request's stream, and notifies the keepers if
// another version could be taken for it. One that a caller resumes was recorded before.
// The connection of the run has been open for openFor.
func (s *forwards) streamBegan(n *Node, f *forwardedRequest, send SendNumber, openFor time.Duration) {
	if _, known := f.version.Get(); known || f.route.RetryPolicy != ResumeOnly {
		return
	}
	run := f.runRecord(send)
	f.version = Some(run.version)
	f.origin = &streamOrigin{engine: run.engine, born: run.born, send: send, openedAt: n.now.Add(-openFor)}
	s.checkOrigin(n, f)
	if _, sole := s.sole(n, f.spec.ID); !sole {
		s.reportStream(n, f)
	}
}

// reportStream keeps the version of a stream, and notifies its other keepers soon.
func (s *forwards) reportStream(n *Node, f *forwardedRequest) {
	version, known := f.version.Get()
	if !known || f.reported || f.beganBy() == "" || f.origin != nil && f.origin.lost {
		return
	}
	f.reported = true
	v, stream := &s.versions, streamKey(f.beganBy())
	origin := ServiceVersion{Service: f.spec.ID, Version: version}
	v.keep(n, stream, origin)
	for _, id := range n.streamKeepers(stream, streamCopies) {
		if id == n.Self.ID {
			continue
		}
		if v.outbox[id] == nil {
			v.outbox[id] = map[ServiceVersion][]StreamKey{}
		}
		v.outbox[id][origin] = append(v.outbox[id][origin], stream)
	}
	if !v.flushScheduled {
		v.flushScheduled = true
		n.afterFunc(streamFlushDelay, func(n *Node) { v.flush(n) })
	}
}

// flush notifies the keepers.
func (v *streamVersions) flush(n *Node) {
	v.flushScheduled = false
	for _, id := range sortedKeys(v.outbox) {
		for _, o := range sortedVersions(v.outbox[id]) {
			n.send(id, StreamsBegun{Service: o.Service, Version: o.Version, Streams: v.outbox[id][o]})
		}
	}
	clear(v.outbox)
}

// versionsChanged reports the streams that have begun, once a second version may be taken for
// theirs.
func (s *forwards) versionsChanged(n *Node) {
	for _, id := range sortedKeys(s.live) {
		f := s.live[id]
		if _, sole := s.sole(n, f.spec.ID); !sole {
			s.reportStream(n, f)
		}
	}
}

func (s *forwards) handleStreamsBegun(n *Node, m StreamsBegun) {
	for _, stream := range m.Streams {
		if m.Corrects {
			s.versions.correct(n, stream, ServiceVersion{m.Service, m.Version})
			continue
		}
		s.versions.keep(n, stream, ServiceVersion{m.Service, m.Version})
	}
}

func (s *forwards) handleVersionQuery(n *Node, from NodeID, m VersionQuery) {
	origin, known := s.lookUp(n, m.Service, m.Stream)
	answer := VersionAnswer{Stream: m.Stream}
	if known {
		answer.Known, answer.Service, answer.Version = true, origin.Service, origin.Version
	}
	n.send(from, answer)
}
