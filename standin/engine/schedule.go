package engine

import (
	"slices"
	"time"

	"daisyshed.dev/core"
)

// event is the sealed set of events that an engine schedules for itself.
type event interface{ isEvent() }

// delayElapsed makes the engine handle an operation that a delay fault
// postponed.
type delayElapsed struct{ message Message }

// prefillFinished ends a prefill.
type prefillFinished struct{ allocation *allocation }

// resultExpired drops a prefill's result if no export of it has begun.
type resultExpired struct{ allocation *allocation }

// transferStarted begins an export after the transfer latency.
type transferStarted struct{ flow *flow }

// transferDue ends the transfers that are done. It is ignored if the link's
// generation has changed since.
type transferDue struct{ generation uint64 }

// stepFinished ends a decode step. It is ignored if the step's generation has
// changed since.
type stepFinished struct{ generation uint64 }

// loadFinished applies an order once its model or adapter is loaded.
type loadFinished struct{ order Order }

func (delayElapsed) isEvent()    {}
func (prefillFinished) isEvent() {}
func (resultExpired) isEvent()   {}
func (transferStarted) isEvent() {}
func (transferDue) isEvent()     {}
func (stepFinished) isEvent()    {}
func (loadFinished) isEvent()    {}

// scheduled is an event with the instant at which it is due.
type scheduled struct {
	at    core.Instant
	event event
}

// schedule holds events in the order in which they are due. Events due at the
// same instant keep the order in which they were added.
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

// next returns when the first event is due, or false if there is none.
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

// postpone delays all events by d.
func (s schedule) postpone(d time.Duration) {
	for i := range s {
		s[i].at = s[i].at.Add(d)
	}
}
