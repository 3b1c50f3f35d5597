package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// firstBlock is for how long a request is blocked at first, and lateTrial how much later its
	// trial may come.
	firstBlock = 2 * time.Minute
	lateTrial  = 5 * time.Second
	// probeID is below the ids of the requests that blockedNodes sends.
	probeID core.ForwardID = 1_000_000
)

// newBlockedWorld returns nodes with slow messages, one in twenty of which is lost, that have all
// seen three upstreams end under a request.
func newBlockedWorld(nodes int, key core.RequestKey) *hostedWorld {
	w := newHostedWorld(worldOptions{nodes: nodes, plain: 3, slots: 6, seed: 3})
	w.run(4 * time.Second)
	w.slowLinks()
	for i := range 3 {
		crash := core.EngineCrash{Engine: core.EngineID(fmt.Sprint("e", i)), Born: 1}
		for _, n := range w.nodes {
			n.deliver(core.PeerMessage{From: n.node.Self.ID, Incarnation: 1, Body: core.SuspectsReported{Crashes: []core.CrashReport{{
				Service: "ledger", Request: key, RanFor: 50 * time.Millisecond, Crash: crash,
			}}}})
		}
		w.run(200 * time.Millisecond)
	}
	return w
}

// blockedNodes returns how many nodes reject a request as one that ends upstreams.
func (w *hostedWorld) blockedNodes(key core.RequestKey, number int) int {
	count := 0
	for i, n := range w.nodes {
		id := probeID + core.ForwardID(number*len(w.nodes)+i)
		ends := commandsOf[core.EndForward](n.node.Update(w.now, keyed(id, key)))
		count += btoi(len(ends) == 1 && ends[0].Reason == core.CrashingRequest)
	}
	return count
}

// Nodes report to each other how much time is left of a block. Each report extended the block by the
// delay of its message, so that with slow messages the trial that ends a block never came.
func TestSlowMessagesDoNotExtendABlock(t *testing.T) {
	for _, nodes := range []int{4, 8, 82} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			if testing.Short() && nodes > 8 {
				t.Skip("the race detector takes long for this size")
			}
			is := is.New(t)
			w := newBlockedWorld(nodes, "chance")
			w.run(firstBlock - time.Second)
			is.Equal(w.blockedNodes("chance", 1), nodes)
			w.run(time.Second + lateTrial)
			is.Equal(w.blockedNodes("chance", 2), nodes-1)
		})
	}
}

// The trial of a request that was blocked by chance has a sound answer. Nodes that did not receive
// the report of that made the others block the request again.
func TestSoundTrialEndsABlockAtAllNodes(t *testing.T) {
	for _, nodes := range []int{4, 8, 82} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			if testing.Short() && nodes > 8 {
				t.Skip("the race detector takes long for this size")
			}
			is := is.New(t)
			w := newBlockedWorld(nodes, "chance")
			w.run(firstBlock + lateTrial)
			next := 0
			w.pick = func() *worldNode { next++; return w.nodes[next%len(w.nodes)] }
			for range 2 * nodes {
				w.key = "chance"
				w.sendRequest("read", worldOutput, w.now, true, 0)
				w.run(50 * time.Millisecond)
			}
			w.run(contact)
			is.Equal(w.blockedNodes("chance", 1), 0)
		})
	}
}

// A trial has cleared a request at a node. The node answers reports of the old block with that, but
// accepts a block that began after it.
func TestClearedRequestIsBlockedAgainByNewEnds(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	suspect := core.CrashSuspect{Service: "ledger", Request: "cleared"}
	blocked := func(left time.Duration) []core.Command {
		return h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Blocked: []core.SuspectBlock{{CrashSuspect: suspect, Left: left}}}})
	}
	blocked(0)
	h.advance(time.Second)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Sound: []core.CrashSuspect{suspect}}})
	told := sentTo[core.SuspectsReported](blocked(time.Second), "n2")
	is.Equal(len(told), 1)
	is.Equal(told[0].Sound, []core.CrashSuspect{suspect})
	is.True(!h.blockedAs(1, "cleared"))
	is.Equal(len(sentTo[core.SuspectsReported](blocked(firstBlock), "n2")), 0)
	is.True(h.blockedAs(2, "cleared"))
}
