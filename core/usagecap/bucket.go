package usagecap

import "time"

// minThreshold is the least share of what is missing for a request that the own part of a node must
// contain for the request to be admitted. It bounds the debt.
const minThreshold = 0.05

// Bucket is what one node may admit for one tenant: the amounts that allocators have granted to it, as
// long as their lease lasts, and its own part.
type Bucket struct {
	terms Terms
	// granted is what is left of the granted amounts, until the lease ends. rate is the rate at which
	// the allocator expects to grant more, in units a second.
	granted, rate float64
	until         time.Duration
	// own is what the own part contains at ownAt. It is negative while the node is in debt.
	own   float64
	ownAt time.Duration
	// threshold is the share of what is missing for the next request that is larger than the own part,
	// from which the own part is overdrawn. It is zero until it is drawn.
	threshold float64
}

// NewBucket returns a bucket with nothing granted and the whole own part.
func NewBucket(now time.Duration, terms Terms) *Bucket {
	return &Bucket{terms: terms, own: terms.ownDepth(), ownAt: now}
}

// SetTerms changes the terms. The bucket never contains more than the new ones allow.
func (b *Bucket) SetTerms(now time.Duration, terms Terms) {
	b.refill(now)
	unknown := b.terms.Nodes <= 0
	b.terms = terms
	b.granted = min(b.granted, terms.Depth())
	b.own = min(b.own, terms.ownDepth())
	if unknown {
		b.own = terms.ownDepth()
	}
}

// refill adds what has accrued for the own part.
func (b *Bucket) refill(now time.Duration) {
	b.own = min(b.own+b.terms.ownRate()*(now-b.ownAt).Seconds(), max(b.terms.ownDepth(), b.own))
	b.ownAt = now
	if now >= b.until {
		b.granted = 0
	}
}

// Take takes a request from the granted amounts, and reports whether they suffice.
func (b *Bucket) Take(now time.Duration, amount float64) bool {
	b.refill(now)
	if b.granted < amount {
		return false
	}
	b.granted -= amount
	return true
}

// TakeOwn takes a request from the granted amounts and the own part, and reports whether they suffice.
// A part that is too small for a request is overdrawn by it at random, with the probability with which
// all nodes together use what their parts contain. Otherwise no node would ever serve such a request,
// or all nodes that are cut off together would serve one each. The draw is a random number of at
// least 0 and below 1.
func (b *Bucket) TakeOwn(now time.Duration, amount, draw float64) bool {
	b.refill(now)
	missing := amount - b.granted
	if missing > b.own {
		if b.threshold == 0 {
			b.threshold = minThreshold + (1-minThreshold)*draw
		}
		if b.own < b.threshold*missing {
			return false
		}
		b.threshold = 0
	}
	b.granted = max(-missing, 0)
	b.own -= max(missing, 0)
	return true
}

// Refund gives back what a request that was not run has taken.
func (b *Bucket) Refund(now time.Duration, amount float64) {
	b.refill(now)
	if now < b.until {
		b.granted = min(b.granted+amount, b.terms.Depth())
		return
	}
	b.own = min(b.own+amount, b.terms.ownDepth())
}

// Grant adds a granted amount. The lease of all granted amounts lasts until the end of the latest one.
func (b *Bucket) Grant(now time.Duration, s Share) {
	b.refill(now)
	b.granted = min(b.granted+s.Amount, b.terms.Depth())
	b.rate = s.Rate
	b.until = max(b.until, now+s.Left)
}

// Level returns what is left of the granted amounts, in units.
func (b *Bucket) Level(now time.Duration) float64 {
	b.refill(now)
	return b.granted
}

// Left returns how long the lease of the granted amounts lasts.
func (b *Bucket) Left(now time.Duration) time.Duration { return max(b.until-now, 0) }

// Rate returns the rate at which more is granted, in units a second, or zero if no lease is left.
func (b *Bucket) Rate(now time.Duration) float64 {
	if now >= b.until {
		return 0
	}
	return b.rate
}

// Wait returns after what time the granted amounts should suffice for a request, or longest if that is
// not known or later.
func (b *Bucket) Wait(now time.Duration, amount float64, longest time.Duration) time.Duration {
	missing, rate := amount-b.Level(now), b.Rate(now)
	if missing <= 0 {
		return 0
	}
	if rate <= 0 || missing > rate*longest.Seconds() {
		return longest
	}
	return time.Duration(missing / rate * float64(time.Second))
}
