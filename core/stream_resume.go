package core

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// streamQueries is how many nodes are asked first for the version that began a stream. More
	// are asked in each further round, because keepers may have died and views of the members
	// differ.
	streamQueries = 5
	// versionQueryTimeout is the length of the first round; each further one is twice as long.
	versionQueryTimeout = 150 * time.Millisecond
	// versionSearchTimeout bounds a search of the store on behalf of another node.
	versionSearchTimeout = time.Second
	// lookupShare is the share of a request's time for which the version is searched for, up to
	// maxLookup: the caller needs the rest to go to another node.
	lookupShare = 0.2
	maxLookup   = 600 * time.Millisecond
	// versionRetryAfter is the retry delay of a caller whose stream may be known to nodes that
	// have not answered.
	versionRetryAfter = 150 * time.Millisecond
)

// versionLookup is a request's search for the version that began its stream.
type versionLookup struct {
	stream    StreamKey
	startedAt Instant
	until     Instant
	// round counts the rounds of queries, and exhausted is set once there is no further node to
	// ask. waiting are the nodes that have not answered, of those in asked.
	round     int
	exhausted bool
	asked     Set[NodeID]
	waiting   Set[NodeID]
	// searching is set while this node searches the store, searchFailed once a search has
	// failed, and complete once one has shown that the store does not know the origin.
	searching, searchFailed, complete bool
}

// resume looks up which version has begun the stream that a caller resumes, and then requests a
// placement at that version.
func (s *forwards) resume(n *Node, f *forwardedRequest, attempt string) {
	stream := streamKey(attempt)
	f.lookup = &versionLookup{stream: stream, startedAt: n.now, until: n.now.Add(f.lookupTime(n)), asked: Set[NodeID]{}, waiting: Set[NodeID]{}}
	if _, known := s.versions.recorded(n, stream); known {
		s.resumeKept(n, f)
		return
	}
	f.phase = forwardAwaitingVersion
	f.step++
	s.versions.lookups[stream] = append(s.versions.lookups[stream], f.ID)
	s.queryKeepers(n, f)
}

// resumeKept resumes a stream that this node keeps, once its origin is verified if this node has
// recorded it in doubt.
func (s *forwards) resumeKept(n *Node, f *forwardedRequest) {
	l := f.lookup
	f.phase = forwardAwaitingVersion
	f.step++
	step := f.step
	s.whenSettled(n, s.versions.streams[l.stream].doubt, l.until.Sub(n.now), func(n *Node, settled bool) {
		if s.live[f.ID] != f || f.step != step {
			return
		}
		origin, known := s.versions.recorded(n, l.stream)
		switch {
		case known && settled:
			s.resumeAt(n, f, origin, OriginKept)
		case settled:
			// The record was withdrawn.
			s.rejectUnknown(n, f, 0)
		default:
			s.rejectUnknown(n, f, n.jitter(versionRetryAfter))
		}
	})
}

// lookupTime returns for how long the version of the request's stream is searched for: one round
// of queries by a node that is cut off, as its caller is better off elsewhere.
func (f *forwardedRequest) lookupTime(n *Node) time.Duration {
	longest := maxLookup
	if n.feed.cutOff(n) {
		longest = versionQueryTimeout
	}
	return min(fractionOf(f.timeLeft(n.now), lookupShare), longest)
}

// queryKeepers starts a round of queries: to nodes that have not been asked, and to those that have
// not answered. Once this node's own search has failed or takes long, all are asked to search.
func (s *forwards) queryKeepers(n *Node, f *forwardedRequest) {
	l := f.lookup
	candidates := n.streamCandidates(l.stream)
	count := min(streamQueries<<l.round, len(candidates))
	l.exhausted = count == len(candidates)
	service := f.spec.ID
	if len(f.route.Split) > 1 {
		service = ""
	}
	search := l.searchFailed || l.searching && l.round > 1
	for _, id := range candidates[:count] {
		if l.asked.Has(id) && !l.waiting.Has(id) && !search {
			continue
		}
		l.asked.Add(id)
		l.waiting.Add(id)
		n.send(id, VersionQuery{Service: service, Stream: l.stream, Search: search})
	}
	length := min(versionQueryTimeout<<l.round, l.until.Sub(n.now))
	l.round++
	round := l.round
	n.afterFunc(max(length, 0), func(n *Node) {
		if s.live[f.ID] == f && f.lookup == l && l.round == round && f.phase == forwardAwaitingVersion {
			s.continueLookup(n, f)
		}
	})
	if len(l.waiting) == 0 {
		s.startSearch(n, f)
	}
}

// continueLookup takes the next step of a lookup, after a round has timed out or all nodes that
// were asked have answered.
func (s *forwards) continueLookup(n *Node, f *forwardedRequest) {
	l := f.lookup
	answered := len(l.waiting) == 0
	switch {
	case answered && l.complete && (l.round > 1 || l.exhausted):
		// No later attempt to resume can succeed: the caller may begin anew at once.
		s.rejectUnknown(n, f, 0)
	case n.now >= l.until:
		s.rejectUnknown(n, f, n.jitter(versionRetryAfter))
	default:
		s.startSearch(n, f)
		if f.lookup == l && f.phase == forwardAwaitingVersion {
			s.queryKeepers(n, f)
		}
	}
}

