package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rolePlanEvery is the period at which the roles of engines are re-evaluated.
	rolePlanEvery = 500 * time.Millisecond
	// minCostSamples is the number of prompts and streams that must have been
	// measured before roles are changed.
	minCostSamples = 6
	// meanWindow is the number of samples over which a running mean averages.
	meanWindow = 32
	// minimumDrift is the fraction of the difference by which a running minimum
	// rises towards each higher value, so that an engine that became slower is
	// noticed.
	minimumDrift = 0.02
	// prefillHeadroom is the factor on the mean need for prefill capacity that is
	// kept available: prompts arrive in bursts, and a prompt that waits delays a
	// stream whose memory is already reserved.
	prefillHeadroom = 1.25
	// prefillShortage is the factor on the mean need below which a decode engine
	// becomes a prefill engine. It is lower than prefillHeadroom, so that engines
	// do not oscillate between roles.
	prefillShortage = 1.0
	// minPrefillEngines keeps one prefill engine available when another fails, in
	// groups of at least minPrefillGroupSize engines.
	minPrefillEngines   = 2
	minPrefillGroupSize = 6
	// shortageValid is how long a group counts as short of a role after a request
	// last had to wait for it.
	shortageValid = 3 * time.Second
	// roleRequestValid is how long a request for a role change counts unless it is
	// repeated.
	roleRequestValid = 2 * time.Second
	// orderIssuerKey takes the place of a service name in the election of the node
	// that issues role orders.
	orderIssuerKey = "/orders"
	// lengthPenaltyShare is the queueing penalty, as a share of the objective, of
	// a request whose expected output is the mean. maxLengthPenalty caps it at
	// that multiple, so that the longest request is overtaken only by requests
	// that arrive within one objective after it.
	lengthPenaltyShare = 0.4
	maxLengthPenalty   = 2
	// roleChangeInterval is the minimum time between two role changes in one
	// group, so that the measured costs show the effect of the first.
	roleChangeInterval = 4 * time.Second
	// claimValid is how long after sending a claim its holder may issue orders.
	claimValid = 1500 * time.Millisecond
	// claimMargin is added to the lease before another node claims, to cover clock
	// skew between nodes and the delivery time of orders.
	claimMargin = 1500 * time.Millisecond
	// orderSettleTime is how long after an order its engine gets no other order
	// and, unless the list shows the change sooner, no requests: an order without
	// a reply may be carried out many seconds later.
	orderSettleTime = 16 * time.Second
)

// ClaimOrders asks the store for the exclusive right to issue role orders. The
// claim is a conditional append that succeeds only if the claim stream ends at At,
// so that at most one node obtains the right.
type ClaimOrders struct {
	Ticket Ticket
	At     Offset
}

// OrdersClaimed confirms a claim. The fencing token is derived from its offset and from
// the store's era in which it was appended.
type OrdersClaimed struct {
	Ticket Ticket
	Offset Offset
	Era    StoreEra
}

// OrdersNotClaimed reports that a claim failed. Known is set if the store returned
// the current end of the claim stream, in End.
type OrdersNotClaimed struct {
	Ticket Ticket
	Known  bool
	End    Offset
}

func (ClaimOrders) isCommand()      {}
func (OrdersClaimed) isMessage()    {}
func (OrdersNotClaimed) isMessage() {}

// RolesWanted asks the node that issues role orders to change the roles of engines.
type RolesWanted struct{ Orders []Order }

func (RolesWanted) isPeerBody() {}

// runningMean is a mean over about the last meanWindow samples.
type runningMean struct {
	mean  float64
	count int
}

func (s *runningMean) add(v float64) {
	s.count++
	s.mean += (v - s.mean) / float64(min(s.count, meanWindow))
}

// runningMinimum is the lowest of recent values. It estimates a cost without the
// queueing delay that requests of other nodes cause and that no node can observe by
// itself.
type runningMinimum struct {
	low   float64
	count int
}

func (b *runningMinimum) add(v float64) {
	b.count++
	if b.count == 1 || v < b.low {
		b.low = v
		return
	}
	b.low += (v - b.low) * minimumDrift
}

