package operator

import (
	"runtime"
	"syscall"
	"time"

	"daisyshed.dev/core"
	"github.com/uber-go/tally/v4"
)

// RecordStatus sets the gauges that come from a node's status.
func (m *Metrics) RecordStatus(s core.Status) {
	m.setGauge("config_offset", float64(s.ConfigOffset))
	m.setGauge("config_age_seconds", s.ConfigAge.Seconds())
	m.setGauge("log_reachable", boolValue(s.LogReachable))
	m.setGauge("leaving", boolValue(s.Leaving))
	m.setGauge("isolated", boolValue(s.Node.Isolated))
	m.setGauge("requests_in_progress", float64(s.Requests))
	m.setGauge("upstreams", float64(len(s.Upstreams)))
	m.setGauge("publications_rejected", float64(len(s.Rejected)))
	m.setGauge("crash_suspects", float64(s.Suspects))
	m.setGauge("crash_suspects_blocked", float64(s.Blocked))
	m.setMembers(s)
	m.setLimits(s.Limits)
	m.setUsage(s.Usage)
	m.setGauge("usage_parts_allocated", float64(s.UsageParts))
	m.setProofAge(s.ProofAge)
	m.setTenants(s)
	m.setAllocations(s)
	m.setInvariants(s)
	m.setTargets(s.Profiles)
	m.setProcessUsage()
	m.relays.setGauges(m.scope)
}

func (m *Metrics) setGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// setMembers sets the number of members by status, and how far this node's
// configuration lags behind the most recent one of a member.
func (m *Metrics) setMembers(s core.Status) {
	var counts [core.Left + 1]int
	var lag core.Offset
	for _, member := range s.Members {
		counts[member.Status]++
		lag = max(lag, member.ConfigOffset-s.ConfigOffset)
	}
	for status, n := range counts {
		tags := map[string]string{"status": core.MemberStatus(status).String()}
		m.scope.Tagged(tags).Gauge("members").Update(float64(n))
	}
	m.setGauge("config_lag_offsets", float64(lag))
}

// setProofAge sets how old the proof is that the desired state is the latest; -1 without one.
func (m *Metrics) setProofAge(age core.Option[time.Duration]) {
	seconds := -1.0
	if age, ok := age.Get(); ok {
		seconds = age.Seconds()
	}
	m.setGauge("desired_state_proof_age_seconds", seconds)
}

// setTenants sets the number of tenants and of faults in their list, and of the checks of keys by
// their outcome.
func (m *Metrics) setTenants(s core.Status) {
	m.setGauge("tenants_in_force", float64(s.Tenants.Tenants))
	m.setGauge("tenant_faults", float64(s.Tenants.Faults))
	for outcome, n := range s.KeyChecks {
		tags := map[string]string{"outcome": core.KeyOutcome(outcome).String()}
		m.scope.Tagged(tags).Gauge("key_checks").Update(float64(n))
	}
}

// setLimits sets the limits that upstreams have named, in requests a second. The gauge of an
// upstream whose limit has ended is set to -1, as no upstream names it.
func (m *Metrics) setLimits(limits []core.LimitStatus) {
	m.setGauge("upstream_limits", float64(len(limits)))
	current := map[core.EngineID]bool{}
	for _, l := range limits {
		current[l.Engine] = true
		m.limitGauge(l.Engine).Update(float64(l.Rate))
	}
	for id := range m.limited {
		if !current[id] {
			m.limitGauge(id).Update(limitEnded)
		}
	}
	m.limited = current
}

// limitEnded is the value of the gauge of an upstream that names no limit any more.
const limitEnded = -1

func (m *Metrics) limitGauge(id core.EngineID) tally.Gauge {
	return m.scope.Tagged(map[string]string{"upstream": string(id)}).Gauge("upstream_limit_per_second")
}

// setUsage sets what this node admits for tenants with a usage cap, in units of the cap, and how many
// requests it has rejected over the cap. The share of a tenant whose cap has ended is set to zero.
func (m *Metrics) setUsage(list []core.TenantUsageStatus) {
	current := map[core.TenantID]bool{}
	for _, u := range list {
		if _, known := m.capped[u.Tenant]; !known && len(m.capped) >= maxTenants {
			continue
		}
		current[u.Tenant] = true
		scope := m.tenantScope(u.Tenant)
		scope.Gauge("usage_cap_per_second").Update(u.Cap)
		scope.Gauge("usage_share_per_second").Update(u.Share)
		scope.Gauge("usage_share_left").Update(u.Level)
		scope.Gauge("usage_admitted").Update(u.Admitted)
		scope.Gauge("usage_rejected_requests").Update(float64(u.Rejected))
	}
	for id, capped := range m.capped {
		if capped && !current[id] {
			m.tenantScope(id).Gauge("usage_cap_per_second").Update(0)
			m.tenantScope(id).Gauge("usage_share_per_second").Update(0)
		}
		m.capped[id] = current[id]
	}
	for id := range current {
		m.capped[id] = true
	}
}

// maxTenants bounds the tenants for which a process reports metrics.
const maxTenants = 256

func (m *Metrics) tenantScope(id core.TenantID) tally.Scope {
	return m.scope.Tagged(map[string]string{"tenant": string(id)})
}

// setAllocations sets the gauges that compare the allocation table of the upstreams
// that this node owns with the memory that their engines report as allocated.
func (m *Metrics) setAllocations(s core.Status) {
	var owned, unreachable, booked, held, heldNotBooked, bookedNotHeld int
	for _, u := range s.Upstreams {
		if !u.Owned {
			continue
		}
		owned++
		booked += u.Booked
		used := u.Pieces - u.FreePieces
		held += used
		heldNotBooked += max(0, used-u.Booked)
		bookedNotHeld += max(0, u.Booked-used)
		if !u.Reachable {
			unreachable++
		}
	}
	m.setGauge("upstreams_owned", float64(owned))
	m.setGauge("pieces_booked", float64(booked))
	m.setGauge("pieces_reported_held", float64(held))
	m.setGauge("pieces_held_not_booked", float64(heldNotBooked))
	m.setGauge("pieces_booked_not_held", float64(bookedNotHeld))
	m.setGauge("upstreams_unreachable", float64(unreachable))
}

// setInvariants sets the number of checks and violations of each invariant.
func (m *Metrics) setInvariants(s core.Status) {
	for p := core.MemoryReleased; p <= core.ConfigurationMonotone; p++ {
		scope := m.scope.Tagged(map[string]string{"promise": p.String()})
		scope.Gauge("invariant_checks").Update(float64(s.Checks[p]))
		scope.Gauge("invariant_violations").Update(float64(s.Violations[p]))
	}
}

// setProcessUsage sets the CPU time and memory used by the whole process.
func (m *Metrics) setProcessUsage() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		m.setGauge("process_cpu_seconds", seconds(usage.Utime)+seconds(usage.Stime))
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.setGauge("process_memory_bytes", float64(memory.Sys-memory.HeapReleased))
}

func seconds(t syscall.Timeval) float64 { return time.Duration(t.Nano()).Seconds() }

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
