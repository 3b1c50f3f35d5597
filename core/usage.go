package core

import (
	"fmt"
	"slices"
	"time"

	"daisyshed.dev/core/usagecap"
)

const (
	// usageWait is how long a request may wait for a share of its tenant's cap. An owner must answer
	// its entry within ownerTimeout.
	usageWait = 45 * time.Millisecond
	// usageDeniedFor is how long requests of a tenant do not wait for a share after one did not suffice.
	usageDeniedFor = 250 * time.Millisecond
	// usageSelfDeniedFor is the same for shares that this node grants to itself.
	usageSelfDeniedFor = 10 * time.Millisecond
	// maxAwaitingUsage bounds the requests that wait for a share.
	maxAwaitingUsage = 256
	// minReturnShare is the share of what a node may admit a second that is assumed to be free for
	// rejected callers that return, however high the demand is.
	minReturnShare = 1.0 / 8
	// largeDecay is the factor by which the size of a large request decays with each smaller one.
	largeDecay = 0.98
	// usageUnknownRetry is about when a caller may retry at a node that knows no allocator.
	usageUnknownRetry = 400 * time.Millisecond
	// overCapLogEvery is the least time between two lines of the log on rejections of one tenant.
	overCapLogEvery = time.Second
	// maxUsageStatus bounds the tenants in a status.
	maxUsageStatus = 64
)

// UsageBounds say by how much all nodes together may exceed a usage cap: in any Window, the share Over
// of the cap and Slack units of it.
type UsageBounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// usage admits requests by the usage caps of their tenants. The node that places a request charges it
// to its share of the cap.
type usage struct {
	version int64
	// tenants are those with a cap.
	tenants map[TenantID]*tenantUsage
	// awaiting are the requests that wait for a share, in order of arrival.
	awaiting []*usageRequest
	// placedAt is when the node last placed a request of another node.
	placedAt  Instant
	reports   usageReports
	allocator usageAllocator
}

// tenantUsage is what this node admits for one tenant.
type tenantUsage struct {
	cap     UsageCap
	terms   usagecap.Terms
	bucket  *usagecap.Bucket
	demand  usagecap.Meter
	returns usagecap.Returns
	askedAt Instant
	// deniedAt is when a share last did not suffice for a large request, or for one that waited for it.
	deniedAt Instant
	// large is the size of a large request.
	large float64
	// admitted and refunded are what the node has admitted and given back, in units, and used the
	// highest difference of the two. rejected counts requests.
	admitted, refunded, used float64
	rejected                 uint64
	// elsewhere is what the tenant has used at other nodes, as far as is known.
	elsewhere float64
	// loggedAt is when a rejection was last logged, and unlogged how many there were since.
	loggedAt Instant
	unlogged int
}

// usageRequest is a request that is to be charged to the cap of its tenant.
type usageRequest struct {
	key    jobKey
	tenant TenantID
	amount float64
	// patience is how long the caller waits, and attempt its id of the request.
	patience time.Duration
	attempt  string
	profile  ProfileID
	until    Instant
	// done is called once it is decided whether the request is admitted.
	done func(n *Node, v usageVerdict)
}

// usageVerdict says whether a request is over the cap of its tenant, and if so, when its caller may
// retry. A request of a tenant without a cap is not charged.
type usageVerdict struct {
	charged, over bool
	retryAfter    time.Duration
}

func (s *usage) start() {
	s.tenants = map[TenantID]*tenantUsage{}
	s.reports.start()
	s.allocator.allocators = map[TenantID]*usagecap.Allocator{}
}

// configure applies the caps of the desired state, the bounds of the settings and the number of nodes.
func (s *usage) configure(n *Node) {
	if !n.Hosted {
		return
	}
	now, nodes := time.Duration(n.now), n.knownNodes()
	s.version = n.forward.state.Version
	known := Set[TenantID]{}
	for _, t := range n.forward.state.Tenants {
		if t.Cap.Rate <= 0 || known.Has(t.ID) {
			continue
		}
		known.Add(t.ID)
		terms := usagecap.Terms{
			Rate: t.Cap.Rate, Burst: t.Cap.Burst, Nodes: nodes,
			Window: n.Settings.Usage.Window, Over: n.Settings.Usage.Over, Slack: n.Settings.Usage.Slack,
		}
		u, ok := s.tenants[t.ID]
		if !ok {
			u = &tenantUsage{bucket: usagecap.NewBucket(now, terms)}
			s.tenants[t.ID] = u
		}
		if u.cap = t.Cap; u.terms != terms {
			u.terms = terms
			u.bucket.SetTerms(now, terms)
			if a, ok := s.allocator.allocators[t.ID]; ok {
				a.SetTerms(terms)
			}
		}
	}
	for id := range s.tenants {
		if !known.Has(id) {
			delete(s.tenants, id)
			delete(s.allocator.allocators, id)
		}
	}
	if nodes > 0 && len(s.tenants) > 0 && s.allocator.listedAt == 0 {
		s.allocator.listedAt = n.now
	}
	s.reports.run(n)
}

