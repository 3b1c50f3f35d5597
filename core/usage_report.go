package core

import (
	"slices"
	"time"

	"daisyshed.dev/core/usagecap"
)

const (
	// usageProtocol is the version of the protocol that has reports of usage.
	usageProtocol ProtocolVersion = 1
	// usageReportEvery is the period at which a node reports to its allocator. With many nodes it is
	// usageReportShare for each of them, which bounds the reports that an allocator gets.
	usageReportEvery = 800 * time.Millisecond
	usageReportShare = 8 * time.Millisecond
	// usageAhead is how much longer than a period the time is for which a node leaves its part of the
	// caps to an allocator.
	usageAhead = 250 * time.Millisecond
	// usageReportsPerSecond bounds the reports of a node in any second.
	usageReportsPerSecond = 4
	// usageProbeAfter is how long a report may have no answer until it is repeated and other nodes are
	// probed, and usageSilentAfter until another allocator is used. The silent one is used again after
	// usageSilentFor if it has been heard of since.
	usageProbeAfter  = 120 * time.Millisecond
	usageSilentAfter = 300 * time.Millisecond
	usageSilentFor   = time.Second
	// usageHeardFor is how long a node that has been heard of counts as alive whatever others say of
	// it. After a partition, those that were cut off say for a while that all others have died.
	usageHeardFor = 1500 * time.Millisecond
	// usageSettled is how long after its start a node waits until it changes to a better allocator, so
	// that all nodes do so at about the same time. A node that has not been up for usageStarting does
	// not wait.
	usageSettled  = 3 * time.Second
	usageStarting = 5 * time.Second
	// usageFirstChoice is how long a node that starts waits for better allocators to answer.
	usageFirstChoice = 100 * time.Millisecond
	// usageProbes is how many better allocators are probed at a time. The time until one that does not
	// answer is probed again doubles from usageProbeEvery up to usageProbeMost.
	usageProbes     = 3
	usageProbeEvery = 500 * time.Millisecond
	usageProbeMost  = 8 * time.Second
	// usagePlacerTime is how long after it placed a request of another node a node asks for shares of
	// all caps, and usageActive how long after a request of a tenant it asks for those of this one's.
	usagePlacerTime = 2 * time.Second
	usageActive     = time.Second
	// usageAllocatorKey is the key by which the allocator is chosen.
	usageAllocatorKey = "usage-caps"
)

// usageGaps are the least times between two reports, by the number of those in the last second, if
// requests wait for a share, and usageGap if none do: a report a second is kept for requests that wait.
var usageGaps = [usageReportsPerSecond]time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond, 160 * time.Millisecond}

const usageGap = time.Second / (usageReportsPerSecond - 1)

// usageReports reports to the allocator of the caps, which is the node with the highest score among
// those that answer.
type usageReports struct {
	running   bool
	startedAt Instant
	// current is the allocator to which this node leaves its part of the caps, until the instant
	// delegated; empty before one was chosen.
	current   NodeID
	delegated Instant
	// previous was the allocator before, and is asked for shares too until previousUntil.
	previous      NodeID
	previousUntil Instant
	// announcedAt is when this node last announced itself as the allocator.
	announcedAt Instant
	sentAt      []Instant
	// due is set while a report on all tenants is due.
	due bool
	// scheduledAt is when the next urgent report is sent; zero if there is none.
	scheduledAt Instant
	// reachedSince is when the last allocator became silent. Only nodes heard of since are used.
	reachedSince Instant
	// asked holds the reports without an answer, by allocator.
	asked map[NodeID]*askedAllocator
	peers map[NodeID]*usagePeer
}

// askedAllocator is an allocator that this node has asked for shares.
type askedAllocator struct {
	unanswered int
	// since is when the first report without an answer was sent.
	since Instant
	// elsewhere is the last value of each tenant's use at other nodes.
	elsewhere map[TenantID]float64
}

// usagePeer is what this node knows of another one as an allocator.
type usagePeer struct {
	protocol    ProtocolVersion
	incarnation Incarnation
	firstAt     Instant
	heardAt     Instant
	// silentAt is when it last did not answer reports; zero if it did since.
	silentAt Instant
	// probedAt is when it was last probed, and probes how often since it was last heard of.
	probedAt Instant
	probes   int
}

func (r *usageReports) start() {
	r.asked = map[NodeID]*askedAllocator{}
	r.peers = map[NodeID]*usagePeer{}
}

// run starts the reports once a tenant has a cap.
func (r *usageReports) run(n *Node) {
	if r.running || len(n.usage.tenants) == 0 {
		return
	}
	r.running, r.startedAt = true, n.now
	r.probeBetter(n)
	r.choose(n)
	n.afterFunc(usageFirstChoice, func(n *Node) { r.period(n) })
}