// engineCosts are the costs of the requests of a group of engines, as measured by
// the owner of the group.
type engineCosts struct {
	// promptTokenSeconds is the time that a prefill engine takes for a prompt token,
	// and promptLengths the length of the prompts that were placed.
	promptTokenSeconds runningMinimum
	promptLengths      runningMean
	// holdSeconds is the upstream time that a request uses: its share of the
	// upstream times its duration.
	holdSeconds runningMean
	// tokenSeconds is the time per output token. outputLengths and memoryShares
	// are the expected output and the share of an engine's memory of the requests
	// that were placed. The short answers end first, so holdSeconds of model
	// engines is computed from these instead of from the requests that ended.
	tokenSeconds  runningMean
	outputLengths runningMean
	memoryShares  runningMean
	// outputs predicts the output length of requests.
	outputs outputModel
	// prefillShortAt and memoryShortAt are when a request last had to wait for a
	// prefill engine and for decode memory.
	prefillShortAt Instant
	memoryShortAt  Instant
	// roleChangedAt is when a role change was last ordered for an engine of the
	// group.
	roleChangedAt Instant
}

// observePrefill records the prefill time of a prompt that had its engine to itself.
func (c *engineCosts) observePrefill(prompt Tokens, took time.Duration) {
	if prompt == 0 || took <= 0 {
		return
	}
	c.promptTokenSeconds.add(took.Seconds() / float64(prompt))
}

// prefillSeconds returns the time that a prefill engine takes for a prompt of mean
// length.
func (c *engineCosts) prefillSeconds() float64 {
	return c.promptTokenSeconds.low * c.promptLengths.mean
}

// backlogTime returns the time that a prefill engine takes for a number of prompt
// tokens, and false if it was not measured yet.
func (c *engineCosts) backlogTime(tokens Tokens) (time.Duration, bool) {
	if c.promptTokenSeconds.count == 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) * c.promptTokenSeconds.low * float64(time.Second)), true
}

// observeHold records for how long a request held its share of a plain upstream.
func (c *engineCosts) observeHold(share float64, held time.Duration) {
	c.holdSeconds.add(held.Seconds() * share)
}

// observePlacement records the prompt, the expected output and the memory share of a
// request to model engines.
func (c *engineCosts) observePlacement(prompt, output Tokens, share float64) {
	c.promptLengths.add(float64(prompt))
	c.outputLengths.add(float64(output))
	c.memoryShares.add(share)
	c.updateHoldSeconds()
}

// observeOutput records the duration of an answer of the given length.
func (c *engineCosts) observeOutput(output Tokens, took time.Duration) {
	c.tokenSeconds.add((took.Seconds() - c.prefillSeconds()) / float64(output))
	c.updateHoldSeconds()
}

func (c *engineCosts) updateHoldSeconds() {
	if c.tokenSeconds.count == 0 || c.outputLengths.count == 0 {
		return
	}
	c.holdSeconds.mean = (c.prefillSeconds() + c.tokenSeconds.mean*c.outputLengths.mean) * c.memoryShares.mean
	c.holdSeconds.count = min(c.tokenSeconds.count, c.outputLengths.count)
}

// lengthPenaltyOf returns the queueing penalty of a request with the given expected
// output: it is ordered as if it had arrived that much later. When memory is short,
// a long answer occupies the memory of several short ones for longer, so serving it
// after them delays fewer callers.
func (c *engineCosts) lengthPenaltyOf(n *Node, output Tokens, objective time.Duration) time.Duration {
	if c.outputLengths.count < minCostSamples || c.outputLengths.mean <= 0 || !n.uses(ShortFirst) {
		return 0
	}
	return fractionOf(objective, lengthPenaltyShare*min(float64(output)/c.outputLengths.mean, maxLengthPenalty))
}

// prefillTarget returns how many of total engines should be prefill engines, with
// some headroom. At that ratio prefill and decode engines are equally loaded.
func (c *engineCosts) prefillTarget(total int, headroom float64) int {
	prefill := headroom * c.prefillSeconds()
	share := prefill / (prefill + c.holdSeconds.mean)
	least := 1
	if total >= minPrefillGroupSize {
		least = minPrefillEngines
	}
	return min(max(int(math.Ceil(share*float64(total)-0.5)), least), total-1)
}

