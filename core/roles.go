package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rolesEvery is the period at which the roles of engines are looked at.
	rolesEvery = 500 * time.Millisecond
	// rolesSamples is how many prompts and streams must have been measured
	// before roles are changed.
	rolesSamples = 6
	// sampleWeight is the number of samples over which costs are averaged.
	sampleWeight = 32
	// bestDrift is the part by which the lowest value rises to each later one,
	// so that an engine that became slower is noticed.
	bestDrift = 0.02
	// readHeadroom is the capacity to read prompts that is kept beyond the
	// mean need: prompts arrive in clumps, and a prompt that waits delays a
	// stream whose memory is reserved already.
	readHeadroom = 1.5
	// readShortage is the factor on the mean need below which a decode engine
	// is made a prefill engine. It is lower than readHeadroom, so that engines
	// do not change to and fro.
	readShortage = 1.1
	// minReaders keeps one prefill engine when another dies, in services with
	// enough engines.
	minReaders       = 2
	enoughForReaders = 6
	// lackShown is how long a request's wait for engines of a role counts.
	lackShown = 3 * time.Second
	// wantedFor is how long a wish for an order counts unless it is repeated.
	wantedFor = 2 * time.Second
	// ordersKey stands for a service in the choice of the node that gives orders.
	ordersKey = "/orders"
	// setBackShare is by how much later, in objectives, a request of the mean
	// expected output counts, and setBackMost how many times that at most: the
	// longest is passed only by those who came within an objective after it.
	setBackShare = 0.4
	setBackMost  = 2
	// changeEvery is the least time between two changes of one group: the costs
	// have to show the effect of the first.
	changeEvery = 8 * time.Second
	// claimValid is how long after its claim was sent a holder may give orders.
	claimValid = 1500 * time.Millisecond
	// claimMargin is added to the lease before another node claims: clocks of
	// machines run apart, and orders take time to arrive.
	claimMargin = 1500 * time.Millisecond
	// orderSettles is how long after an order its engine is left alone: an
	// unanswered order may be carried out many seconds later.
	orderSettles = 16 * time.Second
)

// ClaimOrders asks the store for the right to order engines about: a record
// appended only if the claims end at At, so that no two nodes get it.
type ClaimOrders struct {
	Ticket Ticket
	At     Offset
}

// OrdersClaimed confirms a claim. Its offset makes the fencing number.
type OrdersClaimed struct {
	Ticket Ticket
	Offset Offset
}

// OrdersNotClaimed says that a claim failed. Known is set if the store said
// where the claims end, which is then End.
type OrdersNotClaimed struct {
	Ticket Ticket
	Known  bool
	End    Offset
}

func (ClaimOrders) isCommand()      {}
func (OrdersClaimed) isMessage()    {}
func (OrdersNotClaimed) isMessage() {}

// RolesWanted asks the node that gives orders to change engines' roles.
type RolesWanted struct{ Orders []Order }

func (RolesWanted) isPeerBody() {}

// sample is a running mean.
type sample struct {
	mean  float64
	count int
}

func (s *sample) add(v float64) {
	s.count++
	s.mean += (v - s.mean) / float64(min(s.count, sampleWeight))
}

// best is the lowest of recent values: the cost without the waits that others
// cause, which no node sees by itself.
type best struct {
	low   float64
	count int
}

func (b *best) add(v float64) {
	b.count++
	if b.count == 1 || v < b.low {
		b.low = v
		return
	}
	b.low += (v - b.low) * bestDrift
}

// engineCosts are the measured costs of the requests of a group of engines, as
// its owner sees them.
type engineCosts struct {
	// readSeconds is a prefill engine's time for a prompt.
	readSeconds best
	// holdSeconds is the time for which a request holds the whole of its
	// upstream: its share of the upstream times its duration.
	holdSeconds sample
	// tokenSeconds is the time for a token of output, and lengths and shares are
	// the expected output and the share of an engine's memory of the requests
	// that were placed. The first answers to end are the short ones, so the time
	// for which a request holds memory is worked out from these.
	tokenSeconds sample
	lengths      sample
	shares       sample
	// outputs predicts the output of requests.
	outputs outputModel
	// tokenRate is the number of prompt tokens that an engine reads a second.
	tokenRate float64
	// lackedRead and lackedMemory are when a request last waited for a prefill
	// engine, and for decode memory.
	lackedRead   Instant
	lackedMemory Instant
	// changedAt is when engines of the group were last ordered about.
	changedAt Instant
}

// promptRead notes how long a prompt took at an engine that had no other.
func (c *engineCosts) promptRead(prompt Tokens, took time.Duration) {
	if prompt == 0 || took <= 0 {
		return
	}
	c.readSeconds.add(took.Seconds())
	c.tokenRate = float64(prompt) / c.readSeconds.low
}

