package statecheck

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Change is a difference between two states, in one sentence. From and To are the values before and
// after; they are empty where there is none, and for keys.
type Change struct {
	Place
	From, To string
	Text     string
}

// Compare returns what differs between the state in force and the next one, and what is wrong with the
// order of the two. Routes, services and tenants are compared by name. Of several with one name, the
// one that the next state changes is the first, as nodes see it for routes.
func Compare(before, after State) ([]Change, []Finding) {
	var c comparison
	var f findings
	version := Place{Field: VersionField}
	f.errorIf(after.Version <= before.Version, version,
		"The version %d is not higher than that in force, %d, so that nodes ignore the state.", after.Version, before.Version)
	c.number(version, "version", float64(before.Version), float64(after.Version), "")
	each(before.Routes, after.Routes, RoutePart, func(r Route) string { return r.Name }, c.route, func(p Place, r Route, added bool) {
		if added {
			c.add(p, "", r.path(), "The route %s is added, to %s.", r.path(), r.targets())
			return
		}
		c.add(p, r.path(), "", "The route %s is removed, which led to %s.", r.path(), r.targets())
	})
	each(before.Services, after.Services, ServicePart, func(s Service) string { return s.Name }, c.service, func(p Place, _ Service, added bool) {
		c.presence(p, "service", added)
	})
	c.tenants(before, after)
	c.limits(before.Limits, after.Limits)
	return c, f
}

// comparison collects changes.
type comparison []Change

func (c *comparison) add(p Place, from, to, format string, args ...any) {
	*c = append(*c, Change{Place: p, From: from, To: to, Text: fmt.Sprintf(format, args...)})
}

// each calls both for entries of the same name that are in both lists, and one for those in one list
// only. Places name the row in the list that has the entry, the later one if both have.
func each[T any](before, after []T, part Part, name func(T) string, both func(p Place, before, after T), one func(p Place, entry T, added bool)) {
	old, seen := map[string]T{}, map[string]bool{}
	for _, e := range before {
		if _, repeated := old[name(e)]; !repeated {
			old[name(e)] = e
		}
	}
	for i, e := range after {
		p := Place{Part: part, Row: i, Name: name(e)}
		if seen[p.Name] {
			continue
		}
		seen[p.Name] = true
		if earlier, ok := old[p.Name]; ok {
			both(p, earlier, e)
			continue
		}
		one(p, e, true)
	}
	for i, e := range before {
		if !seen[name(e)] {
			seen[name(e)] = true
			one(Place{Part: part, Row: i, Name: name(e)}, e, false)
		}
	}
}

// presence adds an entry that is in one state only.
func (c *comparison) presence(p Place, thing string, added bool) {
	if added {
		c.add(p, "", "present", "The %s is added.", thing)
		return
	}
	c.add(p, "present", "", "The %s is removed.", thing)
}

// text adds a change of a value.
func (c *comparison) text(p Place, thing, before, after string) {
	if before != after {
		c.add(p, before, after, "The %s is changed from %s to %s.", thing, orNone(before), orNone(after))
	}
}

// number adds a change of a number and says whether it is raised or lowered.
func (c *comparison) number(p Place, thing string, before, after float64, unit string) {
	if before != after {
		from, to := formatNumber(before), formatNumber(after)
		c.add(p, from, to, "The %s is %s from %s to %s%s.", thing, direction(after > before), from, to, unit)
	}
}

func (c *comparison) duration(p Place, thing string, before, after time.Duration) {
	if before != after {
		c.add(p, before.String(), after.String(), "The %s is %s from %v to %v.", thing, direction(after > before), before, after)
	}
}

// flag adds a change of whether something is so.
func (c *comparison) flag(p Place, before, after bool, on, off string) {
	if before == after {
		return
	}
	text := off
	if after {
		text = on
	}
	c.add(p, strconv.FormatBool(before), strconv.FormatBool(after), "%s", text)
}

func (c *comparison) route(p Place, before, after Route) {
	c.text(p.at(HostField), "host", before.Host, after.Host)
	c.text(p.at(PrefixField), "prefix", before.Prefix, after.Prefix)
	c.text(p.at(KindField), "kind", before.Kind.name(), after.Kind.name())
	if from, to := before.targets(), after.targets(); from != to {
		c.add(p.at(ServiceField), from, to, "The route is moved from %s to %s.", from, to)
	}
	c.duration(p.at(TimeoutField), "timeout", before.Timeout, after.Timeout)
	c.duration(p.at(ObjectiveField), "objective", before.Objective, after.Objective)
	c.duration(p.at(MaxPauseField), "longest pause", before.MaxPause, after.MaxPause)
	c.number(p.at(MaxRunsField), "number of attempts", float64(max(before.MaxRuns, 1)), float64(max(after.MaxRuns, 1)), "")
	c.number(p.at(PriorityField), "priority number, of which the lowest goes first,", float64(before.Priority), float64(after.Priority), "")
	c.flag(p.at(ResumableField), before.Resumable, after.Resumable, "Callers may resume streams now.", "Callers may not resume streams any more.")
	c.flag(p.at(PublicField), before.Public, after.Public, "The route needs no key any more.", "The route needs a key now.")
}