// knownNodes returns the highest number of nodes known, or zero before the list of nodes is.
func (n *Node) knownNodes() int {
	if !n.members.list.loaded {
		return 0
	}
	return max(n.members.maxNodes, len(n.members.byID)+1)
}

// amountOf returns what a request counts towards the cap of its tenant. Without token counts, prompt
// and output are zero.
func (s *usage) amountOf(id TenantID, prompt, output Tokens) Tokens {
	t, ok := s.tenants[id]
	switch {
	case !ok:
		return 0
	case t.cap.Unit == RequestUnit:
		return 1
	case prompt+output > 0:
		return prompt + output
	default:
		return t.cap.PlainTokens
	}
}

// admit charges a request to the cap of its tenant, or finds that it is over the cap. It calls done at
// once, or within usageWait if this node has no share yet.
func (s *usage) admit(n *Node, r *usageRequest) {
	t, ok := s.tenants[r.tenant]
	if !ok || r.amount <= 0 {
		r.done(n, usageVerdict{})
		return
	}
	now := time.Duration(n.now)
	t.demand.Add(now, r.amount)
	t.askedAt, t.large = n.now, max(r.amount, largeDecay*t.large)
	if s.take(n, t, r) {
		return
	}
	if s.reports.current == n.Self.ID {
		if t.deniedAt == 0 || n.now.Sub(t.deniedAt) >= usageSelfDeniedFor {
			s.grantToSelf(n, r.tenant, r.amount)
		}
		if !s.take(n, t, r) {
			t.deniedAt = n.now
			s.decide(n, t, r)
		}
		return
	}
	denied := t.deniedAt != 0 && n.now.Sub(t.deniedAt) < usageDeniedFor
	if denied || len(s.awaiting) == maxAwaitingUsage || !s.reports.answersWithin(n, usageWait) {
		if s.places(n) {
			s.reports.request(n)
		}
		s.decide(n, t, r)
		return
	}
	r.until = n.now.Add(usageWait)
	s.awaiting = append(s.awaiting, r)
	s.reports.request(n)
	n.afterFunc(usageWait, func(n *Node) {
		if i := slices.Index(s.awaiting, r); i >= 0 {
			s.awaiting = slices.Delete(s.awaiting, i, i+1)
			s.decide(n, t, r)
		}
	})
}

// take admits a request if the granted share suffices. A node that runs short of it asks for more.
func (s *usage) take(n *Node, t *tenantUsage, r *usageRequest) bool {
	if !t.bucket.Take(time.Duration(n.now), r.amount) {
		return false
	}
	s.admitted(n, t, r)
	if s.reports.current != n.Self.ID && s.usageOf(n, r.tenant, t).Short() {
		s.reports.request(n)
	}
	return true
}

func (s *usage) admitted(n *Node, t *tenantUsage, r *usageRequest) {
	t.admitted += r.amount
	t.used = max(t.used, t.admitted-t.refunded)
	r.done(n, usageVerdict{charged: true})
}

// decide admits a request by this node's own part of the cap, or rejects it.
func (s *usage) decide(n *Node, t *tenantUsage, r *usageRequest) {
	now := time.Duration(n.now)
	if t.bucket.TakeOwn(now, r.amount, n.rng.Float64()) {
		s.admitted(n, t, r)
		return
	}
	t.rejected++
	v := usageVerdict{over: true, retryAfter: s.retryAfter(n, t, r)}
	s.logOverCap(n, t, r, v)
	r.done(n, v)
}

// retryAfter returns when there should be room for a rejected request, after those that were told to
// come back before it.
func (s *usage) retryAfter(n *Node, t *tenantUsage, r *usageRequest) time.Duration {
	now, longest := time.Duration(n.now), fractionOf(r.patience, maxRetryShare)
	rate := t.bucket.Rate(now)
	if rate <= 0 {
		return min(n.jitter(usageUnknownRetry), longest)
	}
	free := max(rate-t.demand.Rate(now), minReturnShare*rate)
	step := min(r.amount/free, longest.Seconds())
	return t.returns.Assign(now, t.bucket.Wait(now, r.amount, longest), seconds(step), longest)
}

