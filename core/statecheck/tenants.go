package statecheck

import "strings"

// checkTenants checks the tenants, as far as the decoder has not.
func (c *checker) checkTenants(f *findings) {
	closed := 0
	plain := false
	for _, r := range c.state.Routes {
		if !r.Public {
			closed++
		}
		plain = plain || r.Kind == Once || r.Kind == Repeatable
	}
	f.warnIf(c.state.HasTenants && len(c.state.Tenants) == 0 && closed > 0, Place{Field: TenantsField},
		"There is no tenant, so that all requests of %d routes that are not public are rejected.", closed)
	for _, t := range c.state.Tenants {
		p := Place{Part: TenantPart, Row: t.Row, Name: t.Name}
		f.warnIf(len(t.Keys) == 0, p.at(KeysField), "The tenant has no key, so that no caller can be it.")
		f.warnIf(t.Rate == 0 && t.Burst > 0, p.at(RateField), "A rate of zero sets no limit, so that the burst has no effect.")
		f.warnIf(!t.CountsTokens && t.PlainTokens > 0, p.at(PlainTokensField), "The tokens of a plain request have no effect, as requests are counted.")
		f.warnIf(!t.CountsTokens && t.Rate > 0 && strings.Contains(strings.ToLower(t.Unit), "token"), p.at(UnitField),
			"The unit is not the one that counts tokens, so that requests are counted.")
		if t.Rate > 0 {
			c.checkCap(f, p, t)
			f.warnIf(t.CountsTokens && t.PlainTokens == 0 && plain, p.at(PlainTokensField),
				"Requests without token counts count nothing, so that the cap does not limit those of plain routes.")
		}
	}
}

// checkCap checks that the cap of a tenant admits single requests. Nodes hold at most the burst or the
// usage of a second, whichever is more, in stock.
func (c *checker) checkCap(f *findings, p Place, t Tenant) {
	stock := max(t.Burst, t.Rate)
	burst := p.at(BurstField)
	switch largest := c.largestRequest(); {
	case !t.CountsTokens:
		f.warnIf(stock < 1, burst, "Neither the burst nor the usage of a second amounts to one request.")
	case stock < t.PlainTokens:
		f.warnf(burst, "Neither the burst nor the usage of a second, at most %v tokens, amounts to one plain request of %v.", stock, t.PlainTokens)
	case stock < float64(largest):
		f.warnf(burst, "Neither the burst nor the usage of a second, at most %v tokens, amounts to the largest request of %d tokens.", stock, largest)
	}
}

// largestRequest returns the size of the largest request to be served, in tokens: what the smallest
// engine can hold if it is not given.
func (c *checker) largestRequest() int {
	largest := c.deployment.LargestRequest
	if largest > 0 {
		return largest
	}
	for _, s := range c.state.Services {
		if s.Engine != nil && s.Engine.Memory > 0 && (largest == 0 || s.Engine.Memory < largest) {
			largest = s.Engine.Memory
		}
	}
	return largest
}
