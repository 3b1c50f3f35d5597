package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// soundAfter is how long after its first event a run shows that its prompt's parts are
	// sound: one that ends its engine does so within a fraction of that.
	soundAfter = time.Second
	// minRestart is the least time in which an upstream that ended is back.
	minRestart = time.Second
	// blockedRetryAfter bounds the time that a rejection of a blocked part names.
	blockedRetryAfter = time.Minute
	// maxReportDelay bounds the time that a report of a block is on its way. One that extends a
	// known block by less says nothing new: nodes repeat blocks to each other, and each message
	// adds its delay.
	maxReportDelay = 10 * time.Second
	// reportTargets is how many members a node sends its blocked parts and the limits that it
	// knows of to in each period of the heartbeat, and maxSentBlocks bounds the parts of one
	// message.
	reportTargets = 2
	maxSentBlocks = 64
)

// SuspectBlock reports a suspect that ends upstreams, for how long it is blocked yet, and how
// many trials have ended an upstream. It is due for a trial if Left is zero.
type SuspectBlock struct {
	CrashSuspect
	Left   time.Duration
	Trials int
}

// SuspectsReported shares what a node has seen of requests that end upstreams: ends of
// upstreams, suspects with sound answers, those that are blocked, and incarnations that have
// answered although they counted as ended.
type SuspectsReported struct {
	Crashes  []CrashReport
	Sound    []CrashSuspect
	Blocked  []SuspectBlock
	Answered []EngineCrash
}

func (SuspectsReported) isPeerBody() {}

// startReports schedules the exchange of blocked parts and of limits.
func (s *forwards) startReports(n *Node) {
	n.every(n.Settings.HeartbeatEvery, func(n *Node) {
		s.upstreams.dropLimits(n)
		if len(s.suspects.blocked) == 0 && len(s.upstreams.limited) == 0 {
			return
		}
		for range reportTargets {
			if id, ok := s.spread.randomMember(n); ok {
				s.sendBlocked(n, id)
				s.upstreams.sendLimits(n, id)
			}
		}
	})
}

// sendBlocked sends the blocked suspects to a node, which may have started after they were
// blocked.
func (s *forwards) sendBlocked(n *Node, to NodeID) {
	var m SuspectsReported
	for key, b := range s.suspects.blocked {
		m.Blocked = append(m.Blocked, SuspectBlock{key, max(b.until.Sub(n.now), 0), b.trials})
	}
	slices.SortFunc(m.Blocked, func(a, b SuspectBlock) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
	})
	m.Blocked = m.Blocked[:min(len(m.Blocked), maxSentBlocks)]
	if len(m.Blocked) > 0 {
		n.send(to, m)
	}
}

// handleCrash handles a step after which its upstream may have ended: it is reported, unless the
// failure may be that of the path to it.
func (s *forwards) handleCrash(n *Node, f *forwardedRequest, m StepFailed, ofPath bool) {
	if ofPath && (m.PathFailed || m.Relay != "" || n.isolation.isolated) {
		return
	}
	report, ok := s.crashReport(n, f, m)
	switch {
	case !ok:
	case ofPath:
		s.holdCrash(n, report)
	default:
		s.reportCrash(n, m.Relay, report)
	}
}

// crashReport returns the report that an upstream ended under a request, if it may have.
func (s *forwards) crashReport(n *Node, f *forwardedRequest, m StepFailed) (CrashReport, bool) {
	report := CrashReport{Service: f.spec.ID, Crash: EngineCrash{Engine: m.Engine}}
	if f.brokeAtStart(n.now, m) {
		report.Parts = f.parts()
	}
	if sent, ok := f.brokeOff(n.now, m); ok {
		report.Request, report.RanFor = f.Key, n.now.Sub(sent)
	}
	if len(report.Parts) == 0 && report.Request == "" {
		return report, false
	}
	if run := f.runRecord(m.Send); run.number != 0 {
		report.Crash.Born = run.born
	} else if u, ok := s.upstreams.byID[m.Engine]; ok {
		report.Crash.Born = u.Born
	}
	d := s.newDecision(n, f, "broke-at-start", UpstreamFailed)
	d.Detail = fmt.Sprintf("%s, after %v, parts %s", CrashSuspect{Request: report.Request}, report.RanFor, joinParts(report.Parts))
	n.do(LogDecision{Decision: d})
	return report, true
}

// reportCrash records that an upstream ended under a request on a path, and notifies all nodes.
func (s *forwards) reportCrash(n *Node, relay NodeID, report CrashReport) {
	s.observeCrashReport(n, report)
	n.isolation.recordCrash(n, relay, report.Crash)
	n.broadcast(SuspectsReported{Crashes: []CrashReport{report}})
}

// observeCrashReport records the end of an upstream under a request, and ends the requests
// with the suspect that is blocked by it.
func (s *forwards) observeCrashReport(n *Node, r CrashReport) {
	alone := s.lastCrash == r.Crash || n.now.Sub(s.lastCrashAt) >= minCrashGap
	if u, ok := s.upstreams.byID[r.Crash.Engine]; ok && u.Born == r.Crash.Born {
		u.brokeOffAt = n.now
		if alone {
			u.endedAt = n.now
			s.lastCrash, s.lastCrashAt = r.Crash, n.now
		}
	}
	for _, key := range s.suspects.observeCrash(n.now, r) {
		s.suspectBlocked(n, key)
	}
}