func (c *comparison) service(p Place, before, after Service) {
	c.number(p.at(MaxConnsField), "number of connections", float64(before.MaxConns), float64(after.MaxConns), "")
	if (before.Engine == nil) != (after.Engine == nil) {
		c.flag(p.at(EngineField), before.Engine != nil, after.Engine != nil,
			"The upstreams are model engines now.", "The upstreams are no model engines any more.")
		return
	}
	if before.Engine == nil {
		return
	}
	from, to := before.Engine, after.Engine
	c.number(p.at(SlotsField), "number of slots", float64(from.Slots), float64(to.Slots), "")
	c.number(p.at(MemoryField), "memory of an engine", float64(from.Memory), float64(to.Memory), " tokens")
	c.number(p.at(StrideField), "length of an event", float64(from.Stride), float64(to.Stride), " tokens")
	c.duration(p.at(MaxLeaseField), "longest lease", from.MaxLease, to.MaxLease)
	c.duration(p.at(HandleTTLField), "time for which a KV cache is kept", from.HandleTTL, to.HandleTTL)
	c.duration(p.at(RoleChangeField), "time of a change of the role", from.RoleChange, to.RoleChange)
}

func (c *comparison) tenants(before, after State) {
	c.flag(Place{Field: TenantsField}, before.HasTenants, after.HasTenants,
		"Callers need keys now, on all routes that are not public.",
		"Callers need no keys any more, and upstreams get the keys that they send.")
	each(before.Tenants, after.Tenants, TenantPart, func(t Tenant) string { return t.ID }, c.tenant, func(p Place, t Tenant, added bool) {
		p.Row, p.Name = t.Row, t.Name
		if added {
			c.add(p, "", "present", "The tenant is added, with %s and %s.", keys(len(t.Keys)), t.limit())
			return
		}
		c.add(p, "present", "", "The tenant is removed, with %s and %s.", keys(len(t.Keys)), t.limit())
	})
}

func (c *comparison) tenant(p Place, before, after Tenant) {
	p.Row, p.Name = after.Row, after.Name
	added, removed := missingFrom(before.Keys, after.Keys), missingFrom(after.Keys, before.Keys)
	if added > 0 || removed > 0 {
		c.add(p.at(KeysField), "", "", "%s added and %d removed, which leaves %d.", keys(added), removed, len(after.Keys))
	}
	c.text(p.at(PriorityField), "priority", before.priority(), after.priority())
	unit := " requests"
	if after.CountsTokens {
		unit = " tokens"
	}
	switch from, to := before.limit(), after.limit(); {
	case from == to:
	case before.Rate > 0 && after.Rate > 0 && before.CountsTokens == after.CountsTokens:
		c.number(p.at(RateField), "cap", before.Rate, after.Rate, unit+" a second")
	default:
		c.add(p.at(RateField), formatNumber(before.Rate), formatNumber(after.Rate), "The cap is changed from %s to %s.", from, to)
	}
	c.number(p.at(BurstField), "burst", before.Burst, after.Burst, unit)
	c.number(p.at(PlainTokensField), "usage of a plain request", before.PlainTokens, after.PlainTokens, " tokens")
}

func (c *comparison) limits(before, after Limits) {
	p := Place{Part: LimitsPart}
	c.number(p.at(HeaderBytesField), "limit of headers", float64(before.HeaderBytes), float64(after.HeaderBytes), " bytes")
	c.number(p.at(BodyBytesField), "limit of bodies", float64(before.BodyBytes), float64(after.BodyBytes), " bytes")
	c.duration(p.at(HeaderTimeoutField), "time for headers", before.HeaderTimeout, after.HeaderTimeout)
	c.duration(p.at(IdleTimeoutField), "time for idle connections", before.IdleTimeout, after.IdleTimeout)
}

// path returns what the route matches.
func (r Route) path() string { return r.Host + r.Prefix }

// targets returns the services of the route with their weights.
func (r Route) targets() string {
	var out []string
	if r.Service != "" {
		out = append(out, r.Service)
	}
	for _, s := range r.Split {
		out = append(out, s.Service+" by "+formatNumber(s.Weight))
	}
	return orNone(strings.Join(out, ", "))
}

// limit returns the cap of the tenant.
func (t Tenant) limit() string {
	switch {
	case t.Rate <= 0:
		return "no cap"
	case t.CountsTokens:
		return "a cap of " + formatNumber(t.Rate) + " tokens a second"
	default:
		return "a cap of " + formatNumber(t.Rate) + " requests a second"
	}
}

func (t Tenant) priority() string {
	if !t.HasPriority {
		return "that of the routes"
	}
	return strconv.Itoa(t.Priority)
}

func (k Kind) name() string {
	return [...]string{"unknown", "once", "repeatable", "stream"}[k]
}

// missingFrom returns how many of the keys are not among others.
func missingFrom(others, keys []Key) int {
	known := make(map[Key]bool, len(others))
	for _, k := range others {
		known[k] = true
	}
	n := 0
	for _, k := range keys {
		if !known[k] {
			n++
		}
	}
	return n
}

// keys returns a number of keys with the noun.
func keys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return strconv.Itoa(n) + " keys"
}

func direction(up bool) string {
	if up {
		return "raised"
	}
	return "lowered"
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
