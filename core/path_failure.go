package core

import "time"

const (
	// maxPathRetries bounds how often a request is placed again because this node has no
	// connection to the chosen upstream. pathRetryDelay is the delay before the second time; it
	// doubles with each further one.
	maxPathRetries = 6
	pathRetryDelay = 25 * time.Millisecond
	// pathRetryAfter is about when a caller may retry at a node without a path to upstreams.
	pathRetryAfter = 300 * time.Millisecond
)

// placeAfterPathFailure requests another placement for a request after a failure of this node's
// own path, by which no upstream has run it. The upstream may be chosen again, unless it was sent
// the prompt.
func (s *forwards) placeAfterPathFailure(n *Node, f *forwardedRequest, m StepFailed) {
	may := true
	switch {
	case m.Step == ReadPromptStep && !m.Unsent:
		// The engine may compute it.
		f.tried.Add(m.Engine)
		may = f.prefills < maxSends && s.spendRetryBudget(n, f, 1)
	case m.Step == ReadPromptStep:
		f.prefills--
		f.tried.Remove(m.Engine)
	default:
		f.tried.Remove(m.Engine)
	}
	s.release(n, f)
	f.pathRetries++
	if !may || f.pathRetries > maxPathRetries || n.now >= f.deadline {
		s.end(n, f, NoUpstream, n.jitter(pathRetryAfter))
		return
	}
	if f.pathRetries == 1 {
		s.requestPlacement(n, f)
		return
	}
	f.phase = forwardAwaitingPath
	step := f.step
	s.whileLive(n, f, n.jitter(pathRetryDelay<<(f.pathRetries-2)), func(n *Node) {
		if s.live[f.ID] == f && f.step == step {
			s.requestPlacement(n, f)
		}
	})
}

// watchNoAnswer has the path to an upstream probed if a step there has no answer in time.
func (s *forwards) watchNoAnswer(n *Node, f *forwardedRequest, u *upstream, after time.Duration) {
	step, began := f.step, n.now
	s.whileLive(n, f, after, func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.phase == forwardResponding {
			return
		}
		f.overdue = step
		n.isolation.observeNoAnswer(n, u)
		if n.isolation.isolated && began < n.isolation.since {
			s.placeHanging(n, f)
		}
	})
}

// placeHangingAgain places requests again whose steps have had no answer, because the node is
// isolated and their connections may hang.
func (s *forwards) placeHangingAgain(n *Node) {
	for _, id := range sortedKeys(s.live) {
		f, ok := s.live[id]
		switch {
		case !ok:
		case f.overdue == f.step:
			s.placeHanging(n, f)
		case f.plainRun() && n.now.Sub(f.placedAt) > noAnswerAfter:
			s.releaseAtOwner(n, f)
		}
	}
}

// plainRun reports whether the request runs at an upstream of a plain service, which has not
// answered.
func (f *forwardedRequest) plainRun() bool {
	_, engine := f.spec.Engine.Get()
	return !engine && f.phase == forwardRunning
}

// placeHanging places a request again whose step hangs. A run that may be repeated is placed
// again as a silent one is; one that must run once stays. The place of a plain run is released:
// the upstream has answered, or will not receive the request as long as its connection hangs.
func (s *forwards) placeHanging(n *Node, f *forwardedRequest) {
	switch {
	case f.phase == forwardLeasing:
		s.release(n, f)
		s.requestPlacement(n, f)
	case f.plainRun():
		s.releaseAtOwner(n, f)
	case f.phase == forwardRunning && f.silent == nil && f.route.RetryPolicy != Once:
		s.replaceSilentRun(n, f)
	}
}
