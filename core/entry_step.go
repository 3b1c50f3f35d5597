package core

import (
	"slices"
	"time"
)

// mayStart reports whether an engine may start a step for a profile, as far as
// this node knows. The owner has checked this before its promise; the second
// check catches a withdrawal that happened since.
func (n *Node) mayStart(engine EngineID, profile ProfileID) bool {
	return !n.owner.withdrawnFor(n, engine, profile, withdrawalGrace)
}

const (
	// withdrawalGrace is how long after this node has learned of a withdrawal it
	// may still start steps on the engine, for promises given before.
	withdrawalGrace = time.Second
	// withdrawalBound is the upper bound of the time after a withdrawal in which
	// an upstream may still receive new requests.
	withdrawalBound = 3 * time.Second
)

// recordHold records that a command is about to make an engine allocate memory,
// which has to be released later. It checks that the engine was not withdrawn
// longer than withdrawalBound ago.
func (n *Node) recordHold(engine EngineID, a Allocation, profile ProfileID) {
	idle := !n.owner.withdrawnFor(n, engine, profile, withdrawalBound)
	n.checkInvariant(WithdrawnIdle, idle, string(engine)+" is withdrawn but was sent a request")
	n.heldAllocations[releaseKey{engine: engine, allocation: a}] = struct{}{}
}

func (s *entry) startPrefill(n *Node, r *servedRequest) {
	if !n.mayStart(r.placed.Prefill, r.request.Profile) {
		s.retry(n, r, r.placed.Prefill)
		return
	}
	profile, _ := n.config.profile(r.request.Profile)
	r.phase = prefilling
	n.recordHold(r.placed.Prefill, r.allocation, r.request.Profile)
	n.do(StartPrefill{
		Engine:     r.placed.Prefill,
		Allocation: r.allocation,
		Prompt:     r.request.Prompt,
		Emitted:    r.emitted,
		Priority:   profile.Priority,
		Model:      profile.Model,
	})
}

func (s *entry) startImport(n *Node, r *servedRequest, from EngineID) {
	if !n.mayStart(r.placed.Decode, r.request.Profile) {
		s.decodeWithdrawn(n, r)
		return
	}
	r.phase = importing
	n.recordHold(r.placed.Decode, r.allocation, r.request.Profile)
	n.do(StartImport{
		Engine:     r.placed.Decode,
		From:       from,
		Allocation: r.allocation,
		Tokens:     r.placed.Memory,
	})
}

// decodeWithdrawn gives up a placement whose decode engine was withdrawn after
// the promise. A stream that was to be moved there stays on its present engine;
// any other request is retried.
func (s *entry) decodeWithdrawn(n *Node, r *servedRequest) {
	if r.moving() {
		s.reportEnded(n, r.owner, AttemptEnded{Allocation: r.allocation, Reason: Expired})
		s.moveFailed(n, r)
		return
	}
	s.retry(n, r, r.placed.Decode)
}

func (s *entry) startDecode(n *Node, r *servedRequest) {
	r.phase = decoding
	n.do(StartDecode{
		Engine:     r.placed.Decode,
		Allocation: r.allocation,
		Emitted:    r.emitted,
		MaxTokens:  r.request.MaxTokens,
		Priority:   n.priority(r.request.Profile),
	})
}

// startStepTimeout retries the request if its step has not ended after the step
// timeout. For a decode step the first token is enough.
func (s *entry) startStepTimeout(n *Node, r *servedRequest) {
	allocation, began := r.allocation, r.phase
	if began == waiting {
		return
	}
	n.afterFunc(n.Settings.StepTimeout, func(n *Node) {
		r, ok := n.entry.current(allocation)
		if !ok || r.phase != began {
			return
		}
		if _, streaming := r.firstAt.Get(); r.phase == decoding && streaming {
			return
		}
		n.entry.retry(n, r, n.entry.stepEngine(r))
	})
}

// stepEngine returns the engine that runs the request's current step.
func (s *entry) stepEngine(r *servedRequest) EngineID {
	if r.phase == prefilling {
		return r.placed.Prefill
	}
	return r.placed.Decode
}

func (s *entry) handlePrefillDone(n *Node, m PrefillDone) {
	r, ok := s.current(m.Allocation)
	if !ok || r.phase != prefilling || m.Engine != r.placed.Prefill {
		return
	}
	s.sendOwner(n, r.owner, AttemptProgress{
		Allocation: r.allocation, Done: PrefillStep, Cached: m.Cached, Took: n.now.Sub(r.stepBegan),
	})
	if r.placed.Decode == "" {
		r.placed.Decode = n.owner.decodeAfterPrefill(n, r)
	}
	if r.placed.Decode == "" {
		s.retry(n, r, "")
		return
	}
	r.stepBegan = n.now
	s.startImport(n, r, r.placed.Prefill)
	s.startStepTimeout(n, r)
}

