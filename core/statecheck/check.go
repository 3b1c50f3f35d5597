package statecheck

import "unicode/utf8"

// Bounds that other packages keep and that a state has to fit into.
const (
	// maxNameBytes is the longest name in an upstream's entry; platform leaves out entries with longer
	// ones.
	maxNameBytes = 255
	// maxPriority bounds ranks, as platform does for those of tenants.
	maxPriority = 1 << 15
	// routeRanks is the number of route ranks that the core tells apart beside tenants.
	routeRanks = 16
	// maxSends is how many upstreams the core sends one request to.
	maxSends = 3
)

// Check returns what is wrong with a state: errors and warnings by part, in the order of the state.
func Check(s State, d Deployment) []Finding {
	var f findings
	f.errorIf(s.Version < 1, Place{Field: VersionField}, "The version is not above zero, and nodes take no state for newer by it.")
	c := checker{state: s, deployment: d, services: map[string]*Service{}, named: map[string]bool{}}
	for i := range s.Services {
		if _, repeated := c.services[s.Services[i].Name]; !repeated {
			c.services[s.Services[i].Name] = &s.Services[i]
		}
	}
	f.warnIf(len(s.Routes) == 0, Place{Field: RoutesField}, "There is no route, so that every request is rejected.")
	c.checkRoutes(&f)
	c.checkServices(&f)
	c.checkTenants(&f)
	c.checkLimits(&f)
	return f
}

// checker checks one state.
type checker struct {
	state      State
	deployment Deployment
	services   map[string]*Service
	// named are the services that routes name.
	named map[string]bool
}

// checkName checks the name of a route or service; first has the rows of earlier ones.
func checkName(f *findings, p Place, thing string, first map[string]int) {
	name := p.at(NameField)
	row, repeated := first[p.Name]
	switch {
	case p.Name == "":
		f.errorf(name, "The %s has no name.", thing)
	case repeated:
		f.errorf(name, "An earlier %s, that of row %d, has the same name.", thing, row)
	case len(p.Name) > maxNameBytes || !utf8.ValidString(p.Name):
		f.errorf(name, "The name is longer than %d bytes or no text, so that no upstream can name it.", maxNameBytes)
	}
	if !repeated {
		first[p.Name] = p.Row
	}
}

// checkLimits checks the limits of callers.
func (c *checker) checkLimits(f *findings) {
	p, l := Place{Part: LimitsPart}, c.state.Limits
	f.errorIf(l.HeaderBytes < 0, p.at(HeaderBytesField), "The size of headers is below zero.")
	f.errorIf(l.BodyBytes < 0, p.at(BodyBytesField), "The size of bodies is below zero.")
	f.errorIf(l.HeaderTimeout < 0, p.at(HeaderTimeoutField), "The time for headers is below zero.")
	f.errorIf(l.IdleTimeout < 0, p.at(IdleTimeoutField), "The time for idle connections is below zero.")
	f.warnIf(l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout, p.at(IdleTimeoutField),
		"Idle connections are closed after %v, before the %v that callers have for headers.", l.IdleTimeout, l.HeaderTimeout)
	bodies := l.BodyBytes
	if bodies == 0 {
		bodies = defaultBodyBytes
	}
	room := int64(bodyShare * float64(c.deployment.MemoryBytes))
	f.warnIf(room > 0 && bodies > room, p.at(BodyBytesField),
		"A body of %d bytes never fits into the %d bytes that a node with %d bytes of memory has for large bodies.",
		bodies, room, c.deployment.MemoryBytes)
}

const (
	// bodyShare is the share of a node's memory that one large body may take: a quarter is for bodies,
	// and large ones leave a quarter of that free.
	bodyShare = 0.25 * 0.75
	// defaultBodyBytes bounds bodies where the state does not.
	defaultBodyBytes = 8 << 20
)
