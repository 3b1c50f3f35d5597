package core

import "slices"

// resume looks up which version has begun the stream that a caller resumes, and then requests a
// placement at that version.
func (s *forwards) resume(n *Node, f *forwardedRequest, attempt string) {
	stream := streamKey(attempt)
	if origin, known := s.lookUp(n, f.spec.ID, stream); known {
		s.resumeAt(n, f, origin)
		return
	}
	f.phase = forwardAwaitingVersion
	f.step++
	f.lookup = &versionLookup{asked: Set[NodeID]{}}
	s.versions.lookups[stream] = append(s.versions.lookups[stream], f.ID)
	for _, id := range n.streamKeepers(stream, streamQueries) {
		if id != n.Self.ID {
			f.lookup.asked.Add(id)
			n.send(id, VersionQuery{Service: f.spec.ID, Stream: stream})
		}
	}
	if len(f.lookup.asked) == 0 {
		s.versions.dropLookup(stream, f.ID)
		s.rejectResumption(n, f, StreamVersionUnknown)
		return
	}
	step := f.step
	n.afterFunc(versionLookupTimeout, func(n *Node) {
		s.versions.dropLookup(stream, f.ID)
		if s.live[f.ID] == f && f.step == step {
			s.rejectResumption(n, f, StreamVersionUnknown)
		}
	})
}

// handleVersionAnswer handles the answer of a keeper for all requests that wait for it.
func (s *forwards) handleVersionAnswer(n *Node, from NodeID, m VersionAnswer) {
	for _, id := range slices.Clone(s.versions.lookups[m.Stream]) {
		f := s.live[id]
		if f == nil || f.phase != forwardAwaitingVersion || !f.lookup.asked.Has(from) {
			continue
		}
		if m.Known {
			s.resumeAt(n, f, ServiceVersion{m.Service, m.Version})
			continue
		}
		f.lookup.asked.Remove(from)
		if len(f.lookup.asked) == 0 {
			s.rejectResumption(n, f, StreamVersionUnknown)
		}
	}
}

// dropLookup removes a request from those that wait for the origin of a stream.
func (v *streamVersions) dropLookup(stream StreamKey, id ForwardID) {
	rest := slices.DeleteFunc(v.lookups[stream], func(other ForwardID) bool { return other == id })
	if v.lookups[stream] = rest; len(rest) == 0 {
		delete(v.lookups, stream)
	}
}

// resumeAt requests a placement at the service and the version that have begun the stream. The
// route may no longer lead to that service, or divide its requests between several.
func (s *forwards) resumeAt(n *Node, f *forwardedRequest, origin ServiceVersion) {
	f.lookup = nil
	f.version = Some(origin.Version)
	if origin.Service != f.spec.ID {
		if !slices.ContainsFunc(f.route.Split, func(p Share) bool { return p.Service == origin.Service }) {
			s.rejectResumption(n, f, StreamVersionGone)
			return
		}
		f.spec = s.specOf(origin.Service)
	}
	if _, sole := s.sole(n, origin.Service); !sole {
		// Some of the nodes that keep the version may have died.
		s.reportStream(n, f)
	}
	s.requestPlacement(n, f)
}

// rejectResumption rejects a request to resume a stream. No later attempt to resume it can
// succeed, so that no time to return is named: its caller may begin anew at once.
func (s *forwards) rejectResumption(n *Node, f *forwardedRequest, reason RejectionReason) {
	s.reject(n, f, reason, 0)
}

// endWithoutVersion ends a request of whose version no upstream is left.
func (s *forwards) endWithoutVersion(n *Node, f *forwardedRequest) {
	if f.unprovenRuns() == 0 && !f.emitted {
		s.rejectResumption(n, f, StreamVersionGone)
		return
	}
	s.end(n, f, StreamVersionGone, 0)
}

// endStreamsOfGoneVersions ends the requests that wait for an upstream of a version that has
// left.
func (s *forwards) endStreamsOfGoneVersions(n *Node) {
	for _, id := range sortedKeys(s.live) {
		f, ok := s.live[id]
		if ok && (f.phase == forwardWaiting || f.phase == forwardAwaitingOwner) && s.versionGone(f) {
			s.endWithoutVersion(n, f)
		}
	}
}

// fits reports whether an upstream may run a request: a stream that has begun is continued by
// the version that began it. Of an upstream that a later incarnation has replaced, the version
// is not known.
func (f *forwardedRequest) fits(u *upstream) bool {
	if f.origin != nil && f.origin.lost {
		return false
	}
	if u.superseded && f.route.RetryPolicy == ResumeOnly {
		return false
	}
	version, known := f.version.Get()
	return !known || u.Version == version
}

// groupWithVersion returns a group, or the next one with an upstream that fits if it has none.
func (s *forwards) groupWithVersion(n *Node, f *forwardedRequest, g DispatchGroup) DispatchGroup {
	groups := s.groupsOf(g.Service)
	for i := range groups {
		next := DispatchGroup{Service: g.Service, Index: (g.Index + i) % groups}
		if slices.ContainsFunc(s.upstreams.byGroup[next], func(u *upstream) bool { return u.open(n.now) && f.fits(u) }) {
			return next
		}
	}
	return g
}

// versionGone reports whether no upstream is left that may continue a request's stream and was
// not tried.
func (s *forwards) versionGone(f *forwardedRequest) bool {
	if _, known := f.version.Get(); !known {
		return false
	}
	for _, u := range s.upstreams.byService[f.spec.ID] {
		if u.usable() && u.Role != Prefill && f.fits(u) && !f.tried.Has(u.ID) {
			return false
		}
	}
	return true
}
