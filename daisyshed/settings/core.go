package settings

import "daisyshed.dev/core"

// Self returns this node as its peers see it.
func (s Settings) Self() core.NodeInfo {
	return core.NodeInfo{
		ID:            s.Node,
		Domain:        s.Domain,
		Region:        s.Region,
		PeerAddress:   s.PeerAddress,
		CallerAddress: s.CallerAddress,
	}
}

// InitialVMList returns the seeds as the VM list that the node starts with.
func (s Settings) InitialVMList() core.VMList {
	var list core.VMList
	for _, seed := range s.Seeds {
		list.Nodes = append(list.Nodes, core.NodeInfo{
			ID:            seed.Node,
			Domain:        seed.Domain,
			Region:        seed.Region,
			PeerAddress:   seed.PeerAddress,
			CallerAddress: seed.CallerAddress,
		})
	}
	return list
}

// Core returns the settings of the decision core.
func (s Settings) Core() core.Settings {
	p := s.Periods
	return core.Settings{
		HeartbeatEvery:      p.HeartbeatEvery,
		SuspectAfter:        p.SuspectAfter,
		DeadAfter:           p.DeadAfter,
		LogReadEvery:        p.LogReadEvery,
		VMListEvery:         p.VMListEvery,
		PollEvery:           p.PollEvery,
		StaleAfter:          p.StaleAfter,
		ResumeWithin:        p.ResumeWithin,
		PromiseValid:        p.PromiseValid,
		StepTimeout:         p.StepTimeout,
		PlaceTimeout:        p.PlaceTimeout,
		KeyBatchEvery:       p.KeyBatchEvery,
		KeyMargin:           p.KeyMargin,
		CallTimeout:         p.CallTimeout,
		ClaimLease:          p.ClaimLease,
		OrderFlight:         p.OrderFlight,
		KeyWritersPerRegion: s.Limits.KeyWritersPerRegion,
		MaxQueue:            s.Limits.Queue,
		CheckEvery:          core.DefaultSettings().CheckEvery,
		Retries:             core.DefaultSettings().Retries,
		Usage:               core.DefaultSettings().Usage,
		DrainDelay:          core.DefaultSettings().DrainDelay,
		StateDelay:          core.DefaultSettings().StateDelay,
		OrderLease:          core.DefaultSettings().OrderLease,
		AddressLifetime:     core.DefaultSettings().AddressLifetime,
	}
}
