package core

import (
	"fmt"
	"strings"
)

// KeyOutcome is the outcome of the check of a request's key.
type KeyOutcome int

// The outcomes of the check of a key.
const (
	// NoKeyNeeded means that the route is public and that the request has no key of a tenant.
	NoKeyNeeded KeyOutcome = iota
	// KeyKnown means that the key is that of a tenant.
	KeyKnown
	// KeyUnknown means that the key is missing, or that the latest desired state does not have it.
	KeyUnknown
	// KeyNotYetKnown means that this node's desired state does not have the key, but that a later one
	// might.
	KeyNotYetKnown
	// KeyUnproven means that this node's desired state has the key, but that a later one might not.
	KeyUnproven
	numKeyOutcomes
)

// KeyChecks counts the checks of keys by their outcome.
type KeyChecks [numKeyOutcomes]uint64

// tenantTable finds tenants by the digests of their keys.
type tenantTable map[CredentialDigest]*Tenant

// newTenantTable returns the table of tenants. A key that several tenants have is that of the first.
func newTenantTable(tenants []Tenant) tenantTable {
	t := tenantTable{}
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			if _, taken := t[key]; !taken {
				t[key] = &tenants[i]
			}
		}
	}
	return t
}

// checkKey finds the tenant of a request, and rejects the request if its route needs a key that it
// does not have. It reports whether the request may go on.
func (s *forwards) checkKey(n *Node, f *forwardedRequest) bool {
	if !s.state.HasTenants {
		return true
	}
	f.hidesKey = true
	credential, given := f.Credential.Get()
	tenant := s.tenants[credential]
	outcome := s.keyOutcome(n, f.route, given && tenant != nil)
	s.keyChecks[outcome]++
	switch outcome {
	case NoKeyNeeded:
		return true
	case KeyKnown:
		f.tenant, f.tenantRank = tenant.ID, tenant.Rank
		return true
	}
	f.keyProblem = ", " + outcome.String()
	if !given {
		f.keyProblem += " (none given)"
	}
	if outcome == KeyUnknown {
		s.reject(n, f, UnknownKey, 0)
		return false
	}
	s.reject(n, f, StaleConfiguration, retryAfter(f.Patience, n.rng.Float64()))
	return false
}

// keyOutcome returns the outcome of the check of a key that this node's state has, or has not. A later
// state may differ if this one is not proved to be the latest.
func (s *forwards) keyOutcome(n *Node, route Route, known bool) KeyOutcome {
	outdated := known && s.keysOutdated(n)
	switch {
	case known && !outdated:
		return KeyKnown
	case route.Public:
		return NoKeyNeeded
	case outdated:
		return KeyUnproven
	case !s.knowsLatest(n):
		return KeyNotYetKnown
	default:
		return KeyUnknown
	}
}

// routeRanks is the number of route ranks that are told apart within one rank of tenants.
const routeRanks = 16

// ownRank returns the rank of the request. The tenant's rank decides first and the route's decides
// between requests of equal tenants, so that kinds of requests keep their order where all tenants have
// the same rank. The route's rank stands in for that of a tenant without one.
func (s *forwards) ownRank(f *forwardedRequest) int {
	route := f.route.Rank
	if !s.state.HasTenants {
		return route
	}
	tenant, ok := f.tenantRank.Get()
	if !ok {
		tenant = route
	}
	return tenant*routeRanks + min(max(route, 0), routeRanks-1)
}

// mustHideKey reports whether the caller's key must not reach upstreams: the state by which the
// request was admitted has tenants, or the present one.
func (s *forwards) mustHideKey(f *forwardedRequest) bool { return f.hidesKey || s.state.HasTenants }

// maxLoggedFaults bounds the faults of a tenant list that a decision names.
const maxLoggedFaults = 8

// logTenants logs the tenants of a desired state that has just been applied, and what is wrong with
// them.
func (s *forwards) logTenants(n *Node) {
	if !s.state.HasTenants {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d keys", len(s.tenants))
	faults := s.state.TenantFaults
	for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
		fmt.Fprintf(&b, "; row %d %q: %s", f.Row, f.Tenant, f.Problem)
	}
	if more := len(faults) - maxLoggedFaults; more > 0 {
		fmt.Fprintf(&b, "; %d more", more)
	}
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "tenants", Version: s.state.Version, Tokens: Tokens(len(s.state.Tenants)), Detail: b.String(),
	}})
}

// TenantsInForce describes the tenants of the desired state that is in force.
type TenantsInForce struct {
	// KeysNeeded says that the state has tenants, so that callers need keys.
	KeysNeeded            bool
	Tenants, Keys, Faults int
}

func (s *forwards) tenantsInForce() TenantsInForce {
	return TenantsInForce{
		KeysNeeded: s.state.HasTenants, Tenants: len(s.state.Tenants), Keys: len(s.tenants), Faults: len(s.state.TenantFaults),
	}
}