// period reports to the allocator, periodically.
func (r *usageReports) period(n *Node) {
	if n.usage.nodesChanged(n) {
		n.usage.configure(n)
	}
	r.prune(n)
	if len(n.usage.tenants) > 0 {
		r.choose(n)
		r.probeBetter(n)
		r.due = true
		r.report(n)
	}
	period := r.every(n)
	if n.now.Sub(r.startedAt) < usageStarting {
		period /= 3
	}
	n.afterFunc(n.jitter(period), func(n *Node) { r.period(n) })
}

func (r *usageReports) every(n *Node) time.Duration {
	return max(usageReportEvery, time.Duration(n.knownNodes())*usageReportShare)
}

// nodesChanged reports whether the number of nodes has changed since the caps were configured.
func (s *usage) nodesChanged(n *Node) bool {
	nodes := n.knownNodes()
	for _, t := range s.tenants {
		return t.terms.Nodes != nodes
	}
	return false
}

// heard records a message of another node.
func (r *usageReports) heard(n *Node, m PeerMessage) {
	if m.From == n.Self.ID {
		return
	}
	p := getOrCreate(r.peers, m.From)
	if p.incarnation != m.Incarnation || p.firstAt == 0 {
		p.incarnation, p.firstAt = m.Incarnation, n.now
	}
	p.protocol, p.heardAt, p.probes = m.Protocol, n.now, 0
	if r.running && r.current == "" {
		r.choose(n)
	}
}

// prune forgets nodes that are members no more.
func (r *usageReports) prune(n *Node) {
	for id := range r.peers {
		if _, ok := n.members.byID[id]; !ok {
			delete(r.peers, id)
			delete(r.asked, id)
		}
	}
}

// knows reports whether a node knows a version of the protocol.
func (r *usageReports) knows(n *Node, id NodeID, version ProtocolVersion) bool {
	if id == n.Self.ID {
		return true
	}
	p, ok := r.peers[id]
	return ok && p.protocol >= version
}

// usable reports whether a node may be the allocator, as far as this one knows.
func (r *usageReports) usable(n *Node, id NodeID) bool {
	if id == n.Self.ID {
		return !n.leaving && n.knownNodes() > 0
	}
	m, ok := n.members.byID[id]
	if !ok || m.status == Left || m.node.Leaving || !r.knows(n, id, usageProtocol) {
		return false
	}
	p := r.peers[id]
	if m.status == Dead && n.now.Sub(p.heardAt) > usageHeardFor {
		return false
	}
	rested := p.silentAt == 0 || p.heardAt > p.silentAt && n.now.Sub(p.silentAt) >= usageSilentFor
	return rested && p.heardAt >= r.reachedSince
}

// best returns the usable node with the highest score; empty if there is none.
func (r *usageReports) best(n *Node) NodeID {
	ids := make([]NodeID, 0, len(r.peers)+1)
	for id := range r.peers {
		if r.usable(n, id) {
			ids = append(ids, id)
		}
	}
	if r.usable(n, n.Self.ID) {
		ids = append(ids, n.Self.ID)
	}
	return highestScoring(ids, usageAllocatorKey)
}

// choose chooses the allocator.
func (r *usageReports) choose(n *Node) {
	best := r.best(n)
	if best == "" || best == r.current {
		return
	}
	switch {
	case r.current == "":
		// The first choice waits for better ones to answer, unless there are none.
		if n.now.Sub(r.startedAt) < usageFirstChoice && best != r.ranked(n)[0] {
			return
		}
	case r.usable(n, r.current):
		if !r.settled(n, best) {
			return
		}
		r.previous, r.previousUntil = r.current, n.now.Add(usageSettled)
	}
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "usage-allocator", Version: n.usage.version, Detail: string(best) + " after " + string(r.current),
	}})
	r.current = best
	if best == n.Self.ID {
		r.announce(n)
	}
}

// announce sends a heartbeat to all other nodes, because this one takes itself for the allocator. They
// learn at about the same time that it answers.
func (r *usageReports) announce(n *Node) {
	if r.announcedAt != 0 && n.now.Sub(r.announcedAt) < usageSettled {
		return
	}
	r.announcedAt = n.now
	for _, id := range r.ranked(n) {
		if id != n.Self.ID {
			n.members.detector.sendHeartbeat(n, id)
		}
	}
}

// settled reports whether all nodes should know by now that a node is alive.
func (r *usageReports) settled(n *Node, id NodeID) bool {
	if n.now.Sub(r.startedAt) < usageStarting {
		return true
	}
	p, ok := r.peers[id]
	return !ok || n.now.Sub(p.firstAt) >= usageSettled
}

