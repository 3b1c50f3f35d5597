package profile

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
)

// defaultShare is the weight of customers where a profile states none.
const defaultShare = 1

// namePattern is what ids look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@/-]{0,62}$`)

const nameRule = "must be 1 to 63 letters, digits or ._@/-, and begin with a letter or digit"

// withDefaults fills in what an operator may leave out.
func withDefaults(p *core.Profile, given settings.Place) {
	if !given.Given("DefaultShare") {
		p.DefaultShare = defaultShare
	}
}

// verifier gathers the faults of one value.
type verifier struct{ faults Faults }

// want adds a fault to a field unless ok.
func (v *verifier) want(ok bool, field, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

func (v *verifier) name(field, name string) {
	v.want(namePattern.MatchString(name), field, nameRule)
}

func (v *verifier) share(field string, share float64) {
	v.want(share >= 0 && share <= 1, field, "must be from 0 to 1")
}

func (v *verifier) weight(field string, weight float64) {
	v.want(weight > 0 && weight <= 1, field, "must be above 0 and at most 1")
}

// pools checks a list of pools that a profile needs.
func (v *verifier) pools(field string, pools []core.PoolID) {
	v.want(len(pools) > 0, field, "must name at least one pool")
	v.distinct(field, pools)
}

func (v *verifier) distinct(field string, pools []core.PoolID) {
	seen := map[core.PoolID]bool{}
	for _, id := range pools {
		v.want(namePattern.MatchString(string(id)), field, "%q is no name: it %s", id, nameRule)
		v.want(!seen[id], field, "names %s twice", id)
		seen[id] = true
	}
}

// Verify finds all that is wrong with a profile by itself.
func Verify(p core.Profile) Faults {
	v := &verifier{}
	v.name("ID", string(p.ID))
	switch p.Kind {
	case core.Generate:
		v.generate(p)
	case core.Service:
		v.service(p)
	default:
		v.want(false, "Kind", "must be Generate or Service")
	}
	v.want(p.MaxWait >= 0, "MaxWait", "must not be negative")
	v.share("BorrowedShare", p.BorrowedShare)
	v.share("WasteWeight", p.WasteWeight)
	v.weight("DefaultShare", p.DefaultShare)
	for _, c := range slices.Sorted(maps.Keys(p.Shares)) {
		v.want(c != "", "Shares", "has a customer without a name")
		share := p.Shares[c]
		v.want(share > 0 && share <= 1, "Shares", "of %s must be above 0 and at most 1", c)
	}
	v.withdrawn(p)
	return v.faults
}

func (v *verifier) generate(p core.Profile) {
	v.name("Model", string(p.Model))
	v.pools("PrefillPools", p.PrefillPools)
	v.pools("DecodePools", p.DecodePools)
	v.want(len(p.ServicePools) == 0, "ServicePools", "is for profiles of kind Service")
	v.want(p.FirstTokenTarget > 0, "FirstTokenTarget", "must be positive")
	v.want(p.PerTokenTarget > 0, "PerTokenTarget", "must be positive")
	v.want(p.MaxTokens > 0, "MaxTokens", "must be positive")
	v.want(!p.Repeatable, "Repeatable", "is for profiles of kind Service")
}

func (v *verifier) service(p core.Profile) {
	v.pools("ServicePools", p.ServicePools)
	v.want(p.Model == "", "Model", "is for profiles of kind Generate")
	v.want(len(p.PrefillPools) == 0, "PrefillPools", "is for profiles of kind Generate")
	v.want(len(p.DecodePools) == 0, "DecodePools", "is for profiles of kind Generate")
	v.want(p.FirstTokenTarget >= 0, "FirstTokenTarget", "must not be negative")
	v.want(p.PerTokenTarget == 0, "PerTokenTarget", "is for profiles of kind Generate")
	v.want(p.MaxTokens == 0, "MaxTokens", "is for profiles of kind Generate")
}

func (v *verifier) withdrawn(p core.Profile) {
	v.distinct("Withdrawn", p.Withdrawn)
	named := slices.Concat(p.PrefillPools, p.DecodePools, p.ServicePools)
	for _, id := range p.Withdrawn {
		v.want(slices.Contains(named, id), "Withdrawn", "names %s, which is not one of the profile's pools", id)
	}
}

// VerifyPool finds all that is wrong with a pool by itself.
func VerifyPool(p core.Pool) Faults {
	v := &verifier{}
	v.name("ID", string(p.ID))
	v.name("Team", string(p.Team))
	switch p.Role {
	case core.Prefill, core.Decode:
		v.name("Model", string(p.Model))
	case core.Plain:
		v.want(p.Model == "", "Model", "is not for pools of plain services")
	default:
		v.want(false, "Role", "must be Prefill, Decode or Plain")
	}
	v.want(p.ReturnBy >= 0, "ReturnBy", "must not be negative")
	v.want(!p.Borrowed || p.ReturnBy > 0, "ReturnBy", "must be positive for a borrowed pool")
	return v.faults
}

// Check finds where a profile does not fit the pools in force. Its error is a
// [Faults].
func Check(p core.Profile, pools map[core.PoolID]core.Pool) error {
	return fit(p, pools).Err()
}

// CheckDocument is Check with the file and lines of the document.
func CheckDocument(d OneProfile, pools map[core.PoolID]core.Pool) error {
	return d.place.Locate(fit(d.Profile, pools)).Err()
}

func fit(p core.Profile, pools map[core.PoolID]core.Pool) Faults {
	v := &verifier{}
	v.members("PrefillPools", p.PrefillPools, core.Prefill, p.Model, pools)
	v.members("DecodePools", p.DecodePools, core.Decode, p.Model, pools)
	v.members("ServicePools", p.ServicePools, core.Plain, "", pools)
	return v.faults
}

func (v *verifier) members(field string, ids []core.PoolID, role core.Role, model core.ModelID, pools map[core.PoolID]core.Pool) {
	for _, id := range ids {
		pool, ok := pools[id]
		if !ok {
			v.want(false, field, "names the pool %s, which is not published", id)
			continue
		}
		v.want(pool.Role == role, field, "names the pool %s, whose role is %s and not %s", id, pool.Role, role)
		v.want(pool.Model == model, field, "names the pool %s, whose model is %q and not %q", id, pool.Model, model)
	}
}
