package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// newEngineNode returns a hosted node with one prefill and one decode engine.
func newEngineNode() *hostedNode {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	engine := func(id core.EngineID, role core.Role) core.Instance {
		return core.Instance{ID: id, Service: "model", Domain: "d1", Address: string(id) + ":1", Slots: 16, Role: role, Born: 1}
	}
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{
		Whole: true, Offset: 1, Changed: []core.Instance{engine("p1", core.Prefill), engine("d1", core.Decode)},
	})
	addPeer(h, "n2")
	return h
}

func promptTo(id core.ForwardID, parts ...core.PromptPart) core.Forward {
	m := forwardTo(id, "draft")
	m.Patience = worldTimeout
	m.Generation = core.Some(core.Generation{Prompt: worldPrompt, MaxOutput: worldOutput, Parts: parts})
	return m
}

// reportCrash delivers the report of another node that an engine ended under a prompt, some
// time after the one before.
func (h *hostedNode) reportCrash(n int, parts ...core.PromptPart) {
	h.advance(200 * time.Millisecond)
	h.reportCrashNow(n, parts...)
}

func (h *hostedNode) reportCrashNow(n int, parts ...core.PromptPart) {
	crash := core.EngineCrash{Engine: core.EngineID(fmt.Sprint("e", n)), Born: 1}
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{
		Crashes: []core.CrashReport{{Service: "model", Parts: parts, Crash: crash}},
	}})
}

// rejected reports whether a request is rejected at once for its prompt.
func (h *hostedNode) rejected(m core.Forward) bool {
	for _, c := range commandsOf[core.EndForward](h.deliver(m)) {
		if c.ID == m.ID && c.Reason == core.CrashingPrompt && c.NotRun && c.RetryAfter > 0 {
			return true
		}
	}
	return false
}

// Engines end under prompts with a part that sound requests share and one that they do not.
// Only the latter is blocked; blocking the shared part would reject all of them.
func TestPartThatSoundPromptsShareIsNotBlocked(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	for i := range 3 {
		is.True(!h.rejected(promptTo(core.ForwardID(10+i), "first", "deadly")))
		h.reportCrash(i, "first", "deadly")
	}
	is.True(h.rejected(promptTo(1, "first", "deadly")))
	is.True(h.rejected(promptTo(2, "other", "deadly", "third")))
	is.True(!h.rejected(promptTo(3, "first")))
	is.True(!h.rejected(promptTo(4)))
}

// The same end of an engine is reported by several nodes, and prompts that were there by
// chance are on two ends. Neither blocks a part.
func TestOneEndOfAnEngineBlocksNoPart(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	for _, n := range []int{1, 1, 1, 1, 2} {
		h.reportCrash(n, "innocent")
	}
	is.True(!h.rejected(promptTo(1, "innocent")))
}

// Many engines or connections end at the same moment, each with a request on a prompt that
// many callers share. The prompt is not the cause.
func TestEnginesThatEndTogetherBlockNoPart(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	for i := range 8 {
		h.reportCrashNow(i, "popular")
	}
	is.True(!h.rejected(promptTo(1, "popular")))
}

// A block ends when the part no longer ends engines. One request finds that out, after the
// block's time, and not one of each node or caller.
func TestBlockEndsByOneTrial(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: newEngines()})
	for i := range 3 {
		h.reportCrash(i, "deadly")
	}
	is.True(h.rejected(promptTo(1, "deadly")))
	h.advance(2*time.Minute + time.Second)
	is.True(!h.rejected(promptTo(2, "deadly")))
	is.True(h.rejected(promptTo(3, "deadly")))
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Sound: []core.CrashSuspect{{Service: "model", Part: "deadly"}}}})
	is.True(!h.rejected(promptTo(4, "deadly")))
}

func newEngines() []core.Instance {
	return []core.Instance{{ID: "d1", Service: "model", Domain: "d1", Address: "d1:1", Slots: 16, Role: core.Decode, Born: 1}}
}

// A node that starts after a part was blocked gets the block with the first message that it
// sends.
func TestStartingNodeLearnsOfBlockedParts(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	for i := range 3 {
		h.reportCrash(i, "deadly")
	}
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 2, Body: core.Heartbeat{Sequence: 9}})
	reports := sentTo[core.SuspectsReported](out, "n2")
	is.True(len(reports) > 0)
	is.Equal(len(reports[0].Blocked), 1)
	is.Equal(reports[0].Blocked[0].Part, core.PromptPart("deadly"))
	other := newEngineNode()
	other.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: reports[0]})
	is.True(other.rejected(promptTo(1, "deadly")))
}