// released notes for how long a request held its share of a plain upstream.
func (c *engineCosts) released(share float64, held time.Duration) {
	c.holdSeconds.add(held.Seconds() * share)
}

// placed notes what a request to model engines is expected to need.
func (c *engineCosts) placed(output Tokens, share float64) {
	c.lengths.add(float64(output))
	c.shares.add(share)
	c.estimate()
}

// generated notes how long an answer of some length took.
func (c *engineCosts) generated(output Tokens, took time.Duration) {
	c.tokenSeconds.add((took.Seconds() - c.readSeconds.low) / float64(output))
	c.estimate()
}

func (c *engineCosts) estimate() {
	if c.tokenSeconds.count == 0 || c.lengths.count == 0 {
		return
	}
	c.holdSeconds.mean = (c.readSeconds.low + c.tokenSeconds.mean*c.lengths.mean) * c.shares.mean
	c.holdSeconds.count = min(c.tokenSeconds.count, c.lengths.count)
}

// setBack returns by how much later than it came a request of some expected
// output counts. Where memory is short, a long answer takes the place of several
// short ones for longer; served after them it costs fewer callers their time.
func (c *engineCosts) setBack(n *Node, output Tokens, objective time.Duration) time.Duration {
	if c.lengths.count < rolesSamples || c.lengths.mean <= 0 || !n.uses(ShortFirst) {
		return 0
	}
	return share(objective, setBackShare*min(float64(output)/c.lengths.mean, setBackMost))
}

// readers returns how many of total engines should read prompts, with a
// headroom: prefill and decode engines are then as busy as each other.
func (c *engineCosts) readers(total int, headroom float64) int {
	read := headroom * c.readSeconds.low
	share := read / (read + c.holdSeconds.mean)
	least := 1
	if total >= enoughForReaders {
		least = minReaders
	}
	return min(max(int(math.Ceil(share*float64(total)-0.5)), least), total-1)
}

// roles keeps the engines of each service divided between prefill and decode
// as the measured costs ask. The platform starts them with a fixed division;
// where decode memory binds, prefill engines beyond the need are wasted, and
// where prefill engines die, prompts wait while memory is reserved for them.
//
// The owner of a group says what it wants; one node gives all orders, by a claim in the store: engines do not
// check who orders them. The claim is a conditional append, valid for
// claimValid from when it was sent. A node whose append met another's claim
// waits for that claim, a lease and a margin before it tries again.
type roles struct {
	costs map[DispatchGroup]*engineCosts
	// end is where the claims end as far as this node knows.
	end       Offset
	ticket    Ticket
	claiming  bool
	sentAt    Instant
	notBefore Instant
	// ordered holds when engines were ordered, and to which role.
	ordered map[EngineID]roleOrder
	// wanted holds what owners of groups want, at the node that gives orders.
	wanted map[EngineID]roleOrder
}

type roleOrder struct {
	role Role
	at   Instant
}

func (s *roles) start(n *Node) {
	s.costs = map[DispatchGroup]*engineCosts{}
	s.ordered = map[EngineID]roleOrder{}
	s.wanted = map[EngineID]roleOrder{}
	n.every(rolesEvery, func(n *Node) { s.look(n) })
}

func (s *roles) cost(g DispatchGroup) *engineCosts { return made(s.costs, g) }

// look sends what this node's groups want to the node that gives all orders, and
// claims the right to give them if that is this node.
func (s *roles) look(n *Node) {
	if n.leaving || !n.uses(RoleChanges) {
		return
	}
	holder := n.ordersHolder()
	if orders := s.plan(n); len(orders) > 0 && holder != "" {
		n.send(holder, RolesWanted{Orders: orders})
	}
	if s.claiming || n.now < s.notBefore || len(s.due(n)) == 0 {
		return
	}
	s.claiming = true
	s.ticket = n.nextTicket()
	s.sentAt = n.now
	n.do(ClaimOrders{Ticket: s.ticket, At: s.end})
}

// ordersHolder returns the live node that gives all orders. Only one node asks
// for the right, so that nodes need not wait for each other; the claim decides
// if two nodes take themselves for it.
func (n *Node) ordersHolder() NodeID {
	return n.forward.groupOwner(n, DispatchGroup{Service: ordersKey})
}

// rolesWanted notes what the owner of a group wants.
func (s *roles) rolesWanted(n *Node, m RolesWanted) {
	for _, o := range m.Orders {
		s.wanted[o.Engine] = roleOrder{role: o.Role, at: n.now}
	}
}

// due returns the orders that are wanted now and not given yet.
func (s *roles) due(n *Node) []Order {
	var orders []Order
	for _, id := range sortedKeys(s.wanted) {
		w := s.wanted[id]
		u, ok := n.forward.upstreams.byID[id]
		if n.now.Sub(w.at) > wantedFor || !ok {
			delete(s.wanted, id)
			continue
		}
		if s.roleOf(n, u) != w.role {
			orders = append(orders, Order{Engine: id, Kind: SetRole, Role: w.role})
		}
	}
	return orders
}

