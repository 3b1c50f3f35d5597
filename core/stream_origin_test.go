package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// newWatcher returns a node that has seen one version alone for longer than a stream can last,
// and has then been cut off from the store and its peers.
func newWatcher() *hostedNode {
	h := newResumer(versionedEngines("v1", "v1"))
	h.advance(2 * worldTimeout)
	return h
}

// A node is cut off from the store and its peers while a new version appears and begins a stream,
// whose caller resumes it there. The node continued it at the only version that it knew.
func TestNodeThatIsCutOffDoesNotGuessTheVersion(t *testing.T) {
	is := is.New(t)
	h := newWatcher()
	out := append(h.deliver(resuming(1, "first")), h.advance(worldTimeout)...)
	is.Equal(len(commandsOf[core.RequestLease](out)), 0)
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	ends := commandsOf[core.EndForward](out)
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StreamVersionUnknown)
	is.True(ends[0].NotRun)
	// Another node may know the version.
	is.True(ends[0].RetryAfter > 0)
}

// A node whose list is late is asked by another node which version began a stream. It named the
// only version that it knew.
func TestLateNodeDoesNotVouchForItsVersion(t *testing.T) {
	is := is.New(t)
	h := newWatcher()
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.VersionQuery{Service: "model", Stream: 1}})
	for _, a := range sentTo[core.VersionAnswer](append(out, h.advance(time.Second)...), "n2") {
		is.True(!a.Known)
	}
}

// Callers that had resumed streams at a node that was cut off had no time left to go to another.
func TestNodeThatIsCutOffRejectsResumedStreamsSoon(t *testing.T) {
	is := is.New(t)
	h := newWatcher()
	h.deliver(core.InstancesReadFailed{})
	h.advance(2 * time.Second)
	out := append(h.deliver(resuming(1, "first")), h.advance(200*time.Millisecond)...)
	ends := commandsOf[core.EndForward](out)
	is.Equal(len(ends), 1)
	is.True(ends[0].NotRun)
	is.True(ends[0].RetryAfter > 0)
}

// A silent stream continues while a connection to the engine that was to take over is opened, and
// none opens. When the stream broke off, it was placed at that engine again, and waited for the
// connection until its deadline.
func TestPlacementAfterAFailedHoldOpensAnotherConnection(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1")
	h := readyAlone(list...)
	first := startedStream(t, h, 1)
	holds := commandsOf[core.HoldConnection](h.deliver(stalled(first)))
	is.Equal(len(holds), 1)
	h.deliver(continued(first), core.ConnectionNotHeld{ID: 1, Hold: holds[0].Hold})
	h.advance(time.Second)
	out := h.deliver(runFailed(first))
	is.Equal(len(commandsOf[core.HoldConnection](out)), 1)
	is.Equal(runStream(t, h, out).Engine, holds[0].Engine)
}
