package core

import (
	"fmt"
	"strings"
	"time"
)

const (
	// minLimitRate is the lowest rate at which a limited upstream is used, whatever it named: one
	// that gets no request cannot say that its limit has ended.
	minLimitRate = RequestRate(0.25)
	// limitBurstTime is the time whose requests a limited upstream may get at once, and
	// maxLimitBurst bounds their number.
	limitBurstTime = 250 * time.Millisecond
	maxLimitBurst  = 3.0
	// leaseCost is what a call that reserves memory takes from a limit.
	leaseCost = 0.5
	// limitOverlap is how long after an answer that named a limit an answer without one may
	// arrive late. It does not end the limit.
	limitOverlap = 300 * time.Millisecond
	// localLimitShare is the part of a limit that all nodes which place requests by themselves
	// use together. The owner, which they do not reach, may use all of it meanwhile.
	localLimitShare = 0.4
	// maxShareStep is the longest time for which a node that places requests by itself
	// accumulates its share of a limit between two of them.
	maxShareStep = time.Second
)

// upstreamLimit is a limit on the requests that an incarnation of an upstream takes from all
// nodes together.
type upstreamLimit struct {
	born int64
	rate RequestRate
	// namedAt is when an answer to this node last named it, or when another node first reported it.
	// toldAt is when an answer or another node last reported it.
	namedAt, toldAt Instant
}

// limitUse is how much of an upstream's limit this node may use now, in requests. The owner
// of the upstream's group uses all of the limit. A node that places requests by itself,
// because it reaches no owner, uses its share.
type limitUse struct {
	owner, share     float64
	ownerAt, shareAt Instant
}

// limit returns the limit that the upstream names; absent if it names none.
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

// limitBurst returns how many requests an upstream with the given limit may get at once.
func limitBurst(rate RequestRate) float64 {
	return min(max(float64(rate)*limitBurstTime.Seconds(), 1), maxLimitBurst)
}

// usableRate returns the rate at which an upstream with the given limit is used.
func usableRate(rate RequestRate) RequestRate { return max(rate, minLimitRate) }

// refillAsOwner adds what has accumulated for the owner of a limited upstream's group.
func (s *limitUse) refillAsOwner(now Instant, rate RequestRate) {
	if s.ownerAt != 0 {
		s.owner = min(s.owner+float64(rate)*now.Sub(s.ownerAt).Seconds(), limitBurst(rate))
	}
	s.ownerAt = now
}

// refillShare adds what has accumulated for a node that places requests by itself. It begins
// with a random part of a request, so that nodes which lose their owner together do not send
// together.
func (s *limitUse) refillShare(n *Node, rate RequestRate) {
	if s.shareAt == 0 {
		s.share = n.rng.Float64()
	} else {
		passed := min(n.now.Sub(s.shareAt), maxShareStep)
		s.share = min(s.share+localLimitShare*float64(rate)*passed.Seconds()/float64(max(n.members.maxNodes, 1)), 1)
	}
	s.shareAt = n.now
}

// ownerMaySend reports whether the owner of the upstream's group may place a request on it,
// as far as the upstream's limit goes, and if not, how long that takes.
func (u *upstream) ownerMaySend(n *Node, g DispatchGroup) (ok bool, wait time.Duration) {
	rate, limited := u.limit().Get()
	if !limited {
		return true, 0
	}
	rate = usableRate(rate) * RequestRate(n.dispatcher.limitShare(n, g))
	use := &u.signals.use
	use.refillAsOwner(n.now, rate)
	if use.owner >= 1 {
		return true, 0
	}
	return false, time.Duration((1 - use.owner) / float64(rate) * float64(time.Second))
}

// takeAsOwner takes a placement from the limit of an upstream, if it has one.
func (u *upstream) takeAsOwner(cost float64) {
	if _, limited := u.limit().Get(); limited {
		u.signals.use.owner -= cost
	}
}

// nodeMaySend reports whether this node may send a request to the upstream by its own
// choice, as far as the upstream's limit goes.
func (u *upstream) nodeMaySend(n *Node) bool {
	rate, limited := u.limit().Get()
	if !limited {
		return true
	}
	use := &u.signals.use
	use.refillShare(n, usableRate(rate))
	return use.share >= 1
}

