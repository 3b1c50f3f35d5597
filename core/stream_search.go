package core

import "time"

// OriginSource is how a node learned which version began a stream.
type OriginSource int

// The sources of the origin of a stream.
const (
	// OriginUnknown means that the origin was not found.
	OriginUnknown OriginSource = iota
	// OriginKept means that the node itself keeps the stream.
	OriginKept
	// OriginFromPeer means that another node has named the origin.
	OriginFromPeer
	// OriginFromStore means that the log of the origins of streams in the store names it.
	OriginFromStore
	// OriginSole means that no other version can have begun the stream, by a list of upstreams
	// that is not older than the request.
	OriginSole
)

// step names the decision on a resumed stream whose origin a node learned in this way.
func (s OriginSource) step() string {
	return [...]string{
		OriginUnknown: "resume-unknown", OriginKept: "resume-kept", OriginFromPeer: "resume-peer", OriginFromStore: "resume-log", OriginSole: "resume-sole",
	}[s]
}

// originSearch is the result of a search. It is complete if the store holds nothing more that
// could name the origin.
type originSearch struct {
	origin   ServiceVersion
	source   OriginSource
	complete bool
}

// searchStore searches the store for the origin of a stream that had begun before the instant at.
// An empty service stands for several, none of whose versions is the only one.
func (s *forwards) searchStore(n *Node, service ServiceID, stream StreamKey, at Instant, timeout time.Duration, then func(*Node, originSearch)) {
	until := n.now.Add(timeout)
	n.feed.proveAfter(n, at, timeout, func(n *Node, proven bool) {
		if origin, known := s.versions.recorded(n, stream); known {
			then(n, originSearch{origin: origin, source: OriginKept})
			return
		}
		if !proven {
			then(n, originSearch{})
			return
		}
		if version, sole := s.sole(n, service); sole {
			then(n, originSearch{origin: ServiceVersion{service, version}, source: OriginSole})
			return
		}
		s.searchLog(n, stream, at, until, then)
	})
}

// searchLog searches the log of the origins of streams for one.
func (s *forwards) searchLog(n *Node, stream StreamKey, at, until Instant, then func(*Node, originSearch)) {
	s.versions.log.readAfter(n, at, max(until.Sub(n.now), 0), func(n *Node, read bool) {
		if origin, known := s.versions.recorded(n, stream); known {
			then(n, originSearch{origin: origin, source: OriginFromStore})
			return
		}
		then(n, originSearch{complete: read && s.versions.record.atStart != nil})
	})
}
