package core

import (
	"slices"
	"time"
)

const (
	// streamCopies is how many other nodes keep the version that began a stream. While another
	// version may have begun it, the store does too.
	streamCopies = 2
	// streamFlushEvery is the least time between two notifications of keepers. Streams that begin
	// meanwhile are collected.
	streamFlushEvery = 50 * time.Millisecond
	// minStreamRetention is the least time for which the version of a stream is kept; it is kept
	// for the longest resume window. maxStreams is how many are.
	minStreamRetention = time.Minute
	maxStreams         = 1 << 16
)

// StreamKey is a hash of the attempt that brought the first event of a stream.
type StreamKey uint64

// StreamsBegun notifies a keeper of streams that an upstream of a version has begun. If Log is set,
// the keeper appends them to the store, too.
type StreamsBegun struct {
	Service ServiceID
	Version SoftwareVersion
	Streams []StreamKey
	Log     bool
	// Corrects says that the streams were recorded wrongly before. If Service is empty, it is not
	// known which version has begun them.
	Corrects bool
}

// VersionQuery asks a node which version has begun a stream. If Search is set, a node without a
// record of the stream searches the store before it answers.
type VersionQuery struct {
	Service ServiceID
	Stream  StreamKey
	Search  bool
}

// VersionAnswer answers a VersionQuery. Known is set if the sender knows the service and the
// version, because it keeps the stream or because its search has shown that no other version
// can have begun it.
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
	// doubt is the upstream that began the stream, if it did so for this node and its version was
	// not verified then.
	doubt *streamOrigin
	// corrected is set if the stream was recorded wrongly before. If Service is empty, the origin
	// is not known.
	corrected bool
}

// streamVersions knows which versions have begun streams.
type streamVersions struct {
	// watchedSince is since when this node has missed no change of the list of upstreams; zero
	// before the first list. serving are the versions in the list, and seen is when each was
	// last in it, or in a record that a read has passed over.
	watchedSince Instant
	serving      map[ServiceVersion]bool
	seen         map[ServiceVersion]Instant
	// record is the record of versions in the store.
	record versionRecord
	// log is the log of the origins of streams in the store.
	log streamLog
	// streams are those that this node keeps, and order their keys by age.
	streams map[StreamKey]keptStream
	order   []StreamKey
	// outbox are streams of which keepers have not been notified.
	outbox         map[NodeID]map[ServiceVersion][]StreamKey
	flushScheduled bool
	flushedAt      Instant
	// lookups are the requests that wait for the origin of a stream.
	lookups map[StreamKey][]ForwardID
	// windows are for how long streams of the versions may be resumed.
	windows resumeWindows
	// doubted are streams that have ended while their origin was not verified.
	doubted []doubtedStream
	// corrections are those that other nodes have not confirmed.
	corrections streamCorrections
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
	v.windows.start()
	v.log.start()
	v.corrections.start()
}

// observeList records the versions in a new list of upstreams, and reports whether there is one
// that was not known.
func (v *streamVersions) observeList(n *Node, list map[EngineID]*upstream) (added bool) {
	if v.watchedSince == 0 {
		v.watchedSince = n.now
	}
	for o := range v.serving {
		v.seen[o] = n.now
	}
	for o := range v.seen {
		if v.forgettable(n, o, n.now) {
			v.forget(o)
		}
	}
	clear(v.serving)
	for _, u := range list {
		v.serving[ServiceVersion{u.Service, u.Version}] = true
	}
	for o := range v.serving {
		added = v.note(n, o) || added
	}
	return added
}

// note records that a version serves or has served just now, and reports whether it was not
// known.
func (v *streamVersions) note(n *Node, o ServiceVersion) (added bool) {
	_, known := v.seen[o]
	v.seen[o] = n.now
	return !known
}

// notePassed records versions that a read of the store or a peer has named, whose upstreams may
// have come and left since the list before.
func (s *forwards) notePassed(n *Node, versions []ServiceVersion) {
	added := false
	for _, o := range versions {
		added = s.versions.note(n, o) || added
	}
	if added {
		s.versionsChanged(n)
	}
}

