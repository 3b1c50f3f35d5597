package experiment

import "daisyshed.dev/core"

// borrowedUsage samples how much of the borrowed decode memory each profile
// holds, as listed by the engines themselves.
type borrowedUsage struct {
	profileOf map[core.RequestID]core.ProfileID
	// pieces is the total memory of the borrowed decode engines.
	pieces  int
	engines []core.EngineID
	// maxShare is the largest memory share seen of a profile, divided by the
	// share that the profile may hold.
	maxShare float64
}

func (u *borrowedUsage) startSampling(r *Run) {
	borrowed := make(map[core.PoolID]bool)
	for _, set := range r.Scenario.Engines {
		borrowed[set.Pool.ID] = set.Pool.Borrowed && set.Pool.Role == core.Decode
	}
	for _, e := range r.world.Engines {
		if borrowed[e.Upstream.Pool] {
			u.engines = append(u.engines, e.Upstream.ID)
			u.pieces += e.Settings.Pieces
		}
	}
	if u.pieces == 0 {
		return
	}
	u.profileOf = make(map[core.RequestID]core.ProfileID, len(r.arrivals))
	for _, a := range r.arrivals {
		u.profileOf[a.Caller.Request.Request] = a.Caller.Request.Profile
	}
	r.world.Every(sampleEvery, func() { u.sample(r) })
}

func (u *borrowedUsage) sample(r *Run) {
	held := make(map[core.ProfileID]int)
	for _, id := range u.engines {
		for _, h := range r.world.Held(id) {
			held[u.profileOf[h.Allocation.Request]] += h.Tokens.Pieces()
		}
	}
	for _, p := range r.Scenario.Profiles {
		if p.BorrowedShare > 0 {
			u.maxShare = max(u.maxShare, float64(held[p.ID])/float64(u.pieces)/p.BorrowedShare)
		}
	}
}
