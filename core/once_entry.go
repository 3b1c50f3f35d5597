package core

// forwardedCall is a call that waits for an answer from its key's writer.
type forwardedCall struct{ to NodeID }

// forward sends a call to the writer of its key. The writer may be paused and
// dispatch the call later, so only the writer itself may answer NotRun.
func (s *serviceCalls) forward(n *Node, m ServiceCall) {
	if _, dup := s.forwarded[m.Call]; dup {
		return
	}
	to := n.members.keyWriter(n, m.Key)
	s.forwarded[m.Call] = forwardedCall{to: to}
	n.send(to, KeyCall{
		Call: m.Call, Writer: n.members.incarnation(n, to), Profile: m.Profile, Customer: m.Customer,
		Key: m.Key, KeyMinted: m.KeyMinted, First: m.First, Body: m.Body,
	})
	wait := intentTimeout + n.Settings.CallTimeout + answerMargin
	n.afterFunc(wait, func(n *Node) { s.forwardTimedOut(n, m.Call) })
}

// forwardTimedOut answers Unknown if the writer has not answered in time.
func (s *serviceCalls) forwardTimedOut(n *Node, call CallID) {
	if _, waiting := s.forwarded[call]; !waiting {
		return
	}
	delete(s.forwarded, call)
	n.do(AnswerCall{
		Call: call, Outcome: Unknown, Reason: OwnerUnreachable, RetryAfter: n.jitteredDelay(callRetryAfter),
	})
}

// handleKeyAnswer passes the answer of a key's writer on to the caller.
func (s *serviceCalls) handleKeyAnswer(n *Node, from NodeID, m KeyAnswer) {
	f, waiting := s.forwarded[m.Call]
	if !waiting || f.to != from {
		return
	}
	delete(s.forwarded, m.Call)
	n.do(AnswerCall(m))
}
