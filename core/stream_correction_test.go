package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// correctionsTo counts the corrections of streams' origins among commands, by node.
func correctionsTo(out []core.Command) map[core.NodeID]int {
	count := map[core.NodeID]int{}
	for _, c := range commandsOf[core.SendPeer](out) {
		if b, ok := c.Body.(core.StreamsBegun); ok && b.Corrects {
			count[c.To]++
		}
	}
	return count
}

// answerCorrections answers each query among commands as a node that has applied the correction
// before it.
func answerCorrections(h *hostedNode, out []core.Command) {
	corrected := map[core.NodeID]core.ServiceVersion{}
	for _, c := range commandsOf[core.SendPeer](out) {
		switch b := c.Body.(type) {
		case core.StreamsBegun:
			if b.Corrects {
				corrected[c.To] = core.ServiceVersion{Service: b.Service, Version: b.Version}
			}
		case core.VersionQuery:
			o := corrected[c.To]
			a := core.VersionAnswer{Stream: b.Stream, Known: o.Service != "", Service: o.Service, Version: o.Version}
			h.deliver(core.PeerMessage{From: c.To, Incarnation: 1, Body: a})
		}
	}
}

// correctedStream returns a node with a stream whose engine has started again at another version
// before the list showed it, and the nodes that were notified of the former version. Before the
// list shows it, change acts on one of these.
func correctedStream(t *testing.T, change func(h *hostedNode, keeper core.NodeID)) (h *hostedNode, out []core.Command, keeper core.NodeID, later core.SoftwareVersion) {
	t.Helper()
	list := versionedEngines("v1", "v1", "v2", "v2")
	h = newResumer(list)
	run := youngStream(t, h)
	later = core.SoftwareVersion("v2")
	if versionOf(list, run.Engine) == later {
		later = "v1"
	}
	h.advance(60 * time.Millisecond)
	for _, c := range commandsOf[core.SendPeer](h.commands) {
		// Those that only append it to the store keep nothing.
		if b, ok := c.Body.(core.StreamsBegun); ok && !b.Log {
			keeper = c.To
		}
	}
	change(h, keeper)
	return h, h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: rebornAs(list, run.Engine, later)}), keeper, later
}

// A node that keeps the former version of a stream is cut off when the version is corrected. It
// got no correction, and named the former version to those that asked it later.
func TestCorrectionReachesKeepersThatAreAway(t *testing.T) {
	is := is.New(t)
	_, out, keeper, _ := correctedStream(t, func(h *hostedNode, keeper core.NodeID) {
		u := core.MemberUpdate{Node: core.NodeInfo{ID: keeper, Domain: core.DomainID("d" + keeper[1:]), PeerAddress: string(keeper) + ":1"}, Incarnation: 1, Status: core.Suspect, Sequence: 9}
		h.deliver(core.PeerMessage{From: "n9", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, Updates: []core.MemberUpdate{u}}})
	})
	is.Equal(correctionsTo(out)[keeper], 1)
}

// A correction is lost with its connection. It was sent once.
func TestCorrectionIsRepeatedUntilItIsConfirmed(t *testing.T) {
	is := is.New(t)
	h, out, keeper, later := correctedStream(t, func(*hostedNode, core.NodeID) {})
	is.True(correctionsTo(out)[keeper] == 1)
	out = h.advance(2 * time.Second)
	is.True(correctionsTo(out)[keeper] >= 2)
	for _, b := range corrections(out) {
		is.Equal(b.Version, later)
	}
	// What a node kept before confirms nothing.
	stream := corrections(out)[0].Streams[0]
	h.deliver(core.PeerMessage{From: keeper, Incarnation: 1, Body: core.VersionAnswer{Stream: stream, Known: true, Service: "model", Version: "v9"}})
	h.deliver(core.PeerMessage{From: keeper, Incarnation: 1, Body: core.VersionAnswer{Stream: stream}})
	out = h.advance(4 * time.Second)
	is.True(correctionsTo(out)[keeper] >= 1)
	answerCorrections(h, out)
	is.Equal(len(correctionsTo(h.advance(20*time.Second))), 0)
}

// Nobody confirms a correction. It is repeated at most until the records of the stream expire.
func TestCorrectionIsNotRepeatedForEver(t *testing.T) {
	is := is.New(t)
	h, _, keeper, _ := correctedStream(t, func(*hostedNode, core.NodeID) {})
	sent := correctionsTo(h.advance(70 * time.Second))[keeper]
	is.True(sent >= 5 && sent <= 16)
	is.Equal(len(correctionsTo(h.advance(time.Minute))), 0)
}