func (s *entry) handleImportDone(n *Node, m ImportDone) {
	r, ok := s.current(m.Allocation)
	if !ok || r.phase != importing || m.Engine != r.placed.Decode {
		return
	}
	s.sendOwner(n, r.owner, AttemptProgress{Allocation: r.allocation, Done: ImportStep, Took: n.now.Sub(r.stepBegan)})
	s.releaseSource(n, r)
	if r.placed.Prefill != "" {
		n.release(r.placed.Prefill, r.allocation)
	}
	r.stepBegan = n.now
	s.startDecode(n, r)
	s.startStepTimeout(n, r)
}

// releaseSource releases the memory of a moved stream on the engine that it left,
// and notifies the owner.
func (s *entry) releaseSource(n *Node, r *servedRequest) {
	if !r.moving() {
		return
	}
	n.release(r.source, r.sourceAllocation)
	s.reportEnded(n, r.owner, AttemptEnded{Allocation: r.sourceAllocation, Reason: Completed})
	r.source = ""
}

func (s *entry) handleFirstToken(n *Node, m FirstToken) {
	r, ok := s.current(m.Allocation)
	if !ok || r.phase != decoding {
		return
	}
	if _, again := r.firstAt.Get(); !again {
		r.firstAt = Some(n.now)
	}
}

func (s *entry) handleStreamEnded(n *Node, m StreamEnded) {
	r, ok := s.requests[m.Allocation.Request]
	if !ok || (r.allocation != m.Allocation && r.sourceAllocation != m.Allocation) {
		return
	}
	_, twice := s.answered[m.Allocation.Request]
	n.checkInvariant(AnsweredOnce, !twice || r.request.Resumed, string(m.Allocation.Request)+" was answered twice")
	n.checkInvariant(AnswerWhole, m.Tokens > 0 && m.Tokens <= r.request.MaxTokens, string(m.Allocation.Request)+" got an answer with no tokens or more than its maximum")
	n.do(LogDecision{Decision: s.finished(n, r, m.Tokens)})
	s.endAttempt(n, r, Completed, "", m.Tokens)
	delete(s.requests, m.Allocation.Request)
	s.answered[m.Allocation.Request] = n.now
}

func (s *entry) finished(n *Node, r *servedRequest, tokens Tokens) Decision {
	d := s.decision(n, r, "finish", NoReason, 0)
	d.Tokens = tokens
	return d
}

func (s *entry) handleEngineFailed(n *Node, m EngineFailed) {
	r, ok := s.current(m.Allocation)
	if !ok {
		s.sourceFailed(m)
		return
	}
	r.emitted = max(r.emitted, m.Emitted)
	if m.Superseded {
		s.yield(n, r)
		return
	}
	if m.Step == ImportStep && m.Full && s.retryImport(n, r) {
		return
	}
	s.retry(n, r, m.Engine)
}

// sourceFailed records that a stream failed on the engine that it is being moved
// off, and how many tokens it had emitted.
func (s *entry) sourceFailed(m EngineFailed) {
	r, ok := s.requests[m.Allocation.Request]
	if ok && r.moving() && r.sourceAllocation == m.Allocation {
		r.emitted = max(r.emitted, m.Emitted)
		r.sourceLost = true
	}
}

// retryImport schedules another try of an import that was rejected for lack of
// memory, because a release may still be in flight to the engine. It returns
// false once the tries are used up.
func (s *entry) retryImport(n *Node, r *servedRequest) bool {
	if r.phase != importing || r.importTries >= maxImportTries {
		return false
	}
	r.importTries++
	allocation := r.allocation
	n.afterFunc(importRetryAfter, func(n *Node) {
		r, ok := n.entry.current(allocation)
		if !ok || r.phase != importing {
			return
		}
		if n.Policy.Placement != Joint {
			n.release(r.placed.Decode, r.allocation)
			r.placed.Decode = n.owner.decodeAfterPrefill(n, r)
		}
		from := r.placed.Prefill
		if r.moving() {
			from = r.source
		}
		n.entry.startImport(n, r, from)
	})
	return true
}

// retry ends the attempt and places the request again, avoiding the engine that
// failed it. After maxFailures failed attempts it rejects the request instead.
func (s *entry) retry(n *Node, r *servedRequest, failed EngineID) {
	s.endAttempt(n, r, Failed, failed, r.emitted)
	r.failures++
	if failed != "" && !slices.Contains(r.avoid, failed) {
		r.avoid = append(slices.Clone(r.avoid), failed)
	}
	if r.failures >= maxFailures {
		s.rejectServed(n, r, UpstreamFailed, n.jitteredDelay(time.Second))
		return
	}
	s.nextAttempt(n, r)
	s.place(n, r)
}