// logOverCap logs a rejection, unless one of the same tenant was logged just before.
func (s *usage) logOverCap(n *Node, t *tenantUsage, r *usageRequest, v usageVerdict) {
	if t.loggedAt != 0 && n.now.Sub(t.loggedAt) < overCapLogEvery {
		t.unlogged++
		return
	}
	now := time.Duration(n.now)
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "over-cap", Request: RequestID(r.attempt), Profile: r.profile, Customer: CustomerID(r.tenant),
		Reason: OverShare, RetryAfter: v.retryAfter, Tokens: Tokens(r.amount), Version: s.version,
		Detail: fmt.Sprintf("%.0f/s demanded, %.0f granted and %.0f/s expected by %s, cap %.0f/s, %d more since the last line",
			t.demand.Rate(now), t.bucket.Level(now), t.bucket.Rate(now), s.reports.current, t.cap.Rate, t.unlogged),
	}})
	t.loggedAt, t.unlogged = n.now, 0
}

// settle decides on the requests that wait for a share, after one has come. Those for which it does
// not suffice are rejected, unless another answer is expected in time.
func (s *usage) settle(n *Node) {
	waiting := s.awaiting
	s.awaiting = nil
	for _, r := range waiting {
		t, ok := s.tenants[r.tenant]
		switch {
		case !ok:
			r.done(n, usageVerdict{})
		case s.take(n, t, r):
		case s.reports.answersWithin(n, r.until.Sub(n.now)):
			s.awaiting = append(s.awaiting, r)
			s.reports.request(n)
		default:
			t.deniedAt = n.now
			s.decide(n, t, r)
		}
	}
}

// cancel drops a request that waits for a share.
func (s *usage) cancel(key jobKey) {
	s.awaiting = slices.DeleteFunc(s.awaiting, func(r *usageRequest) bool { return r.key == key })
}

// refund gives back what a request was charged that provably was not run.
func (s *usage) refund(n *Node, id TenantID, amount float64) {
	if t, ok := s.tenants[id]; ok && amount > 0 {
		t.bucket.Refund(time.Duration(n.now), amount)
		t.refunded += amount
	}
}

// usedElsewhere returns what a tenant has used at other nodes, in units of its cap, as far as this node
// knows: it grows as long as the process lives, and is zero for a tenant without a cap.
func (s *usage) usedElsewhere(id TenantID) float64 {
	if t, ok := s.tenants[id]; ok {
		return t.elsewhere
	}
	return 0
}

// places reports whether this node places the requests of other nodes.
func (s *usage) places(n *Node) bool {
	return s.placedAt != 0 && n.now.Sub(s.placedAt) < usagePlacerTime
}

// usageOf returns what the node reports of a tenant.
func (s *usage) usageOf(n *Node, id TenantID, t *tenantUsage) usagecap.Usage {
	now := time.Duration(n.now)
	u := usagecap.Usage{Demand: t.demand.Rate(now), Used: t.used, Level: t.bucket.Level(now)}
	if i := slices.IndexFunc(s.awaiting, func(r *usageRequest) bool { return r.tenant == id }); i >= 0 {
		u.Level -= s.awaiting[i].amount
	}
	if s.places(n) {
		u.Floor = t.terms.Floor(t.large)
	}
	return u
}

// TenantUsageStatus is what this node admits for a tenant with a usage cap, in units of the cap.
type TenantUsageStatus struct {
	Tenant TenantID
	// Cap is the rate of the cap, Share the rate at which the node expects to get parts of it, and
	// Level what it has left of them.
	Cap, Share, Level float64
	// Admitted is what the node has admitted since it started, Elsewhere what it knows that other nodes
	// have, and Rejected how many requests it has rejected over the cap.
	Admitted, Elsewhere float64
	Rejected            uint64
}

// status returns the usage of up to maxUsageStatus tenants.
func (s *usage) status(n *Node) []TenantUsageStatus {
	var list []TenantUsageStatus
	now := time.Duration(n.now)
	for _, id := range sortedKeys(s.tenants) {
		if len(list) == maxUsageStatus {
			break
		}
		t := s.tenants[id]
		list = append(list, TenantUsageStatus{
			Tenant: id, Cap: t.cap.Rate, Share: t.bucket.Rate(now), Level: t.bucket.Level(now), Admitted: t.used, Elsewhere: t.elsewhere, Rejected: t.rejected,
		})
	}
	return list
}
