package hosted

import (
	"net/netip"
	"slices"
	"time"
)

// strand is a partition of a node from all upstreams, also from those that start meanwhile.
type strand struct {
	source netip.Addr
	kind   cutKind
	opens  bool
	heals  []func()
}

const (
	// minStrand and maxStrand are for how long nodes are partitioned from upstreams.
	minStrand = contactTime + 1500*time.Millisecond
	maxStrand = contactTime + 4*time.Second
)

// strandNodes partitions some nodes, up to three quarters, from all upstreams, while callers, the
// store and the others reach them, unless some are already: the others have to serve meanwhile. Each
// second time, new connections open. It returns at once.
func (d *deployment) strandNodes() {
	d.mu.Lock()
	busy := len(d.strands) > 0
	if !busy {
		d.stranded++
	}
	opens := d.stranded%2 == 0
	d.mu.Unlock()
	if busy {
		return
	}
	count := 1 + d.rng.IntN(max(1, 3*len(d.nodes)/4))
	kind := cutKind(d.rng.IntN(int(numCutKinds)))
	length := minStrand + time.Duration(d.rng.Int64N(int64(maxStrand-minStrand)))
	for _, i := range d.rng.Perm(len(d.nodes))[:count] {
		d.strand(i, kind, opens, length)
	}
}

func (d *deployment) strand(index int, kind cutKind, opens bool, length time.Duration) {
	s := &strand{source: d.source(index), kind: kind, opens: opens}
	endHarm := d.judge.beginHarm(d.nodeAddress(index, callerPort), nodeStranded)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.strands = append(d.strands, s)
	for _, id := range d.workerIDs() {
		link := d.workers[id].link
		s.heals = append(s.heals, link.cut(s.source, kind, opens))
		if err := link.filterError(); err != nil {
			d.judge.count("new connections open in a cut: " + err.Error())
		}
	}
	go func() {
		select {
		case <-time.After(length):
		case <-d.faultsEnded:
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.strands = slices.DeleteFunc(d.strands, func(other *strand) bool { return other == s })
		for _, h := range s.heals {
			h()
		}
		endHarm()
	}()
}

// strandFrom partitions a new worker's link from the nodes that are partitioned from all. The
// caller holds d.mu.
func (d *deployment) strandFrom(link *proxy) {
	for _, s := range d.strands {
		s.heals = append(s.heals, link.cut(s.source, s.kind, s.opens))
	}
}