// roles assigns the engines of each service to prefill or decode according to the
// measured costs. The platform starts the engines with a fixed split. That split
// wastes prefill engines when decode memory is the bottleneck, and when prefill
// engines fail, prompts wait while memory is reserved for them.
//
// The owner of a group requests role changes, and one node issues all orders under
// a claim in the store, because engines do not check who sends an order. The claim
// is a conditional append, valid for claimValid from when it was sent. A node whose
// append conflicts with another claim waits for claimValid, a lease and claimMargin
// before it retries. So does every node when the store's era has risen, because the
// store may have lost a claim that is still valid.
type roles struct {
	costs map[DispatchGroup]*engineCosts
	// claimsEnd is the end of the claim stream as far as this node knows.
	claimsEnd Offset
	ticket    Ticket
	claiming  bool
	sentAt    Instant
	notBefore Instant
	// storeEra is the latest era of the store that this node knows of.
	storeEra StoreEra
	// ordered holds the latest role order sent to each engine.
	ordered map[EngineID]roleOrder
	// requested holds the role changes requested by owners of groups. It is used
	// on the node that issues orders.
	requested map[EngineID]roleOrder
}

type roleOrder struct {
	role Role
	at   Instant
}

func (s *roles) start(n *Node) {
	s.costs = map[DispatchGroup]*engineCosts{}
	s.ordered = map[EngineID]roleOrder{}
	s.requested = map[EngineID]roleOrder{}
	n.every(rolePlanEvery, func(n *Node) { s.planAndClaim(n) })
}

func (s *roles) costsOf(g DispatchGroup) *engineCosts { return getOrCreate(s.costs, g) }

// planAndClaim sends the role changes that the groups of this node need to the node
// that issues orders, and claims the right to issue them if this node has orders to
// send. An isolated node does not: orders go to engines directly, never through a relay.
func (s *roles) planAndClaim(n *Node) {
	if n.leaving || !n.uses(RoleChanges) {
		return
	}
	issuer := n.orderIssuer()
	if orders := s.plan(n); len(orders) > 0 && issuer != "" {
		n.send(issuer, RolesWanted{Orders: orders})
	}
	if s.claiming || n.now < s.notBefore || n.isolation.doubtful(n) || len(s.pendingOrders(n)) == 0 {
		return
	}
	s.claiming = true
	s.ticket = n.nextTicket()
	s.sentAt = n.now
	n.do(ClaimOrders{Ticket: s.ticket, At: s.claimsEnd})
}

// orderIssuer returns the live node that issues all role orders. Only one node
// claims the right, so that nodes rarely wait for each other's claims; if two nodes
// both consider themselves the issuer, the claim decides.
func (n *Node) orderIssuer() NodeID {
	return n.forward.groupOwner(n, DispatchGroup{Service: orderIssuerKey})
}

// handleRolesWanted records the role changes that the owner of a group requests.
func (s *roles) handleRolesWanted(n *Node, m RolesWanted) {
	for _, o := range m.Orders {
		s.requested[o.Engine] = roleOrder{role: o.Role, at: n.now}
	}
}

// pendingOrders returns the orders that are requested at present and not sent yet.
func (s *roles) pendingOrders(n *Node) []Order {
	var orders []Order
	for _, id := range sortedKeys(s.requested) {
		r := s.requested[id]
		u, ok := n.forward.upstreams.byID[id]
		if n.now.Sub(r.at) > roleRequestValid || !ok {
			delete(s.requested, id)
			continue
		}
		if !u.open(n.now) {
			continue
		}
		if s.expectedRole(n, u) != r.role {
			orders = append(orders, Order{Engine: id, Kind: SetRole, Role: r.role})
		}
	}
	return orders
}

// plan returns the orders that bring the groups owned by this node to the roles
// that their costs call for.
func (s *roles) plan(n *Node) []Order {
	var orders []Order
	for _, g := range s.measuredGroups() {
		c := s.costs[g]
		if n.now.Sub(c.roleChangedAt) < roleChangeInterval && c.roleChangedAt != 0 {
			continue
		}
		if c.promptTokenSeconds.count < minCostSamples || c.holdSeconds.count < minCostSamples || n.forward.groupOwner(n, g) != n.Self.ID {
			continue
		}
		orders = append(orders, s.planGroup(n, g, c)...)
	}
	return orders
}

// measuredGroups returns the groups with measured costs in a fixed order.
func (s *roles) measuredGroups() []DispatchGroup {
	return slices.SortedFunc(maps.Keys(s.costs), func(a, b DispatchGroup) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Index, b.Index))
	})
}

