package operator

import (
	"runtime"
	"syscall"
	"time"

	"daisyshed.dev/core"
)

// Status notes what a node's status shows.
func (m *Metrics) Status(s core.Status) {
	m.gauge("config_offset", float64(s.ConfigOffset))
	m.gauge("config_age_seconds", s.ConfigAge.Seconds())
	m.gauge("log_reachable", number(s.LogReachable))
	m.gauge("leaving", number(s.Leaving))
	m.gauge("requests_in_progress", float64(s.Requests))
	m.gauge("upstreams", float64(len(s.Upstreams)))
	m.gauge("publications_rejected", float64(len(s.Rejected)))
	m.members(s)
	m.books(s)
	m.checks(s)
	m.setTargets(s.Profiles)
	m.process()
}

func (m *Metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

func (m *Metrics) members(s core.Status) {
	var counts [core.Left + 1]int
	var ahead core.Offset
	for _, member := range s.Members {
		counts[member.Status]++
		ahead = max(ahead, member.ConfigOffset-s.ConfigOffset)
	}
	for status, n := range counts {
		tags := map[string]string{"status": core.MemberStatus(status).String()}
		m.scope.Tagged(tags).Gauge("members").Update(float64(n))
	}
	m.gauge("config_lag_offsets", float64(ahead))
}

// books compares the owner's books with the engines' reports.
func (m *Metrics) books(s core.Status) {
	var owned, unreachable, booked, held, unbooked, unheld int
	for _, u := range s.Upstreams {
		if !u.Owned {
			continue
		}
		owned++
		booked += u.Booked
		used := u.Pieces - u.FreePieces
		held += used
		unbooked += max(0, used-u.Booked)
		unheld += max(0, u.Booked-used)
		if !u.Reachable {
			unreachable++
		}
	}
	m.gauge("upstreams_owned", float64(owned))
	m.gauge("pieces_booked", float64(booked))
	m.gauge("pieces_reported_held", float64(held))
	m.gauge("pieces_held_not_booked", float64(unbooked))
	m.gauge("pieces_booked_not_held", float64(unheld))
	m.gauge("upstreams_unreachable", float64(unreachable))
}

func (m *Metrics) checks(s core.Status) {
	for p := core.MemoryReleased; p <= core.ConfigurationMonotone; p++ {
		scope := m.scope.Tagged(map[string]string{"promise": p.String()})
		scope.Gauge("invariant_checks").Update(float64(s.Checks[p]))
		scope.Gauge("invariant_violations").Update(float64(s.Violations[p]))
	}
}

// process notes what the whole process has used.
func (m *Metrics) process() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		m.gauge("process_cpu_seconds", seconds(usage.Utime)+seconds(usage.Stime))
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.gauge("process_memory_bytes", float64(memory.Sys-memory.HeapReleased))
}

func seconds(t syscall.Timeval) float64 { return time.Duration(t.Nano()).Seconds() }

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
