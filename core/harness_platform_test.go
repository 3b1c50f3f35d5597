package core_test

import (
	"fmt"
	"time"

	"daisyshed.dev/core"
)

// logEpoch is the time of the log's clock at the start of a world.
const logEpoch = int64(1_700_000_000) * int64(time.Second)

// logFault holds the faults of the log.
type logFault struct {
	down bool
	// lostReply is the probability that an append takes effect but its reply is
	// lost, and lateAppend that it takes effect only after it was reported as failed.
	lostReply, lateAppend float64
	// slow is the upper bound on the extra delay of an append, and of each way
	// of a read.
	slow time.Duration
	// cut holds the nodes that cannot reach the log while others can.
	cut map[core.NodeID]bool
}

// fakeLog is an append-only log with offsets per stream.
type fakeLog struct {
	w         *world
	streams   map[core.StreamID][]core.LogRecord
	retention time.Duration
	fault     logFault
	// unconfirmedAppends counts the appends that took effect though they were
	// reported as failed.
	unconfirmedAppends int
}

func newFakeLog(w *world) *fakeLog {
	return &fakeLog{w: w, streams: map[core.StreamID][]core.LogRecord{}, retention: time.Hour}
}

func (l *fakeLog) clock() int64 { return logEpoch + int64(l.w.now) }

// put appends records at once, as an operator's client does.
func (l *fakeLog) put(stream core.StreamID, records ...core.Record) core.Offset {
	first := core.Offset(len(l.streams[stream]) + 1)
	for i, r := range records {
		l.streams[stream] = append(l.streams[stream], core.LogRecord{
			Offset: first + core.Offset(i), At: l.clock(), Record: r,
		})
	}
	return first
}

func (l *fakeLog) unreachable(h *host) bool { return l.fault.down || l.fault.cut[h.info.ID] }

func (l *fakeLog) append(h *host, c core.AppendLog) {
	w := l.w
	delay := 2*time.Millisecond + w.upTo(4*time.Millisecond) + w.upTo(l.fault.slow)
	switch {
	case l.unreachable(h):
		w.reply(h, delay, core.LogAppendFailed{Ticket: c.Ticket, NotAppended: w.chance(0.5), Reason: "down"})
	case w.chance(l.fault.lostReply):
		l.unconfirmedAppends++
		w.at(w.now+delay, func() { l.put(c.Stream, c.Records...) })
		w.reply(h, 2*delay, core.LogAppendFailed{Ticket: c.Ticket, Reason: "reply lost"})
	case w.chance(l.fault.lateAppend):
		l.unconfirmedAppends++
		w.at(w.now+time.Second+w.upTo(10*time.Second), func() { l.put(c.Stream, c.Records...) })
		w.reply(h, delay, core.LogAppendFailed{Ticket: c.Ticket, Reason: "timeout"})
	default:
		incarnation := h.incarnation
		w.at(w.now+delay, func() {
			first := l.put(c.Stream, c.Records...)
			if h.incarnation == incarnation {
				w.reply(h, w.upTo(2*time.Millisecond), core.LogAppended{Ticket: c.Ticket, First: first})
			}
		})
	}
}

func (l *fakeLog) read(h *host, c core.ReadLog) {
	w := l.w
	delay := time.Millisecond + w.upTo(3*time.Millisecond) + w.upTo(l.fault.slow)
	if l.unreachable(h) {
		w.reply(h, delay, core.LogReadFailed{Stream: c.Stream, Reason: "down"})
		return
	}
	incarnation := h.incarnation
	w.at(w.now+delay, func() {
		if h.incarnation == incarnation {
			w.reply(h, w.upTo(2*time.Millisecond)+w.upTo(l.fault.slow), l.answer(c))
		}
	})
}

// answer returns up to a page of the records that the log still keeps.
func (l *fakeLog) answer(c core.ReadLog) core.LogRead {
	const page = 50
	all := l.streams[c.Stream]
	first := 0
	for first < len(all) && l.clock()-all[first].At >= int64(l.retention) {
		first++
	}
	from := min(max(first, int(c.After)), len(all))
	to := min(from+page, len(all))
	return core.LogRead{
		Stream: c.Stream, After: c.After, Records: all[from:to:to],
		First: core.Offset(first + 1), End: core.Offset(len(all)), Now: l.clock(), Retention: l.retention,
	}
}

// serviceFault holds the faults of the plain services.
type serviceFault struct {
	// reject is the probability that a call is rejected before it runs,
	// lostAnswer that it runs but its answer is lost, and lateRun that it runs
	// only after the timeout.
	reject, lostAnswer, lateRun float64
}