func (s *roles) planGroup(n *Node, g DispatchGroup, c *engineCosts) []Order {
	var prefillEngines, decodeEngines []*upstream
	for _, u := range n.forward.upstreams.byGroup[g] {
		if !u.usable() {
			continue
		}
		if s.expectedRole(n, u) == Prefill {
			prefillEngines = append(prefillEngines, u)
		} else {
			decodeEngines = append(decodeEngines, u)
		}
	}
	total := len(prefillEngines) + len(decodeEngines)
	if total < 2 {
		return nil
	}
	prefillShort := c.prefillShortAt != 0 && n.now.Sub(c.prefillShortAt) < shortageValid
	memoryShort := c.memoryShortAt != 0 && n.now.Sub(c.memoryShortAt) < shortageValid
	surplus := len(prefillEngines) - c.prefillTarget(total, prefillHeadroom)
	shortage := c.prefillTarget(total, prefillShortage) - len(prefillEngines)
	switch {
	case surplus > 0 && !prefillShort:
		return s.chooseEngines(n, prefillEngines, Decode, surplus)
	case shortage > 0 && prefillShort && !memoryShort, len(prefillEngines) == 0:
		return s.chooseEngines(n, decodeEngines, Prefill, max(shortage, 1))
	default:
		return nil
	}
}

// expectedRole returns the role that an engine has, or will have once its pending
// order is carried out.
func (s *roles) expectedRole(n *Node, u *upstream) Role {
	if o, ok := s.ordered[u.ID]; ok && n.now.Sub(o.at) < orderSettleTime {
		return o.role
	}
	return u.Role
}

// canServe reports whether an engine can serve a role now. An engine with a pending
// order can serve none: until the list shows the change, it may have its old role, be
// switching, or have its new role.
func (s *roles) canServe(n *Node, u *upstream, role Role) bool {
	if u.Role != role {
		return false
	}
	if o, ok := s.ordered[u.ID]; ok && n.now.Sub(o.at) < orderSettleTime {
		return false
	}
	return true
}

// chooseEngines selects up to count engines to switch, each from the failure domain
// that has the most of them left, so that as far as possible every domain keeps
// both roles.
func (s *roles) chooseEngines(n *Node, from []*upstream, to Role, count int) []Order {
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
			if _, settling := s.ordered[u.ID]; taken.Has(u.ID) || settling && n.now.Sub(s.ordered[u.ID].at) < orderSettleTime {
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

// handleOrdersClaimed sends the pending orders if the claim is still valid. After a
// pause of this node its lease may have expired.
func (s *roles) handleOrdersClaimed(n *Node, m OrdersClaimed) {
	if !s.claiming || m.Ticket != s.ticket {
		return
	}
	s.claiming = false
	s.claimsEnd = m.Offset + 1
	if n.now.Sub(s.sentAt) > claimValid || n.resumedAt > s.sentAt || m.Era > s.storeEra || n.isolation.doubtful(n) {
		return
	}
	orders := s.pendingOrders(n)
	n.broadcast(RolesOrdered{Orders: orders})
	for _, o := range orders {
		o.Fencing = fencingToken(s.storeEra, m.Offset)
		s.recordOrder(n, o)
		n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "order", Decode: o.Engine, Tokens: Tokens(o.Role)}})
		n.do(SendOrder{Order: o, Expires: s.sentAt.Add(claimValid)})
	}
}

// handleOrdersNotClaimed delays the next claim until the holder of the current one
// has finished. A claim without a reply may be in the log too.
func (s *roles) handleOrdersNotClaimed(n *Node, m OrdersNotClaimed) {
	if !s.claiming || m.Ticket != s.ticket {
		return
	}
	s.claiming = false
	if m.Known {
		s.claimsEnd = m.End
	}
	s.awaitOtherClaims(n)
}

// awaitOtherClaims delays the next claim until every claim made so far, and the orders
// issued under it, have expired.
func (s *roles) awaitOtherClaims(n *Node) {
	s.notBefore = n.now.Add(claimValid + n.Settings.OrderLease + claimMargin)
}

// handleEra handles a new era of the store. A claim of this node that has not been
// confirmed is abandoned.
func (s *roles) handleEra(n *Node, era StoreEra) {
	if era <= s.storeEra {
		return
	}
	s.storeEra = era
	s.claiming = false
	s.awaitOtherClaims(n)
}

// eraShift is the position of the store's era in a fencing token. Offsets of claims
// stay far below it.
const eraShift = 32

// fencingToken returns the fencing token of a claim. It increases with each claim: the
// offset within an era of the store, and across eras, where offsets go back, by the era.
func fencingToken(era StoreEra, claim Offset) Offset {
	return Offset(era)<<eraShift | (claim + 1)
}
