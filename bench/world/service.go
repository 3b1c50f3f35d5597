package world

import (
	"time"

	"daisyshed.dev/core"
)

// service is a plain service that counts the calls that it ran.
type service struct {
	spec ServiceSpec
	// runs counts the calls that ran by idempotency key.
	runs map[core.IdempotencyKey]int
	// down is set while the service rejects calls before they run. loseReplies is
	// how many of the next replies are lost after their calls have run.
	down        bool
	loseReplies int
}

// Call is a call to a plain service, with the answers that its caller received.
type Call struct {
	Call core.ServiceCall
	// Answers holds the final answers that the caller received, in order.
	Answers []core.AnswerCall
	// FalseNotRun is set if an answer was NotRun although the key had run.
	FalseNotRun bool
	// Lost counts the connections lost before an answer.
	Lost int
}

// SendCall sends a call to a node now.
func (w *World) SendCall(c *Call, id core.NodeID) {
	w.After(w.CallerDelay, func() {
		n, ok := w.nodes[id]
		if !ok || n.stopped {
			c.Lost++
			return
		}
		n.calls[c.Call.Call] = c
		n.receive(c.Call)
	})
}

func (n *node) answerCall(m core.AnswerCall) {
	c, ok := n.calls[m.Call]
	if !ok {
		return
	}
	delete(n.calls, m.Call)
	if m.Outcome == core.NotRun && n.world.Ran(c.Call.Key) > 0 {
		c.FalseNotRun = true
	}
	n.world.After(n.world.CallerDelay, func() { c.Answers = append(c.Answers, m) })
}

func (n *node) callService(m core.CallService) {
	w := n.world
	s, ok := w.services[m.Engine]
	w.After(w.LinkDelay, func() {
		if !ok || s.down {
			n.receiveAfter(w.LinkDelay, core.ServiceFailed{Ticket: m.Ticket, Engine: m.Engine, NotRun: true, Reason: "refused"})
			return
		}
		s.recordRun(m.Key)
		if s.loseReplies > 0 {
			s.loseReplies--
			n.receiveAfter(w.replyLossDelay(m.Timeout), core.ServiceFailed{Ticket: m.Ticket, Engine: m.Engine, Reason: "reply lost"})
			return
		}
		w.After(s.spec.Time, func() {
			n.receiveAfter(w.LinkDelay, core.ServiceAnswered{Ticket: m.Ticket, Engine: m.Engine, Status: 200, Body: m.Body})
		})
	})
}

// replyLossDelay returns how long a node takes to notice that a reply is lost.
// In half of the cases the connection breaks and it notices after LinkDelay, in
// the others it waits for the timeout.
func (w *World) replyLossDelay(timeout time.Duration) time.Duration {
	if w.rng.IntN(2) == 0 {
		return w.LinkDelay
	}
	return timeout
}

func (s *service) recordRun(key core.IdempotencyKey) {
	if s.runs == nil {
		s.runs = make(map[core.IdempotencyKey]int)
	}
	s.runs[key]++
}

// Ran returns how often calls with the key have run, over all plain services.
func (w *World) Ran(key core.IdempotencyKey) int {
	total := 0
	for _, s := range w.services {
		total += s.runs[key]
	}
	return total
}

// LoseServiceReplies makes a plain service lose its next count replies.
func (w *World) LoseServiceReplies(id core.EngineID, count int) { w.services[id].loseReplies = count }

// SetServiceDown makes a plain service reject calls if down is set, and accept
// them again if it is not.
func (w *World) SetServiceDown(id core.EngineID, down bool) { w.services[id].down = down }
