package statecheck

import "time"

// minLease is the shortest lease that the core asks an engine for while it does not know how long a
// prefill takes.
const minLease = 400 * time.Millisecond

// checkServices checks all services. Routes must have been checked before.
func (c *checker) checkServices(f *findings) {
	names := map[string]int{}
	for i, s := range c.state.Services {
		p := Place{Part: ServicePart, Row: i, Name: s.Name}
		_, repeated := names[s.Name]
		checkName(f, p, "service", names)
		f.warnIf(!repeated && s.Name != "" && !c.named[s.Name], p.at(NameField), "No route names the service, so that it gets no request.")
		c.checkConnections(f, p.at(MaxConnsField), s)
		if s.Engine != nil {
			c.checkEngine(f, p, s)
		}
	}
}

// checkConnections checks how many connections an upstream accepts. Each node may keep an unused one
// while another node runs a whole batch there.
func (c *checker) checkConnections(f *findings, p Place, s Service) {
	slots := 1
	if s.Engine != nil {
		slots = max(s.Engine.Slots, 1)
	}
	need := slots + max(c.deployment.Nodes-1, 0)
	switch {
	case s.MaxConns < 0:
		f.errorf(p, "The number of connections is below zero.")
	case s.MaxConns > 0 && s.MaxConns < need && c.deployment.Nodes > 0:
		f.warnf(p, "%d connections do not suffice for %d nodes, which need up to %d at one upstream.", s.MaxConns, c.deployment.Nodes, need)
	case s.MaxConns > 0 && s.MaxConns < need:
		f.warnf(p, "%d connections do not suffice for the %d streams of a batch.", s.MaxConns, need)
	}
}

func (c *checker) checkEngine(f *findings, p Place, s Service) {
	e := s.Engine
	f.errorIf(e.Slots < 0, p.at(SlotsField), "The number of slots is below zero.")
	f.errorIf(e.Memory <= 0, p.at(MemoryField), "The memory of an engine is missing or not above zero, so that no prompt fits into it.")
	f.errorIf(e.Stride < 0, p.at(StrideField), "The number of tokens in an event is below zero.")
	f.errorIf(e.HandleTTL < 0, p.at(HandleTTLField), "The time for which a KV cache is kept is below zero.")
	f.errorIf(e.RoleChange < 0, p.at(RoleChangeField), "The time of a change of the role is below zero.")
	lease := p.at(MaxLeaseField)
	switch objective := c.longestObjective(s.Name); {
	case e.MaxLease < 0:
		f.errorf(lease, "The longest lease is below zero.")
	case e.MaxLease > 0 && e.MaxLease < minLease:
		f.warnf(lease, "The longest lease of %v is below %v, which a prefill may take.", e.MaxLease, minLease)
	case e.MaxLease > 0 && e.MaxLease < objective:
		f.warnf(lease, "The longest lease of %v ends before the prefill of a stream that is on time may, after %v.", e.MaxLease, objective)
	}
}

// longestObjective returns the longest objective of the streams that a service gets.
func (c *checker) longestObjective(service string) time.Duration {
	var longest time.Duration
	for _, r := range c.state.Routes {
		if r.Kind == Stream && r.sendsTo(service) {
			longest = max(longest, r.Objective)
		}
	}
	return longest
}

// sendsTo reports whether requests of the route reach a service.
func (r Route) sendsTo(service string) bool {
	if r.Service == service {
		return true
	}
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
