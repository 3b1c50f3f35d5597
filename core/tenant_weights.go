package core

import "cmp"

// defaultTenantWeight is the weight of a tenant without a usage cap, in tokens a second, if no
// tenant has a cap on tokens.
const defaultTenantWeight = 10_000

// tenantWeights are the parts of the capacity to which tenants are entitled, relative to each
// other: their usage caps, in units a second. Tenants without one have the mean of the caps
// on tokens.
type tenantWeights struct {
	caps     map[TenantID]UsageCap
	standard float64
}

func newTenantWeights(tenants []Tenant) tenantWeights {
	w := tenantWeights{caps: map[TenantID]UsageCap{}, standard: defaultTenantWeight}
	sum, count := 0.0, 0
	for _, t := range tenants {
		if t.Cap.Rate <= 0 {
			continue
		}
		w.caps[t.ID] = t.Cap
		if t.Cap.Unit == TokenUnit {
			sum += t.Cap.Rate
			count++
		}
	}
	if count > 0 {
		w.standard = sum / float64(count)
	}
	return w
}

// of returns the weight of a tenant and the cost of a request of it, in the same units. usage
// is what the request counts towards the tenant's cap, zero if its entry does not say so, and
// memory the tokens that it needs, zero for plain requests.
func (w tenantWeights) of(t TenantID, usage, memory Tokens) (weight, cost float64) {
	c, capped := w.caps[t]
	if capped && c.Unit == RequestUnit {
		return c.Rate, 1
	}
	if !capped {
		c.Rate = w.standard
	}
	return c.Rate, float64(max(cmp.Or(usage, memory, c.PlainTokens), 1))
}

// rankedServices returns the services whose routes have different ranks.
func rankedServices(routes []Route) Set[ServiceID] {
	ranks, ranked := map[ServiceID]int{}, Set[ServiceID]{}
	for _, r := range routes {
		for _, share := range r.Split {
			if rank, seen := ranks[share.Service]; seen && rank != r.Rank {
				ranked.Add(share.Service)
			}
			ranks[share.Service] = r.Rank
		}
	}
	return ranked
}

// divides reports whether the room of a service is divided by tenants and ranks: if the desired
// state has tenants, or routes of the service differ in rank. Other services are served as if
// neither existed.
func (s *forwards) divides(id ServiceID) bool { return s.state.HasTenants || s.ranked.Has(id) }

// dividesAny reports whether the room of any service is divided.
func (s *forwards) dividesAny() bool { return s.state.HasTenants || len(s.ranked) > 0 }
