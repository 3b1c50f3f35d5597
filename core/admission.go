package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRetryShare is the longest retry delay that a caller honours, as a share of
	// its remaining time: callers ignore a delay of more than a third.
	maxRetryShare = 1.0 / 3
	// minRetryShare is the lower bound of a retry delay, as a share of the longest
	// one, so that callers rejected together do not retry at the same time.
	minRetryShare = 0.5
	// lateWaitObjectives is how long a request that arrived too late to be on time
	// may wait, in multiples of the route's objective. Callers abandon a stream
	// that sends nothing for four objectives.
	lateWaitObjectives = 3.0
	// maxQueueShare is the share of a new request's remaining time within which it
	// must be expected to be placed. A queue that uses all of that time makes all
	// its requests slightly late; a shorter one serves as many, on time.
	maxQueueShare = 0.6
	// rateWindow is the time over which the rate of placements is measured.
	rateWindow = 2 * time.Second
	// minPlacementRate is the lower bound of the assumed rate of placements, per
	// second, on a node that places requests by itself, so that it does not reject
	// all of them.
	minPlacementRate = 4.0
)

// queueEntry is what admission control needs to know of a queued request.
type queueEntry struct {
	rank int
	// arrived is when the request arrived, latestOnTime the latest time of a
	// placement that meets its objective, and callerDeadline when its caller times
	// out.
	arrived        Instant
	latestOnTime   Instant
	callerDeadline Instant
	// lengthPenalty is added to arrived when requests are ordered, so that costly
	// requests are placed later.
	lengthPenalty time.Duration
	// objective is the route's latency objective.
	objective time.Duration
}

// late reports whether the request can no longer be placed on time.
func (w queueEntry) late(now Instant) bool { return now > w.latestOnTime }

// compareQueued orders queued requests, lower ranks first. Within a rank, requests
// that can still be on time go before late ones, because during a burst a late
// request served before an on-time one makes both late. Otherwise the oldest goes
// first, so that no request starves, with lengthPenalty added to its arrival.
func compareQueued(now Instant, a, b queueEntry) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if la, lb := a.late(now), b.late(now); la != lb {
		if la {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.arrived.Add(a.lengthPenalty), b.arrived.Add(b.lengthPenalty))
}

// expired reports whether a queued request is to be rejected now. One that arrived
// in time expires when it is late, and one that arrived late after
// lateWaitObjectives or when its caller times out.
func (w queueEntry) expired(now Instant) bool {
	if w.arrived > w.latestOnTime {
		return now > min(w.callerDeadline, w.arrived.Add(fractionOf(w.objective, lateWaitObjectives)))
	}
	return w.late(now)
}

// placementRate records recent placements, to predict how long a queued request
// waits.
type placementRate struct{ at []Instant }

func (g *placementRate) record(now Instant) {
	g.at = append(dropBefore(g.at, now.Add(-rateWindow)), now)
}

// rate returns the recent rate of placements per second, and at least
// minPlacementRate.
func (g *placementRate) rate(now Instant) float64 { return max(g.measured(now), minPlacementRate) }

// measured returns the recent rate per second.
func (g *placementRate) measured(now Instant) float64 {
	g.at = dropBefore(g.at, now.Add(-rateWindow))
	return float64(len(g.at)) / rateWindow.Seconds()
}

// exceedsDeadline reports whether a new request should be rejected at once, because at
// the current rate of placements the requests ahead of it would take too long.
// Queueing it would only cost the caller time.
func exceedsDeadline(now Instant, w queueEntry, ahead int, rate float64) bool {
	left := fractionOf(w.latestOnTime.Sub(now), maxQueueShare)
	if w.late(now) {
		left = fractionOf(w.objective, lateWaitObjectives)
	}
	return float64(ahead) > rate*left.Seconds()
}

// ahead counts the requests in a queue that go before w, among those for which
// counts returns true.
func ahead[T hasQueueEntry](now Instant, queue []T, w queueEntry, counts func(T) bool) int {
	count := 0
	for _, q := range queue {
		if counts(q) && compareQueued(now, q.entry(), w) <= 0 {
			count++
		}
	}
	return count
}

// RetryAfter returns the retry delay for a caller that was rejected before the core knew of it. Its
// arguments are those of retryAfter.
func RetryAfter(patience time.Duration, draw float64) time.Duration {
	return retryAfter(patience, draw)
}

// retryAfter returns the retry delay for a rejected caller with the given patience.
// draw is a random number from 0 to 1 that spreads the delays between minRetryShare
// of the longest delay that the caller honours and all of it.
func retryAfter(patience time.Duration, draw float64) time.Duration {
	return fractionOf(fractionOf(patience, maxRetryShare), minRetryShare+(1-minRetryShare)*draw)
}

// hasQueueEntry is a request to which admission control applies.
type hasQueueEntry interface{ entry() queueEntry }

// entry returns w, so that a type that embeds a queueEntry implements
// hasQueueEntry.
func (w queueEntry) entry() queueEntry { return w }

// sortWaiting sorts queued requests into the order in which they are placed.
func sortWaiting[T hasQueueEntry](now Instant, queue []T) {
	slices.SortStableFunc(queue, func(a, b T) int { return compareQueued(now, a.entry(), b.entry()) })
}

const (
	// durationSamples is the number of values over which durationStats averages.
	durationSamples = 16
	// boundDeviations is the number of mean deviations above the mean below which
	// most values lie.
	boundDeviations = 1.5
)

// durationStats is an exponentially weighted average of durations, with their mean
// deviation.
type durationStats struct {
	mean, deviation float64
	count           int
}

func (s *durationStats) add(d time.Duration) {
	s.count++
	weight := 1 / float64(min(s.count, durationSamples))
	off := float64(d) - s.mean
	s.mean += off * weight
	if off < 0 {
		off = -off
	}
	if s.count > 1 {
		s.deviation += (off - s.deviation) * weight
	}
}

// upperEstimate returns a duration below which most values lie.
func (s *durationStats) upperEstimate() time.Duration {
	return time.Duration(s.mean + boundDeviations*s.deviation)
}