// ranked returns the nodes that may be alive, by descending score.
func (r *usageReports) ranked(n *Node) []NodeID {
	ids := []NodeID{n.Self.ID}
	for id, m := range n.members.byID {
		if m.status != Dead && m.status != Left && !m.node.Leaving {
			ids = append(ids, id)
		}
	}
	byScore(ids, usageAllocatorKey)
	return ids
}

// probeBetter sends heartbeats to the nodes with the highest scores that this one does not know to
// answer. Reports go only to those that have shown that they know them.
func (r *usageReports) probeBetter(n *Node) {
	sent := 0
	for _, id := range r.ranked(n) {
		if sent == usageProbes || id == r.current && r.usable(n, id) || id == n.Self.ID {
			return
		}
		p := getOrCreate(r.peers, id)
		old := p.protocol < usageProtocol && p.heardAt != 0
		wait := min(usageProbeEvery<<min(p.probes, 8), usageProbeMost)
		if r.usable(n, id) || old || p.probedAt != 0 && n.now.Sub(p.probedAt) < wait {
			continue
		}
		p.probedAt = n.now
		p.probes++
		sent++
		n.members.detector.sendHeartbeat(n, id)
	}
}

// nextAllowed returns after what time this node may send its next report.
func (r *usageReports) nextAllowed(n *Node, waits bool) time.Duration {
	r.sentAt = dropBefore(r.sentAt, n.now.Add(-time.Second+1))
	count := len(r.sentAt)
	if count >= usageReportsPerSecond {
		return r.sentAt[count-usageReportsPerSecond].Add(time.Second).Sub(n.now)
	}
	if count == 0 {
		return 0
	}
	gap := usageGap
	if waits {
		gap = usageGaps[count]
	}
	return max(r.sentAt[count-1].Add(gap).Sub(n.now), 0)
}

// answersWithin reports whether an allocator may answer within a time: this node may ask in time, or
// has asked.
func (r *usageReports) answersWithin(n *Node, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	if r.current == "" {
		return true
	}
	a, ok := r.asked[r.current]
	inFlight := ok && a.unanswered > 0 && n.now.Sub(a.since) < usageWait
	return inFlight || r.nextAllowed(n, true) < d
}

// request sends a report as soon as one is allowed, because a share does not suffice.
func (r *usageReports) request(n *Node) {
	if r.current == "" || r.current == n.Self.ID {
		return
	}
	at := n.now.Add(r.nextAllowed(n, len(n.usage.awaiting) > 0))
	if r.scheduledAt != 0 && r.scheduledAt <= at {
		return
	}
	r.scheduledAt = at
	n.afterFunc(at.Sub(n.now), func(n *Node) {
		if r.scheduledAt == at {
			r.scheduledAt = 0
			r.report(n)
		}
	})
}

// report reports to the allocator if a report is allowed now. Unless one on all tenants is due, it has
// only those of which this node is short.
func (r *usageReports) report(n *Node) {
	tenants := n.usage.reported(n, r.due)
	if r.current == n.Self.ID {
		n.usage.allocator.delegate(n, n.Self.ID, r.delegate(n))
		for _, u := range tenants {
			n.usage.grantToSelf(n, u.Tenant, 0)
		}
	}
	others := r.others(n)
	if len(others) == 0 || len(tenants) == 0 && (!r.due || others[0] != r.current) || r.nextAllowed(n, len(n.usage.awaiting) > 0) > 0 {
		return
	}
	r.due = false
	r.sentAt = append(r.sentAt, n.now)
	for _, id := range others {
		m := UsageReported{Version: n.usage.version, Tenants: tenants}
		if id == r.current {
			m.Tenants = append([]TenantUsage{{Left: r.delegate(n)}}, tenants...)
		}
		r.send(n, id, m)
	}
}

// others returns the other nodes that are asked for shares, the allocator first: also the allocator
// before, and a better one to which this node will change. They have what other nodes leave to them.
func (r *usageReports) others(n *Node) []NodeID {
	ids := []NodeID{r.current}
	if r.previous != "" && n.now < r.previousUntil && r.usable(n, r.previous) {
		ids = append(ids, r.previous)
	}
	ids = append(ids, r.best(n))
	var others []NodeID
	for _, id := range ids {
		if id != "" && id != n.Self.ID && !slices.Contains(others, id) {
			others = append(others, id)
		}
	}
	return others
}

// delegate leaves this node's part of the caps to the allocator for some time ahead, and returns by how
// much that is longer than before. The time that was left to an earlier allocator is not given twice.
func (r *usageReports) delegate(n *Node) time.Duration {
	from, to := max(r.delegated, n.now), n.now.Add(r.every(n)+usageAhead)
	r.delegated = max(from, to)
	return r.delegated.Sub(from)
}

