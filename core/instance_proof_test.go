package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// newLoneResumer returns a node without peers that knows one version, so that it resumes a stream
// once its list is proven.
func newLoneResumer() *hostedNode {
	h := readyAlone(versionedEngines("v1", "v1")...)
	h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1}})
	h.advance(time.Millisecond)
	return h
}

func answerRead(r core.ReadInstances) core.InstancesRead {
	return core.InstancesRead{Whole: r.Whole, After: r.After, Offset: r.After, Started: r.Started}
}

// resumeAlone resumes a stream and returns the reads that follow.
func resumeAlone(h *hostedNode, id core.ForwardID) []core.ReadInstances {
	return commandsOf[core.ReadInstances](h.deliver(resuming(id, "first")))
}

// A list that was read earlier, or that a peer has changed, proves nothing of now.
func TestOnlyAnOwnLaterReadProvesTheList(t *testing.T) {
	is := is.New(t)
	h := newLoneResumer()
	reads := resumeAlone(h, 1)
	is.Equal(len(reads), 1)
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesChanged{After: 1, Offset: 4}})
	early := answerRead(reads[0])
	early.Started--
	out = append(out, h.deliver(early)...)
	is.Equal(len(commandsOf[core.RequestLease](out)), 0)
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(answerRead(reads[0])))), 1)
}

// Requests that arrive while a read is in flight share one further read.
func TestProofsShareReads(t *testing.T) {
	is := is.New(t)
	h := newLoneResumer()
	first := resumeAlone(h, 1)
	h.advance(time.Millisecond)
	is.Equal(len(resumeAlone(h, 2))+len(resumeAlone(h, 3)), 0)
	out := h.deliver(answerRead(first[0]))
	is.Equal(len(commandsOf[core.RequestLease](out)), 1)
	second := commandsOf[core.ReadInstances](out)
	is.Equal(len(second), 1)
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(answerRead(second[0])))), 2)
}

// The read that was in flight hangs. Later ones waited for it.
func TestHungReadDoesNotBlockAProof(t *testing.T) {
	is := is.New(t)
	h := newLoneResumer()
	resumeAlone(h, 1)
	h.advance(time.Millisecond)
	resumeAlone(h, 2)
	reads := commandsOf[core.ReadInstances](h.advance(300 * time.Millisecond))
	is.Equal(len(reads), 1)
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(answerRead(reads[0])))), 2)
}

// A read that fails, or of which the store has more, is no proof.
func TestFailedOrPartialReadProvesNothing(t *testing.T) {
	is := is.New(t)
	h := newLoneResumer()
	r := resumeAlone(h, 1)[0]
	out := h.deliver(core.InstancesReadFailed{Started: r.Started})
	out = append(out, h.advance(200*time.Millisecond)...)
	is.Equal(len(commandsOf[core.RequestLease](out)), 0)
	reads := commandsOf[core.ReadInstances](out)
	partial := answerRead(reads[len(reads)-1])
	partial.More = true
	out = h.deliver(partial)
	is.Equal(len(commandsOf[core.RequestLease](out)), 0)
	rest := commandsOf[core.ReadInstances](out)
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(answerRead(rest[0])))), 1)
}

// The result of a whole read arrives after that of a later one. The list went back.
func TestLateWholeReadIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Started: h.now + 2, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")}})
	h.deliver(core.InstancesRead{Whole: true, Offset: 1, Started: h.now + 1, Changed: []core.Instance{plainInstance("e1")}})
	is.Equal(h.node.InstanceAddress("e2"), "e2:80")
}
