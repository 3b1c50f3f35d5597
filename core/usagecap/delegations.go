package usagecap

import "time"

// maxAhead is the longest time for which a node may leave its part of the caps to an allocator in
// advance.
const maxAhead = 10 * time.Second

// Delegations are the spans of time for which nodes leave their parts of all caps to one allocator.
type Delegations struct {
	until map[string]time.Duration
	// seconds is the sum of the spans that have passed at the time at, over all nodes.
	seconds float64
	at      time.Duration
}

// Add adds a span of a node, which begins when its earlier ones have passed. A span that arrives late
// counts from its arrival: it is as long as the node has said, whenever that was.
func (d *Delegations) Add(now time.Duration, node string, span time.Duration) {
	d.advance(now)
	if span <= 0 {
		return
	}
	if d.until == nil {
		d.until = map[string]time.Duration{}
	}
	d.until[node] = min(max(d.until[node], now)+span, now+maxAhead)
}

// Seconds returns the sum of the spans that have passed, over all nodes, in seconds.
func (d *Delegations) Seconds(now time.Duration) float64 {
	d.advance(now)
	return d.seconds
}

// Count returns how many nodes leave their part to the allocator now.
func (d *Delegations) Count(now time.Duration) int {
	d.advance(now)
	return len(d.until)
}

func (d *Delegations) advance(now time.Duration) {
	passed := time.Duration(0)
	for node, until := range d.until {
		passed += max(min(until, now)-d.at, 0)
		if until <= now {
			delete(d.until, node)
		}
	}
	d.seconds += passed.Seconds()
	d.at = max(d.at, now)
}
