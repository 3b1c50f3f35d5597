package operator

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
)

// targets are a profile's latency targets.
type targets struct{ firstToken, perToken time.Duration }

// The values of the tag "targets", which says how an answer met its profile's
// latency targets.
const (
	targetsMet     = "Met"
	firstTokenLate = "FirstTokenLate"
	perTokenLate   = "PerTokenLate"
	bothLate       = "BothLate"
	// notJudged answers were resumed, so that their first token came over
	// another connection, or their profile's targets are not known yet.
	notJudged = "NotJudged"
)

// Answered notes a whole answer. Goodput is the share of these that met both
// targets.
func (m *Metrics) Answered(a caller.Answered) {
	tags := map[string]string{"profile": string(a.Profile), "targets": m.judge(a)}
	m.scope.Tagged(tags).Counter("requests_finished_total").Inc(1)
}

func (m *Metrics) judge(a caller.Answered) string {
	m.mu.Lock()
	t, known := m.targets[a.Profile]
	m.mu.Unlock()
	first, token := a.FirstToken > t.firstToken, a.PerToken > t.perToken
	switch {
	case a.Resumed, !known:
		return notJudged
	case first && token:
		return bothLate
	case first:
		return firstTokenLate
	case token:
		return perTokenLate
	default:
		return targetsMet
	}
}

// setTargets takes the targets from the profiles in force.
func (m *Metrics) setTargets(profiles []core.ProfileEntry) {
	fresh := map[core.ProfileID]targets{}
	for _, p := range profiles {
		fresh[p.Profile.ID] = targets{firstToken: p.Profile.FirstTokenTarget, perToken: p.Profile.PerTokenTarget}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = fresh
}
