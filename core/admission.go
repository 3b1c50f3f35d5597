package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// returnShare is the part of a caller's remaining time within which it
	// honours a time to come back: callers ignore more than a third.
	returnShare = 1.0 / 3
	// returnSpread is the lowest part of returnShare that a refusal names, so
	// that callers who were refused together do not come back together.
	returnSpread = 0.5
	// lateWait bounds, in multiples of the route's objective, how long a
	// request waits that cannot be on time any more. Callers leave a stream
	// that shows nothing for four objectives.
	lateWait = 3.0
	// hopeShare is the part of a newcomer's time within which its turn must be
	// expected. A queue that is as long as the time allows makes all its requests
	// late by a hair; a shorter one serves as many, and in time.
	hopeShare = 0.6
	// grantWindow is the time over which the rate of placements is counted.
	grantWindow = 2 * time.Second
	// minGrantRate is the least rate of placements, a second, that a node which
	// places by itself counts on, so that it does not refuse everything.
	minGrantRate = 4.0
)

// queueEntry is what admission knows of a request that waits for its place.
type queueEntry struct {
	rank int
	// arrived is when the request came, onTimeBy until when it must be placed
	// to be on time, and goneBy until when its caller waits at all.
	arrived  Instant
	onTimeBy Instant
	goneBy   Instant
	// setBack is by how much later than it came a request counts, for what it
	// takes from others.
	setBack time.Duration
	// objective is the route's.
	objective time.Duration
}

// late reports whether the request cannot be on time any more.
func (w queueEntry) late(now Instant) bool { return now > w.onTimeBy }

// compareWaiters orders waiting requests. The more urgent rank goes first.
// Within a rank, those that can still be on time go before those that cannot,
// because under a burst a late answer in front of an on-time one makes both
// late. Among equals the oldest goes first, so that nobody starves, but costly
// ones count as somewhat younger.
func compareWaiters(now Instant, a, b queueEntry) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if la, lb := a.late(now), b.late(now); la != lb {
		if la {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.arrived.Add(a.setBack), b.arrived.Add(b.setBack))
}

// expired reports whether a waiting request is to be refused now: a newcomer
// once it cannot be on time, one that came late already after lateWait.
func (w queueEntry) expired(now Instant) bool {
	if w.arrived > w.onTimeBy {
		return now > min(w.goneBy, w.arrived.Add(share(w.objective, lateWait)))
	}
	return w.late(now)
}

// grants counts placements, to predict how long a queue takes.
type grants struct{ at []Instant }

func (g *grants) note(now Instant) {
	g.at = append(since(g.at, now.Add(-grantWindow)), now)
}

// rate returns the placements a second that a queue can count on.
func (g *grants) rate(now Instant) float64 {
	g.at = since(g.at, now.Add(-grantWindow))
	return max(float64(len(g.at))/grantWindow.Seconds(), minGrantRate)
}

// hopeless reports whether a new request would wait past its time behind the
// requests ahead of it, at the present rate of placements. It is then refused
// at once: waiting would cost the caller time and gain it nothing.
func hopeless(now Instant, w queueEntry, ahead int, rate float64) bool {
	left := share(w.onTimeBy.Sub(now), hopeShare)
	if w.late(now) {
		left = share(w.objective, lateWait)
	}
	return float64(ahead) > rate*left.Seconds()
}

// ahead counts those waiting requests of a queue that go before w, among the ones
// that counts names.
func ahead[T admitting](now Instant, queue []T, w queueEntry, counts func(T) bool) int {
	count := 0
	for _, q := range queue {
		if counts(q) && compareWaiters(now, q.entry(), w) <= 0 {
			count++
		}
	}
	return count
}

// comeBack returns when a refused caller should return: within the time that
// it honours, spread by draw (0 to 1) over its upper half.
func comeBack(patience time.Duration, draw float64) time.Duration {
	return share(share(patience, returnShare), returnSpread+(1-returnSpread)*draw)
}

// admitting is a request that waits for its place.
type admitting interface{ entry() queueEntry }

// entry returns what admission knows of the request that embeds it.
func (w queueEntry) entry() queueEntry { return w }

// sortWaiting puts waiting requests into the order in which they are placed.
func sortWaiting[T admitting](now Instant, queue []T) {
	slices.SortStableFunc(queue, func(a, b T) int { return compareWaiters(now, a.entry(), b.entry()) })
}

const (
	// spreadWeight is the number of values over which a spread is averaged.
	spreadWeight = 16
	// mostSpread is how many mean deviations above the mean most values lie.
	mostSpread = 1.5
)

// spread is a running mean of times with their mean deviation.
type spread struct {
	mean, deviation float64
	count           int
}

func (s *spread) add(d time.Duration) {
	s.count++
	weight := 1 / float64(min(s.count, spreadWeight))
	off := float64(d) - s.mean
	s.mean += off * weight
	if off < 0 {
		off = -off
	}
	if s.count > 1 {
		s.deviation += (off - s.deviation) * weight
	}
}

// most returns the time that most values lie below.
func (s *spread) most() time.Duration { return time.Duration(s.mean + mostSpread*s.deviation) }
