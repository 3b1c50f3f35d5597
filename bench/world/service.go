package world

import (
	"time"

	"daisyshed.dev/core"
)

// service is a plain service that records what ran.
type service struct {
	spec ServiceSpec
	// ran counts the calls by key, and by body where there is no key.
	ran map[core.IdempotencyKey]int
	// down refuses calls before they run; loseReplies loses that many answers.
	down        bool
	loseReplies int
}

// Call is one call to a plain service and what its caller saw of it.
type Call struct {
	Call core.ServiceCall
	// Answers are the final answers that the caller got, in order.
	Answers []core.AnswerCall
	// FalseNotRun is set if an answer said NotRun of a key that had run.
	FalseNotRun bool
	// Lost counts connections lost before an answer.
	Lost int
}

// AskCall sends a call through a node now.
func (w *World) AskCall(c *Call, id core.NodeID) {
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
			n.later(w.LinkDelay, core.ServiceFailed{Ticket: m.Ticket, Engine: m.Engine, NotRun: true, Reason: "refused"})
			return
		}
		s.run(m.Key)
		if s.loseReplies > 0 {
			s.loseReplies--
			n.later(w.lossNoticed(m.Timeout), core.ServiceFailed{Ticket: m.Ticket, Engine: m.Engine, Reason: "reply lost"})
			return
		}
		w.After(s.spec.Time, func() {
			n.later(w.LinkDelay, core.ServiceAnswered{Ticket: m.Ticket, Engine: m.Engine, Status: 200, Body: m.Body})
		})
	})
}

// lossNoticed returns when a lost reply shows: at once where the connection
// breaks, else at the timeout.
func (w *World) lossNoticed(timeout time.Duration) time.Duration {
	if w.rng.IntN(2) == 0 {
		return w.LinkDelay
	}
	return timeout
}

func (s *service) run(key core.IdempotencyKey) {
	if s.ran == nil {
		s.ran = make(map[core.IdempotencyKey]int)
	}
	s.ran[key]++
}

// Ran returns how often a key ran at any plain service.
func (w *World) Ran(key core.IdempotencyKey) int {
	total := 0
	for _, s := range w.services {
		total += s.ran[key]
	}
	return total
}

// LoseServiceReplies loses the next count answers of a plain service.
func (w *World) LoseServiceReplies(id core.EngineID, count int) { w.services[id].loseReplies = count }

// ServiceDown makes a plain service refuse calls, or accept them again.
func (w *World) ServiceDown(id core.EngineID, down bool) { w.services[id].down = down }
