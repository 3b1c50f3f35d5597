package core

import "cmp"

// withDefaults returns the settings with the defaults where none are given.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	return Settings{
		HeartbeatEvery:      cmp.Or(s.HeartbeatEvery, d.HeartbeatEvery),
		SuspectAfter:        cmp.Or(s.SuspectAfter, d.SuspectAfter),
		DeadAfter:           cmp.Or(s.DeadAfter, d.DeadAfter),
		LogReadEvery:        cmp.Or(s.LogReadEvery, d.LogReadEvery),
		VMListEvery:         cmp.Or(s.VMListEvery, d.VMListEvery),
		PollEvery:           cmp.Or(s.PollEvery, d.PollEvery),
		StaleAfter:          cmp.Or(s.StaleAfter, d.StaleAfter),
		ResumeWithin:        cmp.Or(s.ResumeWithin, d.ResumeWithin),
		PromiseValid:        cmp.Or(s.PromiseValid, d.PromiseValid),
		StepTimeout:         cmp.Or(s.StepTimeout, d.StepTimeout),
		PlaceTimeout:        cmp.Or(s.PlaceTimeout, d.PlaceTimeout),
		KeyBatchEvery:       cmp.Or(s.KeyBatchEvery, d.KeyBatchEvery),
		KeyMargin:           cmp.Or(s.KeyMargin, d.KeyMargin),
		CallTimeout:         cmp.Or(s.CallTimeout, d.CallTimeout),
		ClaimLease:          cmp.Or(s.ClaimLease, d.ClaimLease),
		OrderFlight:         cmp.Or(s.OrderFlight, d.OrderFlight),
		KeyWritersPerRegion: cmp.Or(s.KeyWritersPerRegion, d.KeyWritersPerRegion),
		MaxQueue:            cmp.Or(s.MaxQueue, d.MaxQueue),
		EngineRequests:      cmp.Or(s.EngineRequests, d.EngineRequests),
	}
}
