package operator

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
)

// targets holds the latency targets of a profile.
type targets struct{ firstToken, perToken time.Duration }

// The values of the tag "targets", which reports whether an answer met the latency
// targets of its profile.
const (
	targetsMet     = "Met"
	firstTokenLate = "FirstTokenLate"
	perTokenLate   = "PerTokenLate"
	bothLate       = "BothLate"
	// notJudged marks an answer that was resumed, so that its first token was sent
	// on an earlier connection, or whose profile's targets are not known yet.
	notJudged = "NotJudged"
)

// RecordAnswer counts a completed answer. Goodput is the share of completed answers
// that met both targets.
func (m *Metrics) RecordAnswer(a caller.AnswerLatency) {
	tags := map[string]string{"profile": string(a.Profile), "targets": m.targetsTag(a)}
	m.scope.Tagged(tags).Counter("requests_finished_total").Inc(1)
}

// targetsTag compares an answer with its profile's targets and returns the value of
// the tag "targets".
func (m *Metrics) targetsTag(a caller.AnswerLatency) string {
	m.mu.Lock()
	t, known := m.targets[a.Profile]
	m.mu.Unlock()
	firstLate, tokenLate := a.FirstToken > t.firstToken, a.PerToken > t.perToken
	switch {
	case a.Resumed, !known:
		return notJudged
	case firstLate && tokenLate:
		return bothLate
	case firstLate:
		return firstTokenLate
	case tokenLate:
		return perTokenLate
	default:
		return targetsMet
	}
}

// setTargets replaces the known targets by those of the profiles in force.
func (m *Metrics) setTargets(profiles []core.ProfileEntry) {
	updated := map[core.ProfileID]targets{}
	for _, p := range profiles {
		updated[p.Profile.ID] = targets{firstToken: p.Profile.FirstTokenTarget, perToken: p.Profile.PerTokenTarget}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = updated
}