// startSearch searches the store, unless this node does so or has done so.
func (s *forwards) startSearch(n *Node, f *forwardedRequest) {
	l := f.lookup
	if l.searching || l.complete {
		return
	}
	service := f.spec.ID
	if len(f.route.Split) > 1 {
		service = ""
	}
	l.searching = true
	s.searchStore(n, service, l.stream, l.startedAt, l.until.Sub(n.now), func(n *Node, r originSearch) {
		if s.live[f.ID] != f || f.lookup != l || f.phase != forwardAwaitingVersion {
			return
		}
		l.searching, l.complete, l.searchFailed = false, r.complete, !r.complete
		if r.source != OriginUnknown {
			s.resumeAt(n, f, r.origin, r.source)
			return
		}
		if l.complete && len(l.waiting) == 0 {
			s.continueLookup(n, f)
		}
	})
}

// handleVersionAnswer handles the answer of a node for all requests that wait for it, and for a
// correction of the stream's origin.
func (s *forwards) handleVersionAnswer(n *Node, from NodeID, m VersionAnswer) {
	s.versions.corrections.handleAnswer(from, m)
	for _, id := range slices.Clone(s.versions.lookups[m.Stream]) {
		f := s.live[id]
		if f == nil || f.lookup == nil || !f.lookup.asked.Has(from) {
			continue
		}
		if m.Known {
			s.resumeAt(n, f, ServiceVersion{m.Service, m.Version}, OriginFromPeer)
			continue
		}
		l := f.lookup
		l.waiting.Remove(from)
		if len(l.waiting) == 0 && (l.round == 1 || l.complete) {
			s.continueLookup(n, f)
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

// endLookup ends a request's search for the version of its stream, if it has one.
func (s *forwards) endLookup(f *forwardedRequest) {
	if f.lookup != nil {
		s.versions.dropLookup(f.lookup.stream, f.ID)
		f.lookup = nil
	}
}

// logLookup logs how a search for the version of a stream has ended.
func (s *forwards) logLookup(n *Node, f *forwardedRequest, source OriginSource, version SoftwareVersion) {
	l := f.lookup
	d := s.newDecision(n, f, source.step(), NoReason)
	d.Waited = n.now.Sub(l.startedAt)
	d.Detail = fmt.Sprintf("version %q, asked %d, answered %d in %d rounds", version, len(l.asked), len(l.asked)-len(l.waiting), l.round)
	if provenAt := n.feed.provenAt(); provenAt != 0 {
		d.Detail += fmt.Sprintf(", list read %d ms ago", n.now.Sub(provenAt).Milliseconds())
	}
	d.Detail += s.versions.describe(n, f.spec.ID)
	n.do(LogDecision{Decision: d})
}

// describe describes what a node knows of the versions of a service when it decides which one has begun
// a stream.
func (v *streamVersions) describe(n *Node, service ServiceID) string {
	var text strings.Builder
	fmt.Fprintf(&text, ", watched for %d ms, record read %t", n.now.Sub(v.watchedSince).Milliseconds(), v.record.atStart != nil)
	for _, o := range sortedVersions(v.seen) {
		switch {
		case o.Service != service:
		case v.serving[o]:
			fmt.Fprintf(&text, ", %s listed", o.Version)
		default:
			fmt.Fprintf(&text, ", %s not listed for %d of %d ms", o.Version, n.now.Sub(v.seen[o]).Milliseconds(), v.resumableFor(n, o).Milliseconds())
		}
	}
	return text.String()
}

// resumeAt requests a placement at the service and the version that have begun the stream. The
// route may no longer lead to that service, or divide its requests between several.
func (s *forwards) resumeAt(n *Node, f *forwardedRequest, origin ServiceVersion, source OriginSource) {
	s.logLookup(n, f, source, origin.Version)
	s.endLookup(f)
	f.version = Some(origin.Version)
	if origin.Service != f.spec.ID {
		if !slices.ContainsFunc(f.route.Split, func(p Share) bool { return p.Service == origin.Service }) {
			s.reject(n, f, StreamVersionGone, 0)
			return
		}
		f.spec = s.specOf(origin.Service)
	}
	// Some of the nodes that keep the version may have died.
	s.reportStream(n, f)
	if s.versionGone(f) {
		s.confirmGone(n, f)
		return
	}
	s.requestPlacement(n, f)
}

// confirmGone reads the list of upstreams before it rejects a request of whose version it shows none:
// the list may be later than that of the node that began the stream.
func (s *forwards) confirmGone(n *Node, f *forwardedRequest) {
	f.phase = forwardAwaitingVersion
	f.step++
	step := f.step
	n.feed.proveAfter(n, f.arrived, f.lookupTime(n), func(n *Node, proven bool) {
		switch {
		case s.live[f.ID] != f || f.step != step:
		case !s.versionGone(f):
			s.requestPlacement(n, f)
		case proven:
			// No later attempt to resume can succeed: the caller may begin anew at once.
			s.reject(n, f, StreamVersionGone, 0)
		default:
			s.reject(n, f, StreamVersionGone, n.jitter(versionRetryAfter))
		}
	})
}

// rejectUnknown rejects a request to resume a stream whose version was not found.
func (s *forwards) rejectUnknown(n *Node, f *forwardedRequest, after time.Duration) {
	s.logLookup(n, f, OriginUnknown, "")
	s.reject(n, f, StreamVersionUnknown, after)
}

// endWithoutVersion ends a request of whose version no upstream is left.
func (s *forwards) endWithoutVersion(n *Node, f *forwardedRequest) {
	if f.unprovenRuns() == 0 && !f.emitted {
		// No later attempt to resume can succeed: the caller may begin anew at once.
		s.reject(n, f, StreamVersionGone, 0)
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
