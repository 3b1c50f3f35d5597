package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// rebornAs returns a list in which an engine has started again at a version.
func rebornAs(list []core.Instance, id core.EngineID, version core.SoftwareVersion) []core.Instance {
	var out []core.Instance
	for _, i := range list {
		if i.ID == id {
			i.Born, i.Version = i.Born+1, version
		}
		out = append(out, i)
	}
	return out
}

// corrections returns the corrections of streams' origins among commands.
func corrections(out []core.Command) []core.StreamsBegun {
	var list []core.StreamsBegun
	for _, c := range commandsOf[core.SendPeer](out) {
		if b, ok := c.Body.(core.StreamsBegun); ok && b.Corrects {
			list = append(list, b)
		}
	}
	return list
}

// youngStream begins a stream on a connection that was opened just now, and returns its run.
func youngStream(t *testing.T, h *hostedNode) core.RunForward {
	t.Helper()
	run := runStream(t, h, h.deliver(streamTo(1, "resumable")))
	h.deliver(core.ForwardResponseStarted{ID: 1, Send: run.Send, Engine: run.Engine, OpenFor: 30 * time.Millisecond})
	return run
}

// A stream begins at an engine that has started again at another version, before the list shows
// it. It was recorded, and continued, as one of the former version.
func TestStreamThatBeganBeforeTheListShowedItsEngineIsOfTheLaterVersion(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1", "v2", "v2")
	h := newResumer(list)
	run := youngStream(t, h)
	former := versionOf(list, run.Engine)
	later := core.SoftwareVersion("v2")
	if former == later {
		later = "v1"
	}
	h.advance(60 * time.Millisecond)
	list = rebornAs(list, run.Engine, later)
	out := h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: list})
	is.True(len(corrections(out)) >= 2)
	is.Equal(corrections(out)[0].Version, later)
	is.Equal(corrections(out)[0].Service, core.ServiceID("model"))
	h.advance(200 * time.Millisecond)
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: list})
	second := runStream(t, h, h.deliver(runFailed(run)))
	is.Equal(versionOf(list, second.Engine), later)
}

// The same stream breaks off before the list shows the engine. It is not known which version began
// it, so that it is not continued and its record is withdrawn.
func TestStreamOfAnUnknownIncarnationIsNotContinued(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1", "v2", "v2")
	h := newResumer(list)
	run := youngStream(t, h)
	h.advance(55 * time.Millisecond)
	is.Equal(stepsOf(h.deliver(runFailed(run))), 0)
	h.advance(20 * time.Millisecond)
	other := core.SoftwareVersion("v2")
	if versionOf(list, run.Engine) == other {
		other = "v1"
	}
	out := h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: rebornAs(list, run.Engine, other)})
	out = append(out, h.advance(time.Second)...)
	is.Equal(endsOf(out), 1)
	is.Equal(len(commandsOf[core.RequestLease](out)), 0)
	is.Equal(corrections(out)[0].Service, core.ServiceID(""))
}

// An engine starts again long after a stream has begun there, and breaks it off by that. The
// stream is of the version that the list showed.
func TestStreamThatBeganLongBeforeItsEngineStartedAgainGoesOn(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1", "v1", "v2", "v2")
	h := newResumer(list)
	run := youngStream(t, h)
	version := versionOf(list, run.Engine)
	h.advance(200 * time.Millisecond)
	h.deliver(core.InstancesRead{Whole: true, Offset: 1, Changed: list})
	out := h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: rebornAs(list, run.Engine, "v3")})
	is.Equal(len(corrections(out)), 0)
	second := runStream(t, h, h.deliver(runFailed(run)))
	is.Equal(versionOf(list, second.Engine), version)
	is.True(second.Engine != run.Engine)
}

// continuing returns a node with a stream that its engine has broken off, and the connection
// that is to be held for it.
func continuing(t *testing.T) (*hostedNode, core.HoldConnection, []core.Command) {
	t.Helper()
	h := newResumer(versionedEngines("v1", "v1", "v2", "v2"))
	out := h.deliver(runFailed(startedStream(t, h, 1)))
	holds := commandsOf[core.HoldConnection](out)
	if len(holds) != 1 {
		t.Fatalf("no connection is to be held: %v", out)
	}
	return h, holds[0], out
}

// takeSteps answers the lease and the prefill of a stream, but not its held connection.
func takeSteps(h *hostedNode, out []core.Command) []core.Command {
	lease := commandsOf[core.RequestLease](out)[0]
	out = h.deliver(core.LeaseGranted{ID: lease.ID, Send: lease.Send, Engine: lease.Engine, Lease: "l"})
	prefill := commandsOf[core.RunPrefill](out)[0]
	return h.deliver(core.PrefillFinished{ID: prefill.ID, Send: prefill.Send, Engine: prefill.Engine, Handle: "k", Tokens: worldPrompt})
}