// notServing returns the versions that are not in the list of upstreams.
func (v *streamVersions) notServing(versions []ServiceVersion) []ServiceVersion {
	return slices.DeleteFunc(slices.Clone(versions), func(o ServiceVersion) bool { return v.serving[o] })
}

// gone reports whether no upstream has had a version for longer than its streams may be resumed. It
// goes by the proven time of the list, because this node may have been paused.
func (v *streamVersions) gone(n *Node, o ServiceVersion) bool {
	return v.forgettable(n, o, n.feed.provenAt())
}

// forgettable reports whether no upstream has had a version, as of an instant, for longer than its
// streams may be resumed. Changes of the list before watchedSince may have been missed.
func (v *streamVersions) forgettable(n *Node, o ServiceVersion, at Instant) bool {
	return !v.serving[o] && at.Sub(max(v.seen[o], v.watchedSince)) > max(minStreamRetention, v.resumableFor(n, o))
}

func (v *streamVersions) forget(o ServiceVersion) {
	delete(v.seen, o)
	v.windows.forget(o)
}

// restartWatch records that changes of the list may have been missed. As at a start, the versions
// before are known from the record in the store only.
func (v *streamVersions) restartWatch(n *Node) {
	v.watchedSince = n.now
	v.record.readAgain(n)
}

// sole returns the only version that can have begun a stream that callers may still resume, as
// of when the list of upstreams is proven. A node that has just started knows it only from the
// record in the store.
func (s *forwards) sole(n *Node, service ServiceID) (SoftwareVersion, bool) {
	v := &s.versions
	if !v.record.covers(v, service) && !v.watchedLongEnough(n, service) {
		return "", false
	}
	var sole SoftwareVersion
	count := 0
	for o := range v.seen {
		if o.Service == service && v.resumable(n, o) {
			sole = o.Version
			count++
		}
	}
	return sole, count == 1
}

// watchedLongEnough reports whether this node has read the record of versions, and has watched the
// list since then for as long as streams of the service may be resumed: a version that it has not
// seen, and that the record has not held, began none of them.
func (v *streamVersions) watchedLongEnough(n *Node, service ServiceID) bool {
	return v.record.atStart != nil && v.watchedSince != 0 &&
		n.now.Sub(v.watchedSince) >= v.longestResumeWindow(service)+n.Settings.DrainDelay
}

// keep keeps the origin of a stream; the first one that is reported counts. The oldest are
// dropped beyond maxStreams.
func (v *streamVersions) keep(n *Node, stream StreamKey, origin ServiceVersion) {
	if _, known := v.streams[stream]; known {
		return
	}
	v.order = append(v.order, stream)
	v.streams[stream] = keptStream{ServiceVersion: origin, at: n.now}
	retention := v.retention()
	for len(v.order) > maxStreams || n.now.Sub(v.streams[v.order[0]].at) > retention {
		delete(v.streams, v.order[0])
		v.order = v.order[1:]
	}
}

// recorded returns the origin of a stream, if this node keeps it and it is known.
func (v *streamVersions) recorded(n *Node, stream StreamKey) (ServiceVersion, bool) {
	kept, ok := v.streams[stream]
	return kept.ServiceVersion, ok && kept.Service != "" && n.now.Sub(kept.at) <= v.retention()
}

// streamBegan records the version that has begun a request's stream, and notifies the keepers.
// One that a caller resumes was recorded before. The connection of the run has been open for
// openFor.
func (s *forwards) streamBegan(n *Node, f *forwardedRequest, send SendNumber, openFor time.Duration) {
	if _, known := f.version.Get(); known || f.route.RetryPolicy != ResumeOnly {
		return
	}
	run := f.runRecord(send)
	f.version = Some(run.version)
	f.origin = &streamOrigin{engine: run.engine, born: run.born, send: send, openedAt: n.now.Add(-openFor)}
	s.checkOrigin(n, f)
	if version, known := f.version.Get(); known {
		s.observeDeadline(n, ServiceVersion{f.spec.ID, version}, max(f.Patience, f.ResumableFor))
	}
	s.reportStream(n, f)
}

