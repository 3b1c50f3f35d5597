package fairshare

import (
	"slices"
	"time"
)

const (
	// rateTime is the time constant of the rates of arrivals. A load peak lasts four to five
	// seconds and has to be noticed in a small part of it.
	rateTime = 500 * time.Millisecond
	// shareTime is the time constant of the shares of requests that are served, so that the
	// least share is kept within a load peak and not only in the mean with quiet times.
	shareTime = 3 * time.Second
	// minShare is the least share of the requests of a rank or a tenant that is served, as a
	// part of the share of all. A quarter is owed; the rest is for requests that fail later.
	minShare = 0.3
)

// served counts requests that arrived and requests that were served.
type served struct{ arrived, served decaying }

// share returns the share of recent requests that was served.
func (s *served) share(now time.Duration) float64 {
	arrived := s.arrived.value(now, shareTime)
	if arrived <= 0 {
		return 1
	}
	return min(s.served.value(now, shareTime)/arrived, 1)
}

// owed returns how many requests have to be served until minShare of the share of all is.
func (s *served) owed(now time.Duration, all float64) float64 {
	return minShare*all*s.arrived.value(now, shareTime) - s.served.value(now, shareTime)
}

// Demand is what arrives at a group of upstreams and what of it is served, by rank and by
// tenant.
type Demand struct {
	ranks   []rankDemand
	tenants map[Tenant]*served
	all     served
}

type rankDemand struct {
	rank int
	// onTime counts arrivals of requests that can be on time.
	onTime decaying
	served served
}

// position returns the position of a rank among the known ones, the most urgent first.
func (d *Demand) position(rank int) int {
	i := 0
	for i < len(d.ranks) && d.ranks[i].rank < rank {
		i++
	}
	if i == len(d.ranks) || d.ranks[i].rank != rank {
		d.ranks = slices.Insert(d.ranks, i, rankDemand{rank: rank})
	}
	return i
}

// tenant returns the counts of a tenant.
func (d *Demand) tenant(now time.Duration, t Tenant) *served {
	if s, ok := d.tenants[t]; ok {
		return s
	}
	if d.tenants == nil {
		d.tenants = map[Tenant]*served{}
	}
	if len(d.tenants) >= maxAccounts {
		for t, s := range d.tenants {
			if now-s.arrived.at > activeTime {
				delete(d.tenants, t)
			}
		}
	}
	s := &served{}
	d.tenants[t] = s
	return s
}

// Arrived records a request that arrives for the first time.
func (d *Demand) Arrived(now time.Duration, t Tenant, rank int) {
	r := &d.ranks[d.position(rank)]
	r.onTime.add(now, 1, rateTime)
	r.served.arrived.add(now, 1, shareTime)
	d.all.arrived.add(now, 1, shareTime)
	d.tenant(now, t).arrived.add(now, 1, shareTime)
}

// Served records a number of requests that were placed; a negative one takes them back.
func (d *Demand) Served(now time.Duration, t Tenant, rank int, number float64) {
	d.ranks[d.position(rank)].served.served.add(now, number, shareTime)
	d.all.served.add(now, number, shareTime)
	d.tenant(now, t).served.add(now, number, shareTime)
}

// rateBelow returns the rate of arrivals, per second, at the first ranks.
func (d *Demand) rateBelow(now time.Duration, position int) float64 {
	rate := 0.0
	for i := range d.ranks[:position] {
		rate += d.ranks[i].onTime.value(now, rateTime) / rateTime.Seconds()
	}
	return rate
}

// MoreUrgent returns the rate of arrivals, per second, of requests that are more urgent than
// a rank.
func (d *Demand) MoreUrgent(now time.Duration, rank int) float64 {
	return d.rateBelow(now, d.position(rank))
}

// All returns the rate of arrivals, per second.
func (d *Demand) All(now time.Duration) float64 { return d.rateBelow(now, len(d.ranks)) }

// Owed returns how many requests of a rank are owed to it, so that it is not served less often
// than minShare of all.
func (d *Demand) Owed(now time.Duration, rank int) int {
	return int(d.ranks[d.position(rank)].served.owed(now, d.all.share(now)))
}

// Starved reports whether a tenant is served less often than minShare of all.
func (d *Demand) Starved(now time.Duration, t Tenant) bool {
	s, ok := d.tenants[t]
	return ok && s.owed(now, d.all.share(now)) >= 1
}