// An engine says on the held connection that it has started again. It must not get the stream.
func TestStreamIsNotContinuedAtALaterIncarnation(t *testing.T) {
	is := is.New(t)
	h, hold, out := continuing(t)
	h.advance(time.Millisecond)
	out = append(takeSteps(h, out), h.deliver(core.ConnectionHeld{ID: 1, Hold: hold.Hold, Born: core.Some(int64(2))})...)
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	is.Equal(len(commandsOf[core.ReadInstances](out)), 1)
}

// An engine does not say which incarnation it is. The stream is sent to it once a list that is
// late enough shows the same one, and on the held connection.
func TestStreamWaitsForAListThatShowsItsEngine(t *testing.T) {
	for name, version := range map[string]core.SoftwareVersion{"the same": "", "started again": "v9"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, hold, out := continuing(t)
			list := versionedEngines("v1", "v1", "v2", "v2")
			if version != "" {
				list = rebornAs(list, hold.Engine, version)
			}
			h.deliver(core.ConnectionHeld{ID: 1, Hold: hold.Hold, OpenFor: 20 * time.Millisecond})
			is.Equal(len(commandsOf[core.RunForward](takeSteps(h, out))), 0)
			reads := commandsOf[core.ReadInstances](h.advance(80 * time.Millisecond))
			is.Equal(len(reads), 1)
			out = h.deliver(core.InstancesRead{Whole: true, Started: reads[0].Started, Offset: 2, Changed: list})
			runs := commandsOf[core.RunForward](out)
			is.Equal(len(runs), btoi(version == ""))
			for _, r := range runs {
				is.Equal(r.Hold, hold.Hold)
			}
		})
	}
}

// A connection that breaks while it is held carries no request. The stream is placed again.
func TestStreamIsPlacedAgainIfItsConnectionIsNotHeld(t *testing.T) {
	is := is.New(t)
	h, hold, out := continuing(t)
	out = append(takeSteps(h, out), h.deliver(core.ConnectionNotHeld{ID: 1, Hold: hold.Hold})...)
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	is.Equal(endsOf(out), 0)
	second := runStream(t, h, h.advance(time.Second))
	is.True(second.Hold > hold.Hold)
}

// The list shows that an engine has started again after a stream was sent there and before its
// first event. Found by the emulated world at seed 14.
func TestStreamSentJustBeforeTheListShowsItsEngineIsOfTheLaterVersion(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1", "v2", "v2")
	h := newResumer(list)
	run := runStream(t, h, h.deliver(streamTo(1, "resumable")))
	later := core.SoftwareVersion("v2")
	if versionOf(list, run.Engine) == later {
		later = "v1"
	}
	list = rebornAs(list, run.Engine, later)
	h.advance(2 * time.Millisecond)
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: list})
	h.advance(30 * time.Millisecond)
	h.deliver(core.ForwardResponseStarted{ID: 1, Send: run.Send, Engine: run.Engine, OpenFor: 32 * time.Millisecond})
	h.advance(200 * time.Millisecond)
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: list})
	second := runStream(t, h, h.deliver(runFailed(run)))
	is.Equal(versionOf(list, second.Engine), later)
}

// A stream begins at an engine that has started again at another version, and its caller resumes it
// at the same node, or at one that asks it, before the list shows the engine. The node went by its
// record of the former version.
func TestRecordInDoubtIsNotUsedBeforeTheListIsProved(t *testing.T) {
	for _, reborn := range []bool{false, true} {
		t.Run(fmt.Sprint(reborn), func(t *testing.T) {
			is := is.New(t)
			list := versionedEngines("v1", "v1", "v2", "v2")
			h := newResumer(list)
			first := streamTo(1, "resumable")
			first.Attempt = "first"
			run := runStream(t, h, h.deliver(first))
			h.deliver(core.ForwardResponseStarted{ID: 1, Send: run.Send, Engine: run.Engine, OpenFor: 30 * time.Millisecond})
			h.advance(60 * time.Millisecond)
			var stream core.StreamKey
			for _, c := range commandsOf[core.SendPeer](h.commands) {
				if b, ok := c.Body.(core.StreamsBegun); ok {
					stream = b.Streams[0]
				}
			}
			h.deliver(core.ForwardCallerDisconnected{ID: 1})
			out := h.deliver(resuming(2, "first"), core.PeerMessage{From: "n3", Incarnation: 1, Body: core.VersionQuery{Service: "model", Stream: stream}})
			out = append(out, h.advance(20*time.Millisecond)...)
			is.Equal(len(commandsOf[core.RequestLease](out))+len(sentTo[core.VersionAnswer](out, "n3")), 0)
			if reborn {
				list = rebornAs(list, run.Engine, "v3")
			}
			out = answerReads(h, out, list)
			is.Equal(len(commandsOf[core.RequestLease](out)), btoi(!reborn))
			is.Equal(endsOf(out), btoi(reborn))
			is.Equal(sentTo[core.VersionAnswer](out, "n3")[0].Known, !reborn)
		})
	}
}
