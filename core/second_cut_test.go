package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against a second cut, taken for the end of an upstream that was reached between the two: a
// connection broke in the first one, which was over after more than a second.
func TestSecondCutEndsNoUpstreamThatWasReached(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1")
	runs := commandsOf[core.RunForward](h.deliver(keyed(1, "sound")))
	is.Equal(len(runs), 1)
	h.unreached("none", "any")
	out := h.breakOff(1, runs[0])
	out = append(out, h.advanceWithPeer(1200*time.Millisecond)...)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "none", Outcome: core.Connected})...)
	out = append(out, h.probesOf("s1", core.Answered, out, 2*time.Second)...)
	is.Equal(crashesSent(out), 0)
	out = h.unreached("none", "any", "s1")
	is.Equal(crashesSent(out), 0)
}

// Guards against an upstream that resets connections, as one with too many does, taken for one that
// has ended.
func TestUpstreamThatResetsConnectionsHasNotEnded(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1")
	runs := commandsOf[core.RunForward](h.deliver(keyed(1, "sound")))
	h.unreached("none", "any")
	out := h.breakOff(1, runs[0])
	out = append(out, h.advanceWithPeer(600*time.Millisecond)...)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "none", Outcome: core.Connected})...)
	out = append(out, h.probesOf("s1", core.ConnectBroken, out, 2*time.Second)...)
	is.Equal(crashesSent(out), 0)
}
