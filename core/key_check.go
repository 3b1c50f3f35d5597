package core

// KeyOutcome is the outcome of the check of a request's key.
type KeyOutcome int

// The outcomes of the check of a key.
const (
	// NoKeyNeeded means that the desired state has no tenants, or that the route is public and the
	// request has no key of a tenant.
	NoKeyNeeded KeyOutcome = iota
	// KeyKnown means that the key is that of a tenant.
	KeyKnown
	// KeyUnknown means that the key is missing, or that the latest desired state does not have it.
	KeyUnknown
	// KeyUnproven means that this node's desired state does not have the key, but that a later one
	// might.
	KeyUnproven
)

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

// find returns the tenant whose key a request carries.
func (t tenantTable) find(credential Option[CredentialDigest]) (*Tenant, bool) {
	key, ok := credential.Get()
	if !ok {
		return nil, false
	}
	tenant, ok := t[key]
	return tenant, ok
}

// checkKey finds the tenant of a request, and rejects the request if its route needs a key that it
// does not have. It reports whether the request may go on.
func (s *forwards) checkKey(n *Node, f *forwardedRequest) bool {
	if !s.state.HasTenants {
		return true
	}
	f.hidesKey = true
	tenant, known := s.tenants.find(f.Credential)
	switch {
	case known:
		f.keyOutcome, f.tenant, f.tenantRank = KeyKnown, tenant.ID, tenant.Rank
	case f.route.Public:
		f.keyOutcome = NoKeyNeeded
	case s.knowsLatest(n):
		f.keyOutcome = KeyUnknown
		s.reject(n, f, UnknownKey, 0)
		return false
	default:
		// A later version may have the key.
		f.keyOutcome = KeyUnproven
		s.reject(n, f, StaleConfiguration, retryAfter(f.Patience, n.rng.Float64()))
		return false
	}
	return true
}

// ownRank returns the rank of the request's tenant if it has one, else that of the route.
func (f *forwardedRequest) ownRank() int {
	if rank, ok := f.tenantRank.Get(); ok {
		return rank
	}
	return f.route.Rank
}

// mustHideKey reports whether the caller's key must not reach upstreams: the state by which the
// request was admitted has tenants, or the present one.
func (s *forwards) mustHideKey(f *forwardedRequest) bool { return f.hidesKey || s.state.HasTenants }