func (r *usageReports) send(n *Node, id NodeID, m UsageReported) {
	a := getOrCreate(r.asked, id)
	if a.unanswered == 0 {
		a.since = n.now
	}
	a.unanswered++
	n.send(id, m)
	n.afterFunc(usageProbeAfter, func(n *Node) { r.checkAnswer(n, id) })
}

// checkAnswer repeats a report that has no answer, and uses another allocator if the present one is
// silent. Of the others, only those that have been heard of since may be reached too.
func (r *usageReports) checkAnswer(n *Node, id NodeID) {
	a, ok := r.asked[id]
	if !ok || a.unanswered == 0 || n.now.Sub(a.since) < usageProbeAfter {
		return
	}
	waited := n.now.Sub(a.since)
	if waited >= usageSilentAfter {
		delete(r.asked, id)
		getOrCreate(r.peers, id).silentAt = n.now
		if id == r.current {
			r.reachedSince = a.since
			r.choose(n)
			r.due = true
			r.report(n)
		}
		return
	}
	if id == r.current {
		r.probeNext(n)
		r.due = true
		r.report(n)
	}
	n.afterFunc(usageSilentAfter-waited, func(n *Node) {
		if r.asked[id] == a {
			r.checkAnswer(n, id)
		}
	})
}

// probeNext sends heartbeats to the nodes that may be the next allocator.
func (r *usageReports) probeNext(n *Node) {
	sent := 0
	for _, id := range r.ranked(n) {
		if id == r.current || id == n.Self.ID || !r.knows(n, id, usageProtocol) {
			continue
		}
		n.members.detector.sendHeartbeat(n, id)
		if sent++; sent == usageProbes {
			return
		}
	}
}

// reported returns what this node reports of its tenants: those of which it is short, or all of them if
// it places the requests of others, else those that have been asked for lately.
func (s *usage) reported(n *Node, all bool) []TenantUsage {
	places := s.places(n)
	var list []TenantUsage
	for _, id := range sortedKeys(s.tenants) {
		t := s.tenants[id]
		active := t.askedAt != 0 && n.now.Sub(t.askedAt) < usageActive
		u := s.usageOf(n, id, t)
		if !all && !u.Short() || all && !active && !places {
			continue
		}
		list = append(list, TenantUsage{
			Tenant: id, Demand: u.Demand, Used: u.Used, Rate: u.Floor, Level: u.Level, Left: t.bucket.Left(time.Duration(n.now)),
		})
	}
	return list
}

// handleGranted handles the answer of an allocator. Only an answer to a report counts.
func (s *usage) handleGranted(n *Node, from NodeID, m UsageGranted) {
	a, ok := s.reports.asked[from]
	if !ok || a.unanswered == 0 {
		return
	}
	a.unanswered = 0
	for _, share := range m.Shares {
		s.applyShare(n, from, a, share)
	}
	s.settle(n)
}

// grantToSelf gives this node, which is the allocator itself, a share of one tenant's cap, for a request
// of the given size if there is one.
func (s *usage) grantToSelf(n *Node, id TenantID, request float64) {
	t, ok := s.tenants[id]
	if !ok || !s.allocator.mayAllocate(n) {
		return
	}
	u := s.usageOf(n, id, t)
	share, _ := s.allocator.grant(n, n.Self.ID, TenantUsage{Tenant: id, Demand: u.Demand, Used: u.Used, Rate: u.Floor, Level: u.Level - request})
	s.applyShare(n, n.Self.ID, getOrCreate(s.reports.asked, n.Self.ID), share)
}

// applyShare adds a share, and what the tenant has used elsewhere since the same allocator last told.
func (s *usage) applyShare(n *Node, from NodeID, a *askedAllocator, share UsageShare) {
	t, ok := s.tenants[share.Tenant]
	if !ok || !(share.Burst >= 0) || !(share.Rate >= 0) {
		return
	}
	now := time.Duration(n.now)
	t.bucket.Grant(now, usagecap.Share{Amount: share.Burst, Rate: share.Rate, Left: share.Left})
	if s.places(n) && from == s.reports.current && t.bucket.Level(now) < t.large {
		t.deniedAt = n.now
	}
	if a.elsewhere == nil {
		a.elsewhere = map[TenantID]float64{}
	}
	if before, known := a.elsewhere[share.Tenant]; known && from == s.reports.current {
		t.elsewhere += max(share.UsedElsewhere-before, 0)
	}
	a.elsewhere[share.Tenant] = share.UsedElsewhere
}
