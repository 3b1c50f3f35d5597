package core

// forward is a call that was sent to the writer of its key.
type forward struct{ to NodeID }

// forward sends a call to the writer of its key. The writer may be frozen and
// act later, so only its own word may say that the call did not run.
func (s *onceOnly) forward(n *Node, m CallerCall) {
	if _, dup := s.forwarded[m.Call]; dup {
		return
	}
	to := n.members.keyWriter(n, m.Key)
	s.forwarded[m.Call] = forward{to: to}
	n.send(to, KeyCall{
		Call: m.Call, Writer: n.members.incarnation(n, to), Profile: m.Profile, Customer: m.Customer,
		Key: m.Key, KeyMinted: m.KeyMinted, First: m.First, Body: m.Body,
	})
	wait := intentTimeout + n.Settings.CallTimeout + answerMargin
	n.afterFunc(wait, func(n *Node) { s.giveUp(n, m.Call) })
}

func (s *onceOnly) giveUp(n *Node, call CallID) {
	if _, waiting := s.forwarded[call]; !waiting {
		return
	}
	delete(s.forwarded, call)
	n.do(AnswerCall{
		Call: call, Outcome: Unknown, Reason: OwnerUnreachable, RetryAfter: n.spread(callRetryAfter),
	})
}

func (s *onceOnly) keyAnswer(n *Node, from NodeID, m KeyAnswer) {
	f, waiting := s.forwarded[m.Call]
	if !waiting || f.to != from {
		return
	}
	delete(s.forwarded, m.Call)
	n.do(AnswerCall(m))
}
