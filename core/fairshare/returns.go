package fairshare

import "time"

// Returns tells rejected callers of a group of upstreams when to return: each tenant's callers
// in the order in which they were rejected, as fast as its share of the room allows, and less
// urgent ones beside the more urgent ones.
type Returns struct{ chains []chain }

// chain is the returns of one tenant's callers with requests of one rank.
type chain struct {
	tenant Tenant
	rank   int
	weight float64
	// next is when the caller that was rejected last returns.
	next time.Duration
}

// Assign returns when a rejected caller returns, between two instants. weight is that of its
// tenant, and rate how many returning callers a second can be served.
func (r *Returns) Assign(now time.Duration, t Tenant, rank int, weight, rate float64, earliest, latest time.Duration) time.Duration {
	own, weights := r.chain(now, t, rank, weight)
	spacing := time.Duration(float64(time.Second) * weights / (rate * weight))
	own.next = min(max(own.next+spacing, earliest), latest)
	return own.next
}

// chain returns the chain of a tenant and rank, and the weights of all chains of as urgent
// ranks whose callers have not all returned. It drops the others.
func (r *Returns) chain(now time.Duration, t Tenant, rank int, weight float64) (own *chain, weights float64) {
	kept, at := r.chains[:0], -1
	for _, c := range r.chains {
		if c.next <= now {
			continue
		}
		if c.tenant == t && c.rank == rank {
			at, c.weight = len(kept), weight
		}
		if c.rank <= rank {
			weights += c.weight
		}
		kept = append(kept, c)
	}
	if at < 0 {
		at = len(kept)
		kept = append(kept, chain{tenant: t, rank: rank, weight: weight})
		weights += weight
	}
	r.chains = kept
	return &r.chains[at], weights
}