// fakeServices are the plain services. They record the runs of each key.
type fakeServices struct {
	w     *world
	ran   map[core.IdempotencyKey][]string
	fault serviceFault
}

func (s *fakeServices) call(h *host, c core.CallService) {
	w := s.w
	delay := time.Millisecond + w.upTo(20*time.Millisecond)
	run := func() {
		s.ran[c.Key] = append(s.ran[c.Key], fmt.Sprintf("%s from %s/%d at %v", c.Engine, h.info.ID, h.incarnation, w.now))
	}
	switch {
	case w.chance(s.fault.reject):
		w.reply(h, delay, core.ServiceFailed{Ticket: c.Ticket, Engine: c.Engine, NotRun: true, Reason: "refused"})
	case w.chance(s.fault.lostAnswer):
		w.at(w.now+delay, run)
		w.reply(h, c.Timeout, core.ServiceFailed{Ticket: c.Ticket, Engine: c.Engine, Reason: "timeout"})
	case w.chance(s.fault.lateRun):
		w.at(w.now+c.Timeout+delay, run)
		w.reply(h, c.Timeout, core.ServiceFailed{Ticket: c.Ticket, Engine: c.Engine, Reason: "timeout"})
	default:
		w.at(w.now+delay, run)
		w.reply(h, 2*delay, core.ServiceAnswered{Ticket: c.Ticket, Engine: c.Engine, Status: 200, Body: []byte(c.Key)})
	}
}

// sentCall is one call of a caller, with its answer.
type sentCall struct {
	call   core.ServiceCall
	node   core.NodeID
	sentAt time.Duration
	// incarnation is the incarnation of the node that received the call.
	incarnation core.Incarnation
	answered    bool
	answer      core.AnswerCall
}

// fakeCallers send calls and check the answers.
type fakeCallers struct {
	w     *world
	byID  map[core.CallID]*sentCall
	byKey map[core.IdempotencyKey][]*sentCall
}

func (c *fakeCallers) send(id core.NodeID, key core.IdempotencyKey, profile core.ProfileID) *sentCall {
	return c.sendCall(id, key, profile, false)
}

// sendFirst sends a call whose caller states that it has never sent the key
// before.
func (c *fakeCallers) sendFirst(id core.NodeID, key core.IdempotencyKey, profile core.ProfileID) *sentCall {
	return c.sendCall(id, key, profile, true)
}

func (c *fakeCallers) sendCall(id core.NodeID, key core.IdempotencyKey, profile core.ProfileID, first bool) *sentCall {
	h := c.w.hosts[id]
	call := core.ServiceCall{
		Call:    core.CallID(fmt.Sprintf("%s/%d/%d", id, h.incarnation, len(c.byID))),
		Profile: profile, Customer: "gardener", Key: key, First: first, Body: []byte("body of " + key),
	}
	sent := &sentCall{call: call, node: id, sentAt: c.w.now, incarnation: h.incarnation}
	c.byID[call.Call] = sent
	c.byKey[key] = append(c.byKey[key], sent)
	c.w.send(id, call)
	return sent
}

func (c *fakeCallers) answered(a core.AnswerCall) {
	sent := c.byID[a.Call]
	if sent == nil || sent.answered {
		c.w.t.Fatalf("call %s was answered twice or never sent", a.Call)
		return
	}
	sent.answered, sent.answer = true, a
	ran := len(c.w.services.ran[sent.call.Key]) > 0
	if a.Outcome == core.Ran && !ran {
		c.w.t.Fatalf("call %s was answered Ran but its key %s never ran", a.Call, sent.call.Key)
	}
	keyed := sent.call.Key != "" && a.Reason != core.KeyReused
	if keyed && a.Outcome == core.NotRun && ran {
		c.w.t.Fatalf("call %s was answered NotRun but its key %s ran", a.Call, sent.call.Key)
	}
}

// check asserts that no key ran twice, and that no key ran although all of its
// calls were answered NotRun.
func (c *fakeCallers) check() {
	c.w.t.Helper()
	for key, runs := range c.w.services.ran {
		if key == "" {
			continue
		}
		if len(runs) > 1 {
			c.w.t.Fatalf("key %s ran more than once: %v", key, runs)
		}
		if c.allNotRun(key) {
			c.w.t.Fatalf("key %s ran, but all of its calls were answered NotRun: %v", key, runs)
		}
	}
}

func (c *fakeCallers) allNotRun(key core.IdempotencyKey) bool {
	for _, sent := range c.byKey[key] {
		if !sent.answered || sent.answer.Outcome != core.NotRun {
			return false
		}
	}
	return true
}
