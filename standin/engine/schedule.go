package engine

import (
	"slices"
	"time"

	"daisyshed.dev/core"
)

// event is the sealed set of things that happen in an engine by themselves.
type event interface{ isEvent() }

// arrived hands over an operation that a delay fault held up.
type arrived struct{ message Message }

// computed ends a prefill.
type computed struct{ holding *holding }

// evicted drops a prefill's result that nothing exports.
type evicted struct{ holding *holding }

// transferStarted begins an export after the transfer latency.
type transferStarted struct{ flow *flow }

// linkDue looks for finished transfers. One of an older generation is stale.
type linkDue struct{ generation uint64 }

// stepped ends a decode step.
type stepped struct{ generation uint64 }

// loaded carries out an order once its weights are loaded.
type loaded struct{ order Order }

func (arrived) isEvent()         {}
func (computed) isEvent()        {}
func (evicted) isEvent()         {}
func (transferStarted) isEvent() {}
func (linkDue) isEvent()         {}
func (stepped) isEvent()         {}
func (loaded) isEvent()          {}

type scheduled struct {
	at    core.Instant
	event event
}

// schedule holds events in the order in which they are due. Events of one
// instant keep the order in which they were added.
type schedule []scheduled

func (s *schedule) add(at core.Instant, e event) {
	later := func(x scheduled, at core.Instant) int {
		if x.at > at {
			return 1
		}
		return -1
	}
	i, _ := slices.BinarySearchFunc(*s, at, later)
	*s = slices.Insert(*s, i, scheduled{at, e})
}

// next returns the instant of the first event.
func (s schedule) next() (core.Instant, bool) {
	if len(s) == 0 {
		return 0, false
	}
	return s[0].at, true
}

func (s *schedule) pop() scheduled {
	first := (*s)[0]
	*s = slices.Delete(*s, 0, 1)
	return first
}

// postpone moves all events by d.
func (s schedule) postpone(d time.Duration) {
	for i := range s {
		s[i].at = s[i].at.Add(d)
	}
}
