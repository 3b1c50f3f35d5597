package hosted

import (
	"fmt"
	"time"
)

const (
	// Of the first attempts at nodes that are partitioned from all upstreams, from contactTime after
	// that began, more than strandedSlack and one in strandedPart of all meanwhile may not fail if fewer
	// than minStrandedShare as many are served as at the other nodes.
	strandedSlack    = 10
	strandedPart     = 50
	minStrandedShare = 2.0 / 3
)

// checkStranded compares the first attempts at nodes that are partitioned from all upstreams with
// those at the others meanwhile.
func (j *judge) checkStranded() []string {
	var stranded, others, servedStranded, servedOthers int
	for _, r := range j.requests {
		a := r.attempts[0]
		if a.leaves || a.ending == inProgress || !j.inTouch(a) || !j.anyStrandedAt(a.sent) {
			continue
		}
		switch {
		case j.strandedAt(a.node, a.sent):
			stranded++
			if a.served {
				servedStranded++
			} else {
				j.counts["first tries not served there: "+a.describeFailure()]++
			}
		case !j.harmed(a.node, a.sent, a.endedAt, nodeStranded):
			others++
			if a.served {
				servedOthers++
			}
		}
	}
	if stranded > 0 {
		j.counts["first tries at stranded nodes"], j.counts["first tries served there"] = stranded, servedStranded
	}
	failed := stranded - servedStranded
	if stranded == 0 || others == 0 || failed <= strandedSlack+(stranded+others)/strandedPart {
		return nil
	}
	share, other := float64(servedStranded)/float64(stranded), float64(servedOthers)/float64(others)
	if share >= minStrandedShare*other {
		return nil
	}
	return []string{fmt.Sprintf("RECOVER: nodes that reach no upstream served %d of %d first tries, the others %d of %d", servedStranded, stranded, servedOthers, others)}
}

// describeFailure returns how an attempt that was not served ended, and whether an upstream ran it.
func (a *attempt) describeFailure() string {
	ran := "not run"
	switch {
	case len(a.runs) > 1:
		ran = "run again"
	case len(a.runs) == 1 && a.lastRun().cancelled:
		ran = "run cancelled"
	case len(a.runs) == 1:
		ran = "run"
	}
	if a.status != 0 {
		return fmt.Sprintf("status %d, %s", a.status, ran)
	}
	return a.ending.String() + ", " + ran
}

// strandedAt reports whether a node had been partitioned from all upstreams for contactTime.
func (j *judge) strandedAt(node string, at time.Time) bool {
	for _, h := range j.harms[node] {
		if h.kind == nodeStranded && at.After(h.from.Add(contactTime)) && (h.to.IsZero() || at.Before(h.to)) {
			return true
		}
	}
	return false
}

func (j *judge) anyStrandedAt(at time.Time) bool {
	for node := range j.harms {
		if j.strandedAt(node, at) {
			return true
		}
	}
	return false
}