// reportStream keeps the version of a stream, and notifies soon the other keepers that were not
// notified.
func (s *forwards) reportStream(n *Node, f *forwardedRequest) {
	version, known := f.version.Get()
	if !known || f.beganBy() == "" || f.origin != nil && f.origin.lost {
		return
	}
	v, stream := &s.versions, streamKey(f.beganBy())
	origin := ServiceVersion{Service: f.spec.ID, Version: version}
	v.keep(n, stream, origin)
	if kept, ok := v.streams[stream]; ok && f.origin != nil && kept.ServiceVersion == origin {
		kept.doubt = f.origin
		v.streams[stream] = kept
	}
	if _, sole := s.sole(n, f.spec.ID); !f.logged && (!sole || len(f.route.Split) > 1) {
		f.logged = true
		v.log.report(n, origin, stream)
	}
	if f.keepers == nil {
		f.keepers, f.reported = Set[NodeID]{}, Set[NodeID]{}
	}
	for _, id := range n.streamKeepers(stream, streamCopies) {
		if id == n.Self.ID || f.keepers.Has(id) {
			continue
		}
		f.keepers.Add(id)
		f.reported.Add(id)
		if v.outbox[id] == nil {
			v.outbox[id] = map[ServiceVersion][]StreamKey{}
		}
		v.outbox[id][origin] = append(v.outbox[id][origin], stream)
	}
	if !v.flushScheduled {
		v.flushScheduled = true
		n.afterFunc(n.untilNext(v.flushedAt, streamFlushEvery), func(n *Node) { v.flush(n) })
	}
}

// flush notifies the keepers.
func (v *streamVersions) flush(n *Node) {
	v.flushScheduled, v.flushedAt = false, n.now
	for _, id := range sortedKeys(v.outbox) {
		for _, o := range sortedVersions(v.outbox[id]) {
			n.send(id, StreamsBegun{Service: o.Service, Version: o.Version, Streams: v.outbox[id][o]})
		}
	}
	clear(v.outbox)
}

// versionsChanged has the origins of the streams that have begun, and the versions, recorded in
// the store, once another version may be taken for theirs.
func (s *forwards) versionsChanged(n *Node) {
	s.reportStreams(n)
	if s.versions.record.atStart != nil {
		s.versions.record.update(n)
	}
}

// reportStreams reports the streams that have begun to their present keepers.
func (s *forwards) reportStreams(n *Node) {
	for _, id := range sortedKeys(s.live) {
		s.reportStream(n, s.live[id])
	}
}

// keepersChanged reports the streams that have begun to other nodes in place of keepers that may
// be gone.
func (s *forwards) keepersChanged(n *Node) {
	for _, f := range s.live {
		for id := range f.keepers {
			if m, ok := n.members.byID[id]; !ok || !m.mayKeep() {
				f.keepers.Remove(id)
			}
		}
	}
	s.reportStreams(n)
}

// keeperDied records that a node has lost what it kept. It may have started again.
func (s *forwards) keeperDied(id NodeID) {
	for _, f := range s.live {
		f.keepers.Remove(id)
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
	if m.Log {
		s.versions.log.add(n, ServiceVersion{m.Service, m.Version}, m.Streams)
	}
}

func (s *forwards) handleVersionQuery(n *Node, from NodeID, m VersionQuery) {
	answer := func(n *Node, origin ServiceVersion, known bool) {
		a := VersionAnswer{Stream: m.Stream}
		if known {
			a.Known, a.Service, a.Version = true, origin.Service, origin.Version
		}
		n.send(from, a)
	}
	_, known := s.versions.recorded(n, m.Stream)
	if known || !m.Search {
		s.whenSettled(n, s.versions.streams[m.Stream].doubt, versionSearchTimeout, func(n *Node, settled bool) {
			origin, known := s.versions.recorded(n, m.Stream)
			answer(n, origin, known && settled)
		})
		return
	}
	s.searchStore(n, m.Service, m.Stream, n.now, versionSearchTimeout, func(n *Node, found originSearch) {
		answer(n, found.origin, found.source != OriginUnknown)
	})
}
