package core

import "fmt"

// upstreamLimit is a limit on the requests that an incarnation of an upstream takes from all
// nodes together.
type upstreamLimit struct {
	born int64
	rate RequestRate
}

// limit returns the limit that the upstream has named; absent if it names none.
func (u *upstream) limit() Option[RequestRate] {
	if u.signals == nil {
		return None[RequestRate]()
	}
	l, ok := u.signals.limit.Get()
	if !ok || l.born != u.Born {
		return None[RequestRate]()
	}
	return Some(l.rate)
}

// observeLimit records the limit that a response has named. One whose value is not usable
// changes nothing.
func (s *upstreams) observeLimit(n *Node, u *upstream, named Option[RequestRate]) {
	rate, usable := named.Get()
	if !usable {
		return
	}
	if before, ok := u.limit().Get(); ok && before == rate {
		return
	}
	u.signals.limit = Some(upstreamLimit{born: u.Born, rate: rate})
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "upstream-limit", Decode: u.ID, Detail: fmt.Sprintf("%.3g/s", float64(rate)),
	}})
}

// limits returns the limits in force, in the order of the upstreams' ids.
func (s *upstreams) limits() []LimitStatus {
	var list []LimitStatus
	for _, id := range sortedKeys(s.signals) {
		if u, listed := s.byID[id]; listed {
			if rate, ok := u.limit().Get(); ok {
				list = append(list, LimitStatus{Engine: id, Rate: rate})
			}
		}
	}
	return list
}
