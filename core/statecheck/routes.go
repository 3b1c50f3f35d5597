package statecheck

import (
	"math"
	"strings"
	"time"
)

// maxPatience is the longest time for which a caller is taken to wait.
const maxPatience = time.Hour

// checkRoutes checks all routes, and records the services that they name.
func (c *checker) checkRoutes(f *findings) {
	names, paths := map[string]int{}, map[[2]string]string{}
	for i, r := range c.state.Routes {
		p := Place{Part: RoutePart, Row: i, Name: r.Name}
		checkName(f, p, "route", names)
		checkMatch(f, p, r)
		path := [2]string{r.Host, r.Prefix}
		if first, hidden := paths[path]; hidden {
			f.errorf(p.at(PrefixField), "The route never matches: the earlier route %s has the same host and prefix.", first)
		} else {
			paths[path] = r.Name
		}
		checkTimes(f, p, r)
		c.checkRuns(f, p, r)
		c.checkTargets(f, p, r)
	}
}

// checkMatch checks the host and the prefix. Both are compared byte by byte with what callers send.
func checkMatch(f *findings, p Place, r Route) {
	host, prefix := p.at(HostField), p.at(PrefixField)
	switch {
	case r.Host == "":
		f.errorf(host, "The route has no host, and callers' requests have one.")
	case strings.ContainsAny(r.Host, "/*? \t"):
		f.errorf(host, "The host is no name with or without a port, and is compared with one as it stands.")
	case strings.ToLower(r.Host) != r.Host:
		f.warnf(host, "The host has upper-case letters, and is compared with what callers send as it stands.")
	}
	switch {
	case r.Prefix == "":
		f.warnf(prefix, "The route has no prefix and takes all paths of its host that no other route takes.")
	case !strings.HasPrefix(r.Prefix, "/"):
		f.errorf(prefix, "The prefix does not begin with a slash, as all paths do, and never matches.")
	case strings.ContainsAny(r.Prefix, "?* \t"):
		f.errorf(prefix, "The prefix has a character that is in no path, and is no pattern, so that it never matches.")
	case !strings.HasSuffix(r.Prefix, "/"):
		f.warnf(prefix, "The prefix does not end with a slash, so that longer names that begin like its last one match too.")
	}
}

// checkTimes checks the times of a route against their ranges and each other.
func checkTimes(f *findings, p Place, r Route) {
	switch {
	case r.Timeout <= 0:
		f.errorf(p.at(TimeoutField), "The timeout is missing or not above zero, so that every request ends at once.")
	case r.Timeout > maxPatience:
		f.warnf(p.at(TimeoutField), "The timeout of %v is longer than any caller is taken to wait, %v.", r.Timeout, maxPatience)
	}
	switch {
	case r.Objective <= 0:
		// Repeats are timed by the objective, and nodes do not come to rest with one of zero.
		f.errorf(p.at(ObjectiveField), "The objective is missing or not above zero, and nodes time repeats and late answers by it.")
	case r.Timeout > 0 && r.Timeout < r.Objective:
		f.warnf(p.at(TimeoutField), "The timeout of %v is below the objective of %v.", r.Timeout, r.Objective)
	}
	switch {
	case r.MaxPause < 0:
		f.errorf(p.at(MaxPauseField), "The longest pause is below zero.")
	case r.MaxPause > 0 && r.Kind != Stream && r.Kind != Unknown:
		f.warnf(p.at(MaxPauseField), "The longest pause has no effect on a route that is no stream.")
	case r.MaxPause > 0 && r.Timeout > 0 && r.MaxPause > r.Timeout:
		f.warnf(p.at(MaxPauseField), "The longest pause of %v is above the timeout of %v.", r.MaxPause, r.Timeout)
	case r.Kind == Stream && r.Resumable && r.MaxRuns > 1 && r.Timeout > 0 && r.StallAfter >= r.Timeout:
		f.warnf(p.at(TimeoutField), "The timeout of %v ends streams before a silent engine is replaced, after %v.", r.Timeout, r.StallAfter)
	}
}

// checkRuns checks how often a request may run, its priority and who may send it.
func (c *checker) checkRuns(f *findings, p Place, r Route) {
	once := r.Kind == Once || r.Kind == Stream && !r.Resumable
	runs := p.at(MaxRunsField)
	switch {
	case r.MaxRuns < 0:
		f.errorf(runs, "The number of attempts is below zero.")
	case once && r.MaxRuns > 1:
		f.warnf(runs, "%d attempts are allowed, but requests of this kind run at most once.", r.MaxRuns)
	case r.MaxRuns > maxSends:
		f.warnf(runs, "%d attempts are allowed, but a request is sent to at most %d upstreams.", r.MaxRuns, maxSends)
	}
	f.warnIf(r.Resumable && r.Kind != Stream && r.Kind != Unknown, p.at(ResumableField),
		"Resumable has no effect on a route that is no stream.")
	f.warnIf(r.Public && !c.state.HasTenants, p.at(PublicField),
		"Public has no effect: without tenants no route needs a key.")
	f.errorIf(r.Priority < 0 || r.Priority > maxPriority, p.at(PriorityField),
		"The priority of %d is not from 0 to %d.", r.Priority, maxPriority)
	f.warnIf(c.state.HasTenants && r.Priority >= routeRanks && r.Priority <= maxPriority, p.at(PriorityField),
		"Beside tenants, priorities of routes above %d count as %d.", routeRanks-1, routeRanks-1)
}

// checkTargets checks the services of a route and their weights.
func (c *checker) checkTargets(f *findings, p Place, r Route) {
	if r.Service == "" && len(r.Split) == 0 {
		f.errorf(p.at(ServiceField), "The route names no service.")
		return
	}
	given := map[string]bool{}
	total := 0.0
	if r.Service != "" {
		c.checkTarget(f, p.at(ServiceField), r.Service)
		given[r.Service], total = true, 1
		f.warnIf(len(r.Split) > 0, p.at(SplitField), "The service that the route names beside its split counts as a share of weight 1.")
	}
	split := p.at(SplitField)
	for _, s := range r.Split {
		total += s.Weight
		f.warnIf(given[s.Service], split, "The split names the service %s more than once.", s.Service)
		given[s.Service] = true
		f.errorIf(s.Weight < 0, split, "The share of the service %s has a weight below zero.", s.Service)
		c.checkTarget(f, split, s.Service)
	}
	if len(r.Split) > 0 && (total <= 0 || math.IsInf(total, 0)) {
		f.errorf(split, "The weights of the split add up to %v, which divides nothing.", total)
		return
	}
	for _, s := range r.Split {
		f.warnIf(s.Weight == 0, split, "The service %s has a share of zero and gets no request by this route.", s.Service)
	}
}

// checkTarget checks that a service which a route names exists.
func (c *checker) checkTarget(f *findings, p Place, service string) {
	c.named[service] = true
	_, known := c.services[service]
	f.errorIf(service == "", p, "A share names no service.")
	f.errorIf(service != "" && !known, p, "There is no service %s.", service)
}
