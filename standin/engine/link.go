package engine

import (
	"slices"

	"daisyshed.dev/core"
)

// flow is one transfer over an engine's link.
type flow struct {
	allocation *allocation
	ticket     Ticket
	outgoing   bool
	cache      Cache
	// moved is the number of bytes that the flow's share of the link has
	// allowed so far. size is the number of bytes to move; an importer learns
	// it only when its source has sent everything.
	moved float64
	size  core.Option[float64]
}

func (f *flow) done() bool {
	size, ok := f.size.Get()
	return ok && f.moved+1 >= size
}

// link is an engine's network link. Its rate is shared equally by its flows.
type link struct {
	// advancedAt is the instant up to which the flows' progress is counted.
	advancedAt core.Instant
	rate       float64
	stalled    bool
	flows      []*flow
	// generation increases whenever the flows or their rate change. A
	// transferDue event with a lower generation is stale.
	generation uint64
}

// ratePerFlow returns the bandwidth of one flow.
func (l *link) ratePerFlow() float64 {
	if l.stalled || len(l.flows) == 0 {
		return 0
	}
	return l.rate / float64(len(l.flows))
}

// advance counts the progress of all flows up to now.
func (l *link) advance(now core.Instant) {
	moved := l.ratePerFlow() * now.Sub(l.advancedAt).Seconds()
	for _, f := range l.flows {
		f.moved += moved
	}
	l.advancedAt = now
}

// next returns when the first flow will be done if no flow starts or ends
// before. It ignores flows whose size is not known yet.
func (l *link) next() (core.Instant, bool) {
	share := l.ratePerFlow()
	if share == 0 {
		return 0, false
	}
	var next core.Instant
	found := false
	for _, f := range l.flows {
		size, ok := f.size.Get()
		if !ok {
			continue
		}
		at := l.advancedAt.Add(seconds(max(0, size-f.moved)/share) + 1)
		if !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}

// flowsOf returns the flows of an allocation.
func (l *link) flowsOf(a *allocation) []*flow {
	var flows []*flow
	for _, f := range l.flows {
		if f.allocation == a {
			flows = append(flows, f)
		}
	}
	return flows
}

// find returns the flow of an operation, or nil.
func (l *link) find(ticket Ticket) *flow {
	i := slices.IndexFunc(l.flows, func(f *flow) bool { return f.ticket == ticket })
	if i < 0 {
		return nil
	}
	return l.flows[i]
}