// takeShare takes a request from this node's share of an upstream's limit, if it has one.
func (u *upstream) takeShare() {
	if _, limited := u.limit().Get(); limited {
		u.signals.use.share--
	}
}

// limitedRate returns how many requests a second the limits of a group's upstreams allow, if
// all of those that may run requests have one, and how long it takes until the next one may
// be placed.
func (d *dispatcher) limitedRate(n *Node, g DispatchGroup) (rate float64, wait time.Duration, all bool) {
	cost, engine := d.limitCost(n, g)
	share := d.limitShare(n, g)
	for _, u := range n.forward.upstreams.byGroup[g] {
		if !u.open(n.now) || engine && !n.roles.canServe(n, u, Decode) {
			continue
		}
		limit, limited := u.limit().Get()
		if !limited {
			return 0, 0, false
		}
		rate += float64(usableRate(limit)) * share / cost
		if _, w := u.ownerMaySend(n, g); !all || w < wait {
			wait = w
		}
		all = true
	}
	return rate, wait, all
}

// limitCost returns what a placement on a group takes from the limit of the upstream that
// runs the request, and whether the group generates.
func (d *dispatcher) limitCost(n *Node, g DispatchGroup) (cost float64, engine bool) {
	spec, engine := n.forward.state.Services[g.Service].Engine.Get()
	if engine && spec.MaxLease > 0 {
		return 1 + leaseCost, engine
	}
	return 1, engine
}

// exceedsLimits reports whether a new job cannot be placed in time because of the limits of
// its group's upstreams, with the limits for the log. A job that was sent before is not kept
// waiting for a limit either.
func (d *dispatcher) exceedsLimits(n *Node, j *dispatchJob, before int) (string, bool) {
	rate, wait, all := d.limitedRate(n, j.group)
	if !all {
		return "", false
	}
	wait += time.Duration(float64(before) / rate * float64(time.Second))
	latest := j.latestOnTime
	if j.late(n.now) {
		latest = min(j.callerDeadline, n.now.Add(fractionOf(j.objective, lateWaitObjectives)))
	}
	if wait == 0 || !j.sentBefore && n.now.Add(wait) <= latest {
		return "", false
	}
	return fmt.Sprintf("limits of upstreams: %d before it, next place in %v, %s", before, wait, d.describeLimits(n, j.group)), true
}

// describedLimits is how many limits a line of the log names.
const describedLimits = 4

// describeLimits returns the limits of a group's upstreams for the log.
func (d *dispatcher) describeLimits(n *Node, g DispatchGroup) string {
	var list []string
	for _, u := range n.forward.upstreams.byGroup[g] {
		if rate, ok := u.limit().Get(); ok && len(list) < describedLimits {
			list = append(list, fmt.Sprintf("%s %.3g/s", u.ID, float64(rate)))
		}
	}
	return strings.Join(list, ", ")
}

// waitForLimits shortens the time until the queue is processed again to that until the next
// request may be placed on a limited upstream.
func (d *dispatcher) waitForLimits(n *Node, wait time.Duration) time.Duration {
	if len(n.forward.upstreams.limited) == 0 {
		return wait
	}
	seen := map[DispatchGroup]bool{}
	for _, j := range d.queue {
		if seen[j.group] {
			continue
		}
		seen[j.group] = true
		for _, u := range n.forward.upstreams.byGroup[j.group] {
			if ok, w := u.ownerMaySend(n, j.group); !ok {
				wait = min(wait, max(w, minLimitWait))
			}
		}
	}
	return wait
}

// minLimitWait is the least time after which an owner processes its queue again because of a
// limit.
const minLimitWait = time.Millisecond

// limits returns the limits in force, in the order of the upstreams' ids.
func (s *upstreams) limits() []LimitStatus {
	var list []LimitStatus
	for _, id := range s.limited.Sorted() {
		if u, listed := s.byID[id]; listed {
			if rate, ok := u.limit().Get(); ok {
				list = append(list, LimitStatus{Engine: id, Rate: rate})
			}
		}
	}
	return list
}
