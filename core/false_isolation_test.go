package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against upstreams that accept connections and are silent for a moment, taken for a partition
// by a node that has no relay: it rejects all requests.
func TestSilentUpstreamsDoNotIsolateANodeWithoutRelays(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.advance(10 * time.Second)
	out := h.unanswered("s1", "s2", "s3", "s4")
	out = append(out, h.advance(time.Second)...)
	first, _ := relaysFirst(out).Get()
	is.True(!first)
	is.Equal(len(commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))), 0)
}

// Guards against upstreams that hang for a moment, mistaken for a partition of the node: relays could
// not reach them either, and the first success through a relay proves nothing about the direct path.
func TestUpstreamsThatGoOnDoNotIsolate(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.unreached("s1", "s2")
	for _, id := range []core.EngineID{"s1", "s2"} {
		h.deliver(core.ConnectionObserved{Engine: id, Relay: "n2", Outcome: core.RelayFailed})
	}
	out := h.advanceWithPeer(1100 * time.Millisecond)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "s1", Relay: "n2", Outcome: core.Connected})...)
	first, _ := relaysFirst(out).Get()
	is.True(!first)
}

// Guards against resets that end an isolation too early: in one partition, connections to some
// upstreams may hang while those to others are reset.
func TestConnectionsThatAreResetDoNotEndAnIsolation(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.isolate()
	for _, id := range []core.EngineID{"s3", "s4"} {
		is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: id, Outcome: core.ConnectBroken})), core.None[bool]())
	}
}
