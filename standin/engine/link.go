package engine

import (
	"slices"

	"daisyshed.dev/core"
)

// flow is one transfer on an engine's link.
type flow struct {
	holding  *holding
	ticket   Ticket
	outgoing bool
	cache    Cache
	// moved is the number of bytes that the link's share allowed so far, size
	// the number to move, which an importer learns when its source has sent
	// all.
	moved float64
	size  core.Option[float64]
}

func (f *flow) done() bool {
	size, ok := f.size.Get()
	return ok && f.moved+1 >= size
}

// link is an engine's network link. Its rate is shared equally by its flows.
type link struct {
	at         core.Instant
	rate       float64
	stalled    bool
	flows      []*flow
	generation uint64
}

// share returns the rate of one flow.
func (l *link) share() float64 {
	if l.stalled || len(l.flows) == 0 {
		return 0
	}
	return l.rate / float64(len(l.flows))
}

// advance moves all flows on to now.
func (l *link) advance(now core.Instant) {
	moved := l.share() * now.Sub(l.at).Seconds()
	for _, f := range l.flows {
		f.moved += moved
	}
	l.at = now
}

// next returns when the first flow will be done if none starts or ends.
func (l *link) next() (core.Instant, bool) {
	share := l.share()
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
		at := l.at.Add(seconds(max(0, size-f.moved)/share) + 1)
		if !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}

// of returns the flows of a holding.
func (l *link) of(h *holding) []*flow {
	var flows []*flow
	for _, f := range l.flows {
		if f.holding == h {
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