// Callers invent parts. What a node remembers of them stays bounded.
func TestInventedPartsDoNotFillTheMemory(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 100_000 {
		h.node.Update(h.now, core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{
			Crashes: []core.CrashReport{{Service: "model", Parts: []core.PromptPart{core.PromptPart(fmt.Sprint("part", i))}, Crash: core.EngineCrash{Engine: "e"}}},
			Sound:   []core.CrashSuspect{{Service: "model", Part: core.PromptPart(fmt.Sprint("sound", i))}},
			Blocked: []core.SuspectBlock{{CrashSuspect: core.CrashSuspect{Service: "model", Part: core.PromptPart(fmt.Sprint("blocked", i))}, Left: time.Minute}},
		}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(h)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d KB", grown>>10)
	is.True(grown < 8<<20)
}

// Runs that the node itself gives up, as those that were to take over from a silent engine and
// had no event in time, say nothing about their prompts: all engines may be silent at once.
func TestRunsThatTheNodeGivesUpBlockNoPart(t *testing.T) {
	for brokenOff, rejected := range map[bool]bool{false: false, true: true} {
		is := is.New(t)
		h := newHosted("n1", core.Settings{})
		h.deliver(core.Tick{}, worldState())
		for i := range core.ForwardID(4) {
			id := core.EngineID(fmt.Sprint("d", i))
			h.deliver(core.InstancesRead{Whole: true, Offset: core.Offset(i + 1), Changed: []core.Instance{
				{ID: "p1", Service: "model", Domain: "d1", Address: "p1:1", Slots: 16, Role: core.Prefill, Born: 1},
				{ID: id, Service: "model", Domain: "d1", Address: string(id) + ":1", Slots: 16, Role: core.Decode, Born: 1},
			}})
			h.advance(time.Second)
			out := h.deliver(promptTo(100+i, "popular"))
			for _, c := range commandsOf[core.RequestLease](out) {
				out = h.deliver(core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: "l"})
			}
			for _, c := range commandsOf[core.RunPrefill](out) {
				out = h.deliver(core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: "k", Tokens: worldPrompt})
			}
			runs := commandsOf[core.RunForward](out)
			if i == 3 {
				is.Equal(len(runs) == 0, rejected)
				break
			}
			is.Equal(len(runs), 1)
			h.deliver(core.StepFailed{ID: runs[0].ID, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, BrokenOff: brokenOff})
		}
	}
}

// A request with a part that ends engines comes again, and is on all three ends. The part is
// blocked with it: it was left until a fourth engine ended.
func TestPartIsBlockedBesideTheRequestThatComesAgain(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	for i := range 3 {
		h.advance(200 * time.Millisecond)
		h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Crashes: []core.CrashReport{{
			Service: "model", Parts: []core.PromptPart{"deadly"}, Request: "again", RanFor: 50 * time.Millisecond,
			Crash: core.EngineCrash{Engine: core.EngineID(fmt.Sprint("e", i)), Born: 1},
		}}}})
	}
	is.True(h.rejected(promptTo(1, "deadly")))
}

// Two engines end at the same moment under prompts with a part, and one later. Those of the same
// moment counted as one, so that a fourth one ended.
func TestEnginesThatEndTwiceAtOneMomentBlockAPart(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	h.reportCrash(1, "first", "deadly")
	h.reportCrashNow(2, "second", "deadly")
	h.advance(2 * time.Second)
	is.True(!h.rejected(promptTo(1, "other", "deadly")))
	h.reportCrash(3, "third", "deadly")
	is.True(h.rejected(promptTo(2, "other", "deadly")))
	is.True(!h.rejected(promptTo(3, "third")))
}

// Many engines end within a second, as when a failure domain loses its power, each with a request on a
// prompt that many callers share. The reports arrive at different times.
func TestEnginesThatEndWithinASecondBlockNoPart(t *testing.T) {
	is := is.New(t)
	h := newEngineNode()
	for i := range 8 {
		h.reportCrashNow(i, "popular")
		h.advance(20 * time.Millisecond)
	}
	is.True(!h.rejected(promptTo(1, "popular")))
}
