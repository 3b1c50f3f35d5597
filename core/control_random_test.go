package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"pgregory.net/rapid"
)

// controlMachine injects random faults into nodes and checks the invariants of
// the configuration and of at-most-once calls after each step.
type controlMachine struct {
	w *world
	// lastStatus holds the latest status of each incarnation of each node.
	lastStatus map[string]core.Status
	published  int
}

func (m *controlMachine) node(t *rapid.T) core.NodeID {
	return rapid.SampledFrom(m.w.ids).Draw(t, "node")
}

func (m *controlMachine) advance(t *rapid.T) {
	ms := rapid.IntRange(1, 4000).Draw(t, "ms")
	m.w.advance(time.Duration(ms) * time.Millisecond)
}

// call sends some calls, some of them under keys that were used before.
func (m *controlMachine) call(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		id := m.node(t)
		key := core.IdempotencyKey(fmt.Sprintf("key-%d", rapid.IntRange(0, len(m.w.callers.byKey)).Draw(t, "key")))
		if rapid.Bool().Draw(t, "fresh") {
			key = core.IdempotencyKey(fmt.Sprintf("fresh-%d", len(m.w.callers.byID)))
		}
		if m.w.hosts[id].up {
			m.w.callers.send(id, key, payPost)
		}
		m.w.advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * time.Millisecond)
	}
}

// publish appends publications of racing operators. Some publications are
// repeated, as after a lost reply.
func (m *controlMachine) publish(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "operators") {
		m.published++
		publication := core.PublicationID(fmt.Sprintf("p%d", m.published-rapid.IntRange(0, 1).Draw(t, "repeated")))
		base := core.Revision(rapid.IntRange(0, 3).Draw(t, "base"))
		m.w.log.put(core.ConfigStream, published("bill-summary", publication, base))
	}
}

func (m *controlMachine) disturbNetwork(t *rapid.T) {
	f := m.w.link(m.node(t), m.node(t))
	f.cut = rapid.Bool().Draw(t, "cut")
	f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	f.dup = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "dup")
	f.extraDelay = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 5 * time.Second}).Draw(t, "delay")
}

func (m *controlMachine) disturbLog(t *rapid.T) {
	m.w.log.fault = logFault{
		down:       rapid.IntRange(0, 3).Draw(t, "down") == 0,
		lostReply:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lostReply"),
		lateAppend: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "late"),
		slow:       rapid.SampledFrom([]time.Duration{0, 0, 3 * time.Second}).Draw(t, "slow"),
		cut:        map[core.NodeID]bool{m.node(t): rapid.Bool().Draw(t, "cut")},
	}
}

func (m *controlMachine) disturbPlatform(t *rapid.T) {
	m.w.vmListDown = rapid.Bool().Draw(t, "vmsDown")
	m.w.services.fault = serviceFault{
		reject:     rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "refuse"),
		lostAnswer: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost"),
		lateRun:    rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late"),
	}
}

func (m *controlMachine) stopNode(t *rapid.T) {
	id := m.node(t)
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0:
		m.w.freeze(id, false)
	case 1:
		m.w.freeze(id, true)
	case 2:
		m.w.kill(id)
	case 3:
		m.w.restart(id)
	}
}

func (m *controlMachine) resumeNode(t *rapid.T) {
	id := m.node(t)
	if m.w.hosts[id].up {
		m.w.resume(id)
		return
	}
	m.w.restart(id)
}

func (m *controlMachine) heal(*rapid.T) { m.w.heal() }

// check asserts the invariants that hold at all times.
func (m *controlMachine) check(t *rapid.T) {
	m.w.callers.check()
	for _, id := range m.w.ids {
		if h := m.w.hosts[id]; h.up && !h.frozen && !h.pauseBeforeCommands {
			m.checkConfigurationMonotone(t, fmt.Sprintf("%s/%d", id, h.incarnation), m.w.status(id))
		}
	}
}

func (m *controlMachine) checkConfigurationMonotone(t *rapid.T, start string, now core.Status) {
	before := m.lastStatus[start]
	m.lastStatus[start] = now
	if now.ConfigOffset < before.ConfigOffset {
		t.Fatalf("%s went back from offset %d to %d", start, before.ConfigOffset, now.ConfigOffset)
	}
	for _, old := range before.Profiles {
		if e, ok := profileEntry(now, old.Profile.ID); !ok || e.Revision < old.Revision {
			t.Fatalf("%s reverted profile %s", start, old.Profile.ID)
		}
	}
}

func profileEntry(s core.Status, id core.ProfileID) (core.ProfileEntry, bool) {
	for _, e := range s.Profiles {
		if e.Profile.ID == id {
			return e, true
		}
	}
	return core.ProfileEntry{}, false
}

// finish ends all faults and asserts that the nodes' configurations and member
// lists converge, that every call was answered, and that calls run again.
func (m *controlMachine) finish(t *rapid.T) {
	w := m.w
	w.heal()
	w.advance(5 * time.Second)
	want := core.Offset(len(w.log.streams[core.ConfigStream]))
	for _, id := range w.ids {
		if got := w.status(id).ConfigOffset; got < want {
			t.Fatalf("%s is at offset %d of %d, 5 s after the faults", id, got, want)
		}
	}
	w.advance(25 * time.Second)
	for _, id := range w.ids {
		if got := w.aliveAt(id); got != len(w.ids)-1 {
			t.Fatalf("%s knows %d live members, 30 s after the faults", id, got)
		}
	}
	for _, id := range w.ids {
		key := core.IdempotencyKey("final-" + id)
		if got := w.callers.send(id, key, payPost).answerAfter(w, 3*time.Second); got.Outcome != core.Ran {
			t.Fatalf("a call after the faults ends with %v, %v", got.Outcome, got.Reason)
		}
	}
	w.callers.check()
	w.callers.checkAnswered()
}

// checkAnswered asserts that every call was answered unless its node was
// restarted.
func (c *fakeCallers) checkAnswered() {
	for _, sent := range c.byID {
		h := c.w.hosts[sent.node]
		if !sent.answered && sent.incarnation == h.incarnation {
			c.w.t.Fatalf("call %s never got an answer", sent.call.Call)
		}
	}
}

func TestControlUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(3, 5).Draw(t, "nodes")
		m := &controlMachine{lastStatus: map[string]core.Status{}}
		m.w = newControlWorld(t, rapid.Uint64().Draw(t, "seed"), nodes)
		m.w.advance(3 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "advanceAgain": m.advance,
			"call": m.call, "callAgain": m.call,
			"publish": m.publish, "network": m.disturbNetwork, "log": m.disturbLog,
			"platform": m.disturbPlatform, "stop": m.stopNode, "resume": m.resumeNode,
			"resumeAgain": m.resumeNode, "heal": m.heal,
			"": m.check,
		})
		m.finish(t)
	})
}