// plan returns the orders that bring the roles of the groups that this node
// owns to what their costs ask.
func (s *roles) plan(n *Node) []Order {
	var orders []Order
	for _, g := range s.groups() {
		c := s.costs[g]
		if n.now.Sub(c.changedAt) < changeEvery && c.changedAt != 0 {
			continue
		}
		if c.readSeconds.count < rolesSamples || c.holdSeconds.count < rolesSamples || n.forward.groupOwner(n, g) != n.Self.ID {
			continue
		}
		orders = append(orders, s.planGroup(n, g, c)...)
	}
	return orders
}

// groups returns the measured groups in a fixed order.
func (s *roles) groups() []DispatchGroup {
	return slices.SortedFunc(maps.Keys(s.costs), func(a, b DispatchGroup) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Index, b.Index))
	})
}

func (s *roles) planGroup(n *Node, g DispatchGroup, c *engineCosts) []Order {
	var readers, decoders []*upstream
	for _, u := range n.forward.upstreams.byService[g.Service] {
		if !u.usable() || !n.forward.inGroup(g, u.ID) {
			continue
		}
		if s.roleOf(n, u) == Prefill {
			readers = append(readers, u)
		} else {
			decoders = append(decoders, u)
		}
	}
	total := len(readers) + len(decoders)
	if total < 2 {
		return nil
	}
	lacksRead := c.lackedRead != 0 && n.now.Sub(c.lackedRead) < lackShown
	lacksMemory := c.lackedMemory != 0 && n.now.Sub(c.lackedMemory) < lackShown
	surplus := len(readers) - c.readers(total, readHeadroom)
	shortage := c.readers(total, readShortage) - len(readers)
	switch {
	case surplus > 0 && !lacksRead:
		return s.change(n, readers, Decode, surplus)
	case shortage > 0 && lacksRead && !lacksMemory, len(readers) == 0:
		return s.change(n, decoders, Prefill, max(shortage, 1))
	default:
		return nil
	}
}

// roleOf returns the role that an engine has, or will have once its order is
// carried out.
func (s *roles) roleOf(n *Node, u *upstream) Role {
	if o, ok := s.ordered[u.ID]; ok && n.now.Sub(o.at) < orderSettles {
		return o.role
	}
	return u.Role
}

// serves reports whether an engine does the work of a role now. One with an open
// order does none: until the list shows that it was carried out, the engine may
// still have its old role, be changing, or have the new one.
func (s *roles) serves(n *Node, u *upstream, role Role) bool {
	if o, ok := s.ordered[u.ID]; ok && n.now.Sub(o.at) < orderSettles {
		return false
	}
	return u.Role == role
}

// change chooses engines to change, from the failure domains that have most of
// them, so that each domain keeps both roles as far as possible.
func (s *roles) change(n *Node, from []*upstream, to Role, count int) []Order {
	var orders []Order
	taken := Set[EngineID]{}
	for range count {
		perDomain := map[DomainID]int{}
		for _, u := range from {
			if !taken.Has(u.ID) {
				perDomain[u.Domain]++
			}
		}
		var best *upstream
		for _, u := range from {
			if _, settling := s.ordered[u.ID]; taken.Has(u.ID) || settling && n.now.Sub(s.ordered[u.ID].at) < orderSettles {
				continue
			}
			if best == nil || perDomain[u.Domain] > perDomain[best.Domain] {
				best = u
			}
		}
		if best == nil {
			return orders
		}
		taken.Add(best.ID)
		orders = append(orders, Order{Engine: best.ID, Kind: SetRole, Role: to})
	}
	return orders
}

// claimed gives the orders that are due, if the claim is fresh: after a pause
// of this node its lease may be over.
func (s *roles) claimed(n *Node, m OrdersClaimed) {
	if !s.claiming || m.Ticket != s.ticket {
		return
	}
	s.claiming = false
	s.end = m.Offset + 1
	if n.now.Sub(s.sentAt) > claimValid || n.resumedAt > s.sentAt {
		return
	}
	orders := s.due(n)
	n.sendAll(RolesOrdered{Orders: orders})
	for _, o := range orders {
		o.Fencing = m.Offset + 1
		s.note(n, o)
		n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "order", Decode: o.Engine, Tokens: Tokens(o.Role)}})
		n.do(SendOrder{Order: o})
	}
}

// notClaimed waits until whoever claimed has finished. A claim without an
// answer may be in the log too.
func (s *roles) notClaimed(n *Node, m OrdersNotClaimed) {
	if !s.claiming || m.Ticket != s.ticket {
		return
	}
	s.claiming = false
	if m.Known {
		s.end = m.End
	}
	s.notBefore = n.now.Add(claimValid + n.Settings.OrderLease + claimMargin)
}
