package core

import "time"

// budgetMargin is the part of a node's share of the retry budget that it
// uses; the rest covers nodes that see the same window at another instant.
const budgetMargin = 0.8

// RetryBudget bounds, for all nodes together, what a service receives beyond
// the first arrival of each request: Ratio times the requests of a Window, plus
// Slack.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// repeatBudget is this node's share of one service's budget. The shares of all
// nodes add up to the budget, because each takes the ratio of its own requests
// and an equal part of the slack.
type repeatBudget struct {
	requests []Instant
	extras   []Instant
}

// arrived notes a caller's request.
func (b *repeatBudget) arrived(now Instant, window time.Duration) {
	b.trim(now, window)
	b.requests = append(b.requests, now)
}

// take notes extra arrivals if the share has room for all of them.
func (b *repeatBudget) take(now Instant, arrivals int, limit RetryBudget, nodes int) bool {
	b.trim(now, limit.Window)
	room := budgetMargin * (limit.Ratio*float64(len(b.requests)) + limit.Slack/float64(max(nodes, 1)))
	if float64(len(b.extras)+arrivals) > room {
		return false
	}
	for range arrivals {
		b.extras = append(b.extras, now)
	}
	return true
}

func (b *repeatBudget) trim(now Instant, window time.Duration) {
	b.requests = since(b.requests, now.Add(-window))
	b.extras = since(b.extras, now.Add(-window))
}

// since drops the instants before from.
func since(list []Instant, from Instant) []Instant {
	i := 0
	for i < len(list) && list[i] < from {
		i++
	}
	return list[i:]
}