// observeAnswer records that an upstream has answered a request that was sent to it after it
// counted as ended. One that answers soon has not ended; later it may have started again under
// the same id, of which the list of upstreams does not tell yet.
func (s *forwards) observeAnswer(n *Node, id EngineID, sent Instant) {
	s.dropHeld(n, func(h heldCrash) bool { return h.Crash.Engine == id && h.at <= sent })
	u, ok := s.upstreams.byID[id]
	if !ok || u.brokeOffAt == 0 || sent < u.brokeOffAt {
		return
	}
	if n.now.Sub(u.brokeOffAt) >= minRestart {
		u.brokeOffAt, u.endedAt = 0, 0
		return
	}
	crash := EngineCrash{Engine: u.ID, Born: u.Born}
	s.retract(n, crash)
	n.broadcast(SuspectsReported{Answered: []EngineCrash{crash}})
}

// retract takes back that an incarnation has ended.
func (s *forwards) retract(n *Node, crash EngineCrash) {
	if u, ok := s.upstreams.byID[crash.Engine]; ok && u.Born == crash.Born {
		u.brokeOffAt, u.endedAt = 0, 0
	}
	s.reportCleared(n, s.suspects.retract(crash))
}

// suspectBlocked logs that a suspect is blocked, and ends the requests with it that have sent
// no part of an answer, wherever they are on their way.
func (s *forwards) suspectBlocked(n *Node, key CrashSuspect) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "part-blocked", Reason: key.reason(), Profile: ProfileID(key.Service), Detail: key.String(),
	}})
	for _, id := range sortedKeys(s.live) {
		f, ok := s.live[id]
		if !ok || !key.concerns(f.spec.ID) || f.phase == forwardResponding {
			continue
		}
		s.rejectIfBlocked(n, f)
	}
}

// reason returns the reason of rejections for a blocked suspect.
func (s CrashSuspect) reason() RejectionReason {
	if s.Request != "" {
		return CrashingRequest
	}
	return CrashingPrompt
}

// rejectIfBlocked ends a request that is blocked, by a part of its prompt or as a whole, and
// reports whether it did.
func (s *forwards) rejectIfBlocked(n *Node, f *forwardedRequest) bool {
	left, key := s.suspects.blocks(n.now, f.suspects(), n.triesSuspect)
	if left == 0 {
		return false
	}
	d := s.newDecision(n, f, "blocked", key.reason())
	d.Detail = key.String()
	n.do(LogDecision{Decision: d})
	s.end(n, f, key.reason(), min(left, blockedRetryAfter))
	return true
}

// triesSuspect reports whether this node sends the trial of a suspect that is due for one: one
// node does for all.
func (n *Node) triesSuspect(key CrashSuspect) bool {
	return rankByScore(n.acceptingNodes(), string(key.Service)+"/"+string(key.Part)+string(key.Request), n.Self.ID) == 0
}

// watchSound records that the suspects of a stream are sound once its answer has gone on for
// a while.
func (s *forwards) watchSound(n *Node, f *forwardedRequest) {
	if _, generates := f.spec.Engine.Get(); !generates {
		return
	}
	step := f.step
	n.afterFunc(soundAfter, func(n *Node) {
		if s.live[f.ID] == f && f.step == step {
			s.observeSoundAnswer(n, f)
		}
	})
}

// observeSoundAnswer records that the suspects of a request are sound. All nodes are notified
// of those that were suspect.
func (s *forwards) observeSoundAnswer(n *Node, f *forwardedRequest) {
	s.reportCleared(n, s.suspects.observeSound(n.now, f.startedAt, f.suspects()))
}

// observeFailureAnswer records that an upstream has answered a request with a failure of its
// own: the request as a whole does not end upstreams.
func (s *forwards) observeFailureAnswer(n *Node, f *forwardedRequest) {
	s.reportCleared(n, s.suspects.observeSound(n.now, n.now, suspectsOf(f.spec.ID, nil, f.Key)))
}

func (s *forwards) reportCleared(n *Node, cleared []CrashSuspect) {
	if len(cleared) > 0 {
		n.broadcast(SuspectsReported{Sound: cleared})
	}
}

// handleSuspectsReported handles what another node has seen. If it suspects a part on which this
// node has had sound answers, or blocks a request that a trial has cleared, this node replies that.
func (s *forwards) handleSuspectsReported(n *Node, from NodeID, m SuspectsReported) {
	s.suspects.observeSound(n.now, n.now, m.Sound)
	var sound []CrashSuspect
	for _, c := range m.Crashes {
		for _, key := range suspectsOf(c.Service, c.Parts, "") {
			if s.suspects.isSound(n.now, key) {
				sound = append(sound, key)
			}
		}
		s.observeCrashReport(n, c)
	}
	for _, crash := range m.Answered {
		s.retract(n, crash)
	}
	for _, b := range m.Blocked {
		known, ok := s.suspects.blocked[b.CrashSuspect]
		// Trials clear requests whose block is over. One that has long to go is another block.
		another := b.Request != "" && b.Left > maxReportDelay
		if !ok && !another && s.suspects.isSound(n.now, b.CrashSuspect) {
			if b.Request != "" {
				sound = append(sound, b.CrashSuspect)
			}
			continue
		}
		if !ok || b.Left > 0 && n.now.Add(b.Left) > known.until.Add(maxReportDelay) {
			s.suspects.block(n.now, b.CrashSuspect, min(b.Left, maxBlock))
		}
		if !ok {
			s.suspectBlocked(n, b.CrashSuspect)
		}
		if known, ok = s.suspects.blocked[b.CrashSuspect]; ok {
			known.trials = max(known.trials, b.Trials)
		}
	}
	if len(sound) > 0 {
		n.send(from, SuspectsReported{Sound: sound})
	}
}
