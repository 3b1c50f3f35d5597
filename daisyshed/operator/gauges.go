package operator

import "daisyshed.dev/core"

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
	var owned, booked, held int
	for _, u := range s.Upstreams {
		if !u.Owned {
			continue
		}
		owned++
		booked += u.Booked
		held += u.Pieces - u.FreePieces
	}
	m.gauge("upstreams_owned", float64(owned))
	m.gauge("pieces_booked", float64(booked))
	m.gauge("pieces_reported_held", float64(held))
}

func (m *Metrics) checks(s core.Status) {
	for p := core.MemoryReleased; p <= core.ConfigurationMonotone; p++ {
		scope := m.scope.Tagged(map[string]string{"promise": p.String()})
		scope.Gauge("invariant_checks").Update(float64(s.Checks[p]))
		scope.Gauge("invariant_violations").Update(float64(s.Violations[p]))
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
