package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// soundAfter is how long after its first event a run shows that its prompt's parts are
	// sound: one that ends its engine does so within a fraction of that.
	soundAfter = time.Second
	// poisonRetryAfter bounds the time that a rejection of a blocked part names.
	poisonRetryAfter = time.Minute
	// reportTargets is how many members a node sends its blocked parts and the limits that it
	// knows of to in each period of the heartbeat, and maxSentBlocks bounds the parts of one
	// message.
	reportTargets = 2
	maxSentBlocks = 64
)

// PromptCrash reports that an engine ended while a prompt began to write.
type PromptCrash struct {
	Service ServiceID
	Parts   []PromptPart
	Crash   EngineCrash
}

// PartBlock reports a part of prompts that ends engines, and for how long it is blocked yet.
type PartBlock struct {
	ServicePart
	Left time.Duration
}

// PromptsReported shares what a node has seen of prompts that end engines: ends of engines,
// parts with sound answers, and parts that are blocked.
type PromptsReported struct {
	Crashes []PromptCrash
	Sound   []ServicePart
	Blocked []PartBlock
}

func (PromptsReported) isPeerBody() {}

// startReports schedules the exchange of blocked parts and of limits.
func (s *forwards) startReports(n *Node) {
	n.every(n.Settings.HeartbeatEvery, func(n *Node) {
		s.upstreams.dropLimits(n)
		if len(s.poison.blocked) == 0 && len(s.upstreams.limited) == 0 {
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

// sendBlocked sends the blocked parts to a node, which may have started after they were
// blocked.
func (s *forwards) sendBlocked(n *Node, to NodeID) {
	var m PromptsReported
	for key, b := range s.poison.blocked {
		if left := b.until.Sub(n.now); left > 0 {
			m.Blocked = append(m.Blocked, PartBlock{key, left})
		}
	}
	slices.SortFunc(m.Blocked, func(a, b PartBlock) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
	})
	m.Blocked = m.Blocked[:min(len(m.Blocked), maxSentBlocks)]
	if len(m.Blocked) > 0 {
		n.send(to, m)
	}
}

// reportBrokenStart records that a run broke off as it began to write, and notifies all nodes.
func (s *forwards) reportBrokenStart(n *Node, f *forwardedRequest, m StepFailed) {
	if !f.brokeAtStart(n.now, m) {
		return
	}
	crash := EngineCrash{Engine: m.Engine}
	if u, ok := s.upstreams.byID[m.Engine]; ok {
		crash.Born = u.Born
	}
	d := s.newDecision(n, f, "broke-at-start", UpstreamFailed)
	d.Detail = joinParts(f.parts())
	n.do(LogDecision{Decision: d})
	report := PromptCrash{Service: f.spec.ID, Parts: f.parts(), Crash: crash}
	s.observePromptCrash(n, report)
	n.broadcast(PromptsReported{Crashes: []PromptCrash{report}})
}

// observePromptCrash records the end of an engine under a prompt, and ends the requests with
// the part that is blocked by it.
func (s *forwards) observePromptCrash(n *Node, c PromptCrash) {
	if part, blocked := s.poison.observeCrash(n.now, c.Service, c.Parts, c.Crash).Get(); blocked {
		s.partBlocked(n, part)
	}
}

// partBlocked logs that a part is blocked, and ends the requests with it that have sent no
// part of an answer, wherever they are on their way.
func (s *forwards) partBlocked(n *Node, part ServicePart) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "part-blocked", Reason: CrashingPrompt, Profile: ProfileID(part.Service), Detail: string(part.Part),
	}})
	for _, id := range sortedKeys(s.live) {
		f, ok := s.live[id]
		if !ok || f.spec.ID != part.Service || f.phase == forwardResponding {
			continue
		}
		s.rejectIfBlocked(n, f)
	}
}

// rejectIfBlocked ends a request whose prompt has a blocked part, and reports whether it did.
func (s *forwards) rejectIfBlocked(n *Node, f *forwardedRequest) bool {
	left, part := s.poison.blocks(n.now, f.spec.ID, f.parts(), func(key ServicePart) bool { return n.triesPart(key) })
	if left == 0 {
		return false
	}
	d := s.newDecision(n, f, "blocked", CrashingPrompt)
	d.Detail = string(part)
	n.do(LogDecision{Decision: d})
	s.end(n, f, CrashingPrompt, min(left, poisonRetryAfter))
	return true
}

// triesPart reports whether this node sends the trial of a part that is due for one: one node
// does for all.
func (n *Node) triesPart(key ServicePart) bool {
	return rankByScore(n.acceptingNodes(), string(key.Service)+"/"+string(key.Part), n.Self.ID) == 0
}

// watchSound records that a prompt's parts are sound once its answer has gone on for a while.
func (s *forwards) watchSound(n *Node, f *forwardedRequest) {
	if len(f.parts()) == 0 {
		return
	}
	step := f.step
	n.afterFunc(soundAfter, func(n *Node) {
		if s.live[f.ID] == f && f.step == step {
			s.observeSoundAnswer(n, f)
		}
	})
}

// observeSoundAnswer records that a prompt's parts are sound. All nodes are notified of those
// that were suspect.
func (s *forwards) observeSoundAnswer(n *Node, f *forwardedRequest) {
	s.clearParts(n, s.poison.observeSound(n.now, f.startedAt, f.spec.ID, f.parts()))
}

func (s *forwards) clearParts(n *Node, cleared []ServicePart) {
	if len(cleared) > 0 {
		n.broadcast(PromptsReported{Sound: cleared})
	}
}

// handlePromptsReported handles what another node has seen. If it suspects a part on which
// this node has had sound answers, it is told so.
func (s *forwards) handlePromptsReported(n *Node, from NodeID, m PromptsReported) {
	for _, part := range m.Sound {
		s.poison.observeSound(n.now, n.now, part.Service, []PromptPart{part.Part})
	}
	var sound []ServicePart
	for _, c := range m.Crashes {
		for _, p := range c.Parts {
			if key := (ServicePart{c.Service, p}); s.poison.isSound(n.now, key) {
				sound = append(sound, key)
			}
		}
		s.observePromptCrash(n, c)
	}
	if len(sound) > 0 {
		n.send(from, PromptsReported{Sound: sound})
	}
	for _, b := range m.Blocked {
		_, known := s.poison.blocked[b.ServicePart]
		if !known && s.poison.isSound(n.now, b.ServicePart) {
			continue
		}
		s.poison.block(n.now, b.ServicePart, min(b.Left, maxBlock))
		if !known {
			s.partBlocked(n, b.ServicePart)
		}
	}
}
