package hosted

import (
	"fmt"
	"net/http"

	"daisyshed.dev/standin/hostedsite"
)

const (
	// minResumed is how many resumed streams it takes to compare their share with that of new
	// ones, and minResumedShare the least part of it.
	minResumed      = 12
	minResumedShare = 0.5
	// minEngines is how many engines of a stream's version have to serve for it to count.
	minEngines = 2
)

// recordStatus records the status of an attempt's answer.
func (j *judge) recordStatus(attemptID string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[attemptID]
	a.status, a.served = status, status == http.StatusOK
	j.counts[fmt.Sprintf("status %d", status)]++
}

// recordStream records that an attempt begins or resumes a stream that may be resumed, and how many
// engines may run it.
func (j *judge) recordStream(attemptID string, resumes bool, engines int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[attemptID]
	a.resumable, a.resumes, a.engines = true, resumes, engines
}

// recordBreak records that a caller has lost its connection in the middle of an answer.
func (j *judge) recordBreak(attemptID string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[attemptID].leaves = true
}

// inTouch reports whether an attempt's node, and the store, had no fault from contactTime before it
// was sent to its end.
func (j *judge) inTouch(a *attempt) bool {
	from := a.sent.Add(-contactTime)
	return !j.harmed(a.node, from, a.endedAt, nodeKilled, nodeFrozen, nodeStopped, nodeCutOff) && !j.harmed(theStore, from, a.endedAt, storeHarmed)
}

// checkResumptions counts the streams that began, and those that callers took up again and that went
// on. It returns a violation if the share of these is too low, among the attempts at nodes in touch.
func (j *judge) checkResumptions() []string {
	began, sent, wentOn, resumed := 0, 0, 0, 0
	for _, a := range j.attempts {
		if !a.resumable || a.ending == inProgress || a.ending == left && !a.served {
			continue
		}
		if a.resumes && a.engines >= minEngines {
			j.counts["streams taken up again"]++
			if a.served {
				j.counts["streams that went on"]++
			}
		}
		if !j.inTouch(a) || a.engines < minEngines {
			continue
		}
		served := 0
		if a.served {
			served = 1
		}
		if a.resumes {
			resumed, wentOn = resumed+1, wentOn+served
		} else {
			sent, began = sent+1, began+served
		}
	}
	if resumed < minResumed || sent == 0 {
		return nil
	}
	if share := float64(wentOn) / float64(resumed); share < minResumedShare*float64(began)/float64(sent) {
		return []string{fmt.Sprintf("LOST: of %d streams that callers took up again, %d went on, though engines of their version served; of %d new ones %d began", resumed, wentOn, sent, began)}
	}
	return nil
}

// maxBreakEvent bounds after which event a caller loses its connection.
const maxBreakEvent = streamEvents - 2

// breaksOff reports whether the caller loses its connection after an event, which it does once for
// a request.
func (c *caller) breaksOff(m message, event int, attemptID string) bool {
	if m.breakAfter == 0 || event < m.breakAfter || m.received.broken {
		return false
	}
	m.received.broken = true
	c.judge.recordBreak(attemptID)
	return true
}

// recordStreamOf records an attempt of a stream that may be resumed.
func (c *caller) recordStreamOf(m message, attemptID string) {
	if m.kind != hostedsite.Resumable {
		return
	}
	resumes, engines := m.received.resumable(m), minEngines
	if resumes {
		engines = c.load.deployment.enginesOf(m.received.version)
	}
	c.judge.recordStream(attemptID, resumes, engines)
}
