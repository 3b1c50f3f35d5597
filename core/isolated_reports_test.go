package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// An isolated node's request ends one upstream after the other through a relay that works.
// The ends must be reported, as those of any other node are.
func TestIsolatedNodeReportsUpstreamsThatEndBehindARelay(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		t.Run(fmt.Sprint(isolated), func(t *testing.T) {
			is := is.New(t)
			h := newLedgerNode("s1", "s2", "s3", "s4", "s5")
			if isolated {
				h.isolate()
			}
			reports := 0
			for id := core.ForwardID(1); id <= 3; id++ {
				m := forwardTo(id, "pay")
				m.Key = "deadly"
				runs := commandsOf[core.RunForward](h.deliver(m))
				if len(runs) == 0 {
					break
				}
				h.advance(50 * time.Millisecond)
				failed := core.StepFailed{ID: id, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, BrokenOff: true}
				if isolated {
					failed.Relay = "n2"
				}
				reports += len(sentTo[core.SuspectsReported](h.deliver(failed), "n2"))
				h.advance(300 * time.Millisecond)
			}
			is.True(reports > 0)
		})
	}
}

// A deadly prompt comes at nodes that are cut off from all upstreams, and ends each engine that
// begins to write an answer on it. The bound is that of TestPromptsThatEndEnginesAreRejected.
func TestDeadlyPromptsAreRejectedDuringACut(t *testing.T) {
	for i := range 12 {
		share, seed := []float64{0, 0.75, 0.9}[i%3], uint64(i/3+1)
		t.Run(fmt.Sprintf("share %g, seed %d", share, seed), func(t *testing.T) {
			is := is.New(t)
			w := newHostedWorld(worldOptions{nodes: 8, prefillers: 6, decoders: 12, seed: seed})
			w.eventful = true
			w.peerDelay = func(core.PeerBody) time.Duration { return slowPeerDelay }
			tainted, poisoned := []core.PromptPart{"first", "deadly"}, false
			w.parts = func() []core.PromptPart {
				if poisoned && w.rng.Float64() < 0.2 {
					return tainted
				}
				return []core.PromptPart{core.PromptPart(fmt.Sprint("other", w.rng.IntN(500)))}
			}
			w.deadly = "deadly"
			w.run(3 * time.Second)
			w.load("resumable", 0.4*modelCapacity*12/8, 30*time.Second)
			w.run(4 * time.Second)
			cut := map[*worldNode]bool{}
			for _, i := range w.rng.Perm(8)[:int(share*8)] {
				cut[w.nodes[i]] = true
			}
			w.cutUpstreams(hang, 20*time.Second, func(n *worldNode) bool { return cut[n] })
			w.run(4 * time.Second)
			poisoned = true
			w.run(16 * time.Second)
			t.Logf("%d engines ended, %d arrivals", len(w.crashes), len(w.deadlyArrivals))
			is.True(len(w.crashes) > 0)
			last := w.crashes[min(len(w.crashes), toleratedCrashes)-1]
			late := 0
			for _, at := range w.deadlyArrivals {
				late += btoi(at > last.Add(contact))
			}
			t.Logf("%d late arrivals", late)
			is.True(len(w.crashes) < toleratedCrashes || late <= toleratedArrivals)
		})
	}
}

// breakOff has the upstream of the request's run end the connection, and returns what the node does.
func (h *hostedNode) breakOff(id core.ForwardID, run core.RunForward) []core.Command {
	h.advance(50 * time.Millisecond)
	return h.deliver(core.StepFailed{ID: id, Send: run.Send, Engine: run.Engine, Step: core.RunStep, BrokenOff: true})
}

// crashesSent returns the ends of upstreams that commands report to another node.
func crashesSent(commands []core.Command) int {
	count := 0
	for _, m := range sentTo[core.SuspectsReported](commands, "n2") {
		count += len(m.Crashes)
	}
	return count
}

// advanceWithPeer advances the time while the other node stays reachable.
func (h *hostedNode) advanceWithPeer(d time.Duration) []core.Command {
	var out []core.Command
	for range d / (100 * time.Millisecond) {
		out = append(out, h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2}})...)
		out = append(out, h.advance(100*time.Millisecond)...)
	}
	return out
}

