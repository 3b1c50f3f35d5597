package core

import (
	"slices"
	"time"
)

// budgetMargin is the part of its share of the retry budget that a node uses.
// The rest allows for windows that do not begin at the same instant on all
// nodes.
const budgetMargin = 0.8

// RetryBudget bounds, for all nodes together, how many requests a service
// receives beyond the first arrival of each: Ratio times the requests of a
// Window, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// retryBudgetShare is this node's share of one service's retry budget. The
// shares of all nodes add up to the budget, because each node takes the ratio
// of its own requests and an equal part of the slack.
type retryBudgetShare struct {
	requests []Instant
	retries  []Instant
}

// addRequest records a caller's request.
func (b *retryBudgetShare) addRequest(now Instant, window time.Duration) {
	b.trim(now, window)
	b.requests = append(b.requests, now)
}

// takeRetries records extra arrivals if the share has room for all of them, and
// reports whether it has.
func (b *retryBudgetShare) takeRetries(now Instant, arrivals int, limit RetryBudget, nodes int) bool {
	b.trim(now, limit.Window)
	room := budgetMargin * (limit.Ratio*float64(len(b.requests)) + limit.Slack/float64(max(nodes, 1)))
	if float64(len(b.retries)+arrivals) > room {
		return false
	}
	for range arrivals {
		b.retries = append(b.retries, now)
	}
	return true
}

// returnRetries takes back up to the given number of the extra arrivals that were recorded
// at an instant, because they did not take place. It takes back none that have left the
// window meanwhile, and none if the number is negative.
func (b *retryBudgetShare) returnRetries(at Instant, arrivals int) {
	b.retries = slices.DeleteFunc(b.retries, func(recorded Instant) bool {
		if recorded != at || arrivals <= 0 {
			return false
		}
		arrivals--
		return true
	})
}

func (b *retryBudgetShare) trim(now Instant, window time.Duration) {
	b.requests = dropBefore(b.requests, now.Add(-window))
	b.retries = dropBefore(b.retries, now.Add(-window))
}

// dropBefore drops the instants before from.
func dropBefore(list []Instant, from Instant) []Instant {
	i := 0
	for i < len(list) && list[i] < from {
		i++
	}
	return list[i:]
}
