package profile

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
)

// defaultShare is the weight of customers if a profile does not set DefaultShare.
const defaultShare = 1

// namePattern matches valid IDs, except those of customers, which may be any
// non-empty text.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@/-]{0,62}$`)

const nameRule = "must be 1 to 63 letters, digits or ._@/-, and begin with a letter or digit"

// setDefaults sets the defaults of optional fields that are not in the document.
func setDefaults(p *core.Profile, positions settings.Positions) {
	if !positions.Has("DefaultShare") {
		p.DefaultShare = defaultShare
	}
}

// validator collects the faults of one value.
type validator struct{ faults Faults }

// require adds a fault of a field unless ok.
func (v *validator) require(ok bool, field, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) requireName(field, name string) {
	v.require(namePattern.MatchString(name), field, nameRule)
}

func (v *validator) requireShare(field string, share float64) {
	v.require(share >= 0 && share <= 1, field, "must be from 0 to 1")
}

func (v *validator) requireWeight(field string, weight float64) {
	v.require(weight > 0 && weight <= 1, field, "must be above 0 and at most 1")
}

// requirePools checks a list of pools that must not be empty.
func (v *validator) requirePools(field string, pools []core.PoolID) {
	v.require(len(pools) > 0, field, "must name at least one pool")
	v.requireDistinct(field, pools)
}

// requireDistinct checks that the names of pools are valid and that none is listed
// twice.
func (v *validator) requireDistinct(field string, pools []core.PoolID) {
	seen := map[core.PoolID]bool{}
	for _, id := range pools {
		v.require(namePattern.MatchString(string(id)), field, "has the invalid name %q: it %s", id, nameRule)
		v.require(!seen[id], field, "lists %s twice", id)
		seen[id] = true
	}
}

// Validate returns all errors in a profile that can be found without the pools in
// force.
func Validate(p core.Profile) Faults {
	v := &validator{}
	v.requireName("ID", string(p.ID))
	switch p.Kind {
	case core.Generate:
		v.checkGenerate(p)
	case core.Service:
		v.checkService(p)
	default:
		v.require(false, "Kind", "must be Generate or Service")
	}
	v.require(p.MaxWait >= 0, "MaxWait", "must not be negative")
	v.requireShare("BorrowedShare", p.BorrowedShare)
	v.requireShare("WasteWeight", p.WasteWeight)
	v.requireWeight("DefaultShare", p.DefaultShare)
	for _, c := range slices.Sorted(maps.Keys(p.Shares)) {
		v.require(c != "", "Shares", "has an empty customer name")
		share := p.Shares[c]
		v.require(share > 0 && share <= 1, "Shares", "has an invalid weight for %s: it must be above 0 and at most 1", c)
	}
	v.checkWithdrawn(p)
	return v.faults
}

func (v *validator) checkGenerate(p core.Profile) {
	v.requireName("Model", string(p.Model))
	v.requirePools("PrefillPools", p.PrefillPools)
	v.requirePools("DecodePools", p.DecodePools)
	v.require(len(p.ServicePools) == 0, "ServicePools", "is only allowed for profiles of kind Service")
	v.require(p.FirstTokenTarget > 0, "FirstTokenTarget", "must be positive")
	v.require(p.PerTokenTarget > 0, "PerTokenTarget", "must be positive")
	v.require(p.MaxTokens > 0, "MaxTokens", "must be positive")
	v.require(!p.Repeatable, "Repeatable", "is only allowed for profiles of kind Service")
}

func (v *validator) checkService(p core.Profile) {
	v.requirePools("ServicePools", p.ServicePools)
	v.require(p.Model == "", "Model", "is only allowed for profiles of kind Generate")
	v.require(len(p.PrefillPools) == 0, "PrefillPools", "is only allowed for profiles of kind Generate")
	v.require(len(p.DecodePools) == 0, "DecodePools", "is only allowed for profiles of kind Generate")
	v.require(p.FirstTokenTarget >= 0, "FirstTokenTarget", "must not be negative")
	v.require(p.PerTokenTarget == 0, "PerTokenTarget", "is only allowed for profiles of kind Generate")
	v.require(p.MaxTokens == 0, "MaxTokens", "is only allowed for profiles of kind Generate")
}

func (v *validator) checkWithdrawn(p core.Profile) {
	v.requireDistinct("Withdrawn", p.Withdrawn)
	referenced := slices.Concat(p.PrefillPools, p.DecodePools, p.ServicePools)
	for _, id := range p.Withdrawn {
		v.require(slices.Contains(referenced, id), "Withdrawn", "lists %s, which is not one of the profile's pools", id)
	}
}

// ValidatePool returns all errors in a pool.
func ValidatePool(p core.Pool) Faults {
	v := &validator{}
	v.requireName("ID", string(p.ID))
	v.requireName("Team", string(p.Team))
	switch p.Role {
	case core.Prefill, core.Decode:
		v.requireName("Model", string(p.Model))
	case core.Plain:
		v.require(p.Model == "", "Model", "is not allowed for pools of role Plain")
	default:
		v.require(false, "Role", "must be Prefill, Decode or Plain")
	}
	v.require(p.ReturnBy >= 0, "ReturnBy", "must not be negative")
	v.require(!p.Borrowed || p.ReturnBy > 0, "ReturnBy", "must be positive for a borrowed pool")
	return v.faults
}

// CheckPools checks that the pools which a profile names are among the pools in force,
// with the right role and model. Its error is a [Faults].
func CheckPools(p core.Profile, pools map[core.PoolID]core.Pool) error {
	return checkPoolReferences(p, pools).Err()
}

// CheckDocumentPools is like [CheckPools], and its faults have the file and lines of d.
func CheckDocumentPools(d DocumentOfProfile, pools map[core.PoolID]core.Pool) error {
	return d.positions.Locate(checkPoolReferences(d.Profile, pools)).Err()
}

func checkPoolReferences(p core.Profile, pools map[core.PoolID]core.Pool) Faults {
	v := &validator{}
	v.checkPools("PrefillPools", p.PrefillPools, core.Prefill, p.Model, pools)
	v.checkPools("DecodePools", p.DecodePools, core.Decode, p.Model, pools)
	v.checkPools("ServicePools", p.ServicePools, core.Plain, "", pools)
	return v.faults
}

func (v *validator) checkPools(field string, ids []core.PoolID, role core.Role, model core.ModelID, pools map[core.PoolID]core.Pool) {
	for _, id := range ids {
		pool, ok := pools[id]
		if !ok {
			v.require(false, field, "names the pool %s, which is not published", id)
			continue
		}
		v.require(pool.Role == role, field, "names the pool %s, whose role is %s and not %s", id, pool.Role, role)
		v.require(pool.Model == model, field, "names the pool %s, whose model is %q and not %q", id, pool.Model, model)
	}
}