// probesOf delivers the outcome of all probes of an upstream for a time, and returns what the node
// does.
func (h *hostedNode) probesOf(id core.EngineID, outcome core.ConnectOutcome, out []core.Command, d time.Duration) []core.Command {
	all := out
	for range d / (100 * time.Millisecond) {
		var next []core.Command
		for _, p := range commandsOf[core.ProbeUpstream](out) {
			if p.Engine == id && p.Relay.Node == "" {
				next = append(next, h.deliver(core.ConnectionObserved{Engine: id, Outcome: outcome})...)
			}
		}
		out = append(next, h.advanceWithPeer(100*time.Millisecond)...)
		all = append(all, out...)
	}
	return all
}

// Two upstreams have failed, and a request ends a third one. The failures might be those of the
// node's own path, and the end was never reported, although they were not.
func TestEndsOfUpstreamsAmongFailuresOfOthersAreReported(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(*hostedNode) []core.Command
		// outcome is that of probes of the upstream.
		outcome core.ConnectOutcome
		want    int
	}{
		{"others are reached", func(h *hostedNode) []core.Command {
			return h.deliver(core.ConnectionObserved{Engine: "none", Outcome: core.Connected})
		}, core.ConnectFailed, 1},
		{"others are reached, and it is", func(h *hostedNode) []core.Command {
			return h.deliver(core.ConnectionObserved{Engine: "none", Outcome: core.Connected})
		}, core.Answered, 0},
		{"nothing else is known", func(*hostedNode) []core.Command { return nil }, core.ConnectFailed, 1},
		{"it is reached later", func(*hostedNode) []core.Command { return nil }, core.Answered, 0},
		{"others fail again", func(h *hostedNode) []core.Command {
			out := h.advanceWithPeer(time.Second)
			return append(out, h.unreached("none", "any")...)
		}, core.ConnectFailed, 1},
		{"a relay reaches others", func(h *hostedNode) []core.Command {
			return h.deliver(core.ConnectionObserved{Engine: "none", Relay: "n2", Outcome: core.Connected})
		}, core.ConnectFailed, 0},
		{"it leaves the list", func(h *hostedNode) []core.Command {
			return h.deliver(core.InstancesRead{After: 1, Offset: 2, Removed: []core.EngineID{"s1"}})
		}, core.Answered, 1},
		{"it starts again", func(h *hostedNode) []core.Command {
			again := plainInstance("s1")
			again.Born = 2
			return h.deliver(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{again}})
		}, core.Answered, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newLedgerNode("s1")
			runs := commandsOf[core.RunForward](h.deliver(keyed(1, "deadly")))
			is.Equal(len(runs), 1)
			h.unreached("none", "any")
			is.Equal(crashesSent(h.breakOff(1, runs[0])), 0)
			is.Equal(crashesSent(h.probesOf("s1", c.outcome, c.then(h), 5*time.Second)), c.want)
		})
	}
}

// A connection breaks off among failures of other upstreams, and its upstream answers another
// request. It has not ended.
func TestUpstreamsThatAnswerAmongFailuresOfOthersAreNotReported(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1")
	runs := commandsOf[core.RunForward](h.deliver(keyed(1, "sound")))
	h.unreached("none", "any")
	h.breakOff(1, runs[0])
	others := commandsOf[core.RunForward](h.deliver(keyed(2, "other")))
	is.Equal(len(others), 1)
	out := h.deliver(core.ForwardResponseCompleted{ID: 2, Send: others[0].Send, Engine: "s1"})
	is.Equal(crashesSent(h.probesOf("s1", core.ConnectFailed, out, 5*time.Second)), 0)
}

// What a node holds back while it doubts its own path stays bounded, in number and in time.
func TestEndsOfUpstreamsHeldBackAreBounded(t *testing.T) {
	for _, settled := range []bool{true, false} {
		t.Run(fmt.Sprint(settled), func(t *testing.T) {
			is := is.New(t)
			h := newPathNode()
			var runs []core.RunForward
			for id := range core.ForwardID(400) {
				runs = append(runs, commandsOf[core.RunForward](h.deliver(keyed(id+1, core.RequestKey(fmt.Sprint("invented", id)))))...)
			}
			is.True(len(runs) > 300)
			h.unreached("none", "any")
			for _, run := range runs {
				h.deliver(core.StepFailed{ID: run.ID, Send: run.Send, Engine: run.Engine, Step: core.RunStep, BrokenOff: true})
			}
			if !settled {
				h.advanceWithPeer(11 * time.Second)
			}
			read := core.InstancesRead{After: 1, Offset: 2}
			for _, run := range runs {
				read.Removed = append(read.Removed, run.Engine)
			}
			sent := crashesSent(append(h.deliver(read), h.advanceWithPeer(5*time.Second)...))
			is.Equal(sent > 0, settled)
			is.True(sent <= 256)
		})
	}
}
