package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// versionedEngines returns a prefill engine and decode engines of the given versions.
func versionedEngines(versions ...core.SoftwareVersion) []core.Instance {
	list := []core.Instance{{ID: "p1", Service: "model", Domain: "d1", Address: "p1:1", Slots: 16, Role: core.Prefill, Born: 1, Version: versions[0]}}
	for i, v := range versions {
		id := core.EngineID(fmt.Sprint("d", i+1))
		list = append(list, core.Instance{ID: id, Service: "model", Domain: "d1", Address: string(id) + ":1", Slots: 16, Role: core.Decode, Born: 1, Version: v})
	}
	return list
}

func versionOf(list []core.Instance, id core.EngineID) core.SoftwareVersion {
	for _, i := range list {
		if i.ID == id {
			return i.Version
		}
	}
	return ""
}

// A stream's engine breaks off, or is silent, and engines of another version have more room.
// The stream was continued by one of these.
func TestStreamKeepsItsVersionWithinOneAnswer(t *testing.T) {
	for name, fault := range map[string]func(core.RunForward) core.Message{"broken off": runFailed, "silent": stalled} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range 8 {
				list := versionedEngines("v1", "v1", "v2", "v2", "v2", "v2")
				h := readyAlone(list...)
				h.advance(time.Duration(seed) * time.Millisecond)
				first := startedStream(t, h, 1)
				second := runStream(t, h, h.deliver(fault(first)))
				is.Equal(versionOf(list, second.Engine), versionOf(list, first.Engine))
			}
		})
	}
}

// The last engine of a stream's version breaks the stream off. The stream must not be continued
// by another version, nor wait for one.
func TestStreamEndsWithItsVersion(t *testing.T) {
	is := is.New(t)
	h := readyAlone(versionedEngines("v1")...)
	first := startedStream(t, h, 1)
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: versionedEngines("v2", "v2")})
	is.Equal(endsOf(h.deliver(runFailed(first))), 1)
}

// The only engine of a stream's version breaks the stream off, and the list still shows it. The
// answer must end at once: the engine is not tried again, and the owner has no other.
func TestStreamEndsWithTheOnlyEngineOfItsVersion(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v2")
	h := readyAlone(list...)
	first := startedStream(t, h, 1)
	for id := core.ForwardID(2); versionOf(list, first.Engine) != "v1"; id++ {
		first = startedStream(t, h, id)
	}
	is.Equal(endsOf(h.deliver(runFailed(first))), 1)
}

// A stream waits for room at its version, whose engines leave meanwhile. It waited until its
// caller's deadline.
func TestWaitingStreamEndsWhenItsVersionLeaves(t *testing.T) {
	is := is.New(t)
	h := newResumer(versionedEngines("v1", "v2"))
	for id, q := range versionQueries(h.deliver(resuming(1, "first"))) {
		out := h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream, Known: true, Service: "model", Version: "v1"}})
		lease := commandsOf[core.RequestLease](out)[0]
		out = h.deliver(core.StepRefused{ID: 1, Send: lease.Send, Engine: lease.Engine, Step: core.LeaseStep})
		is.Equal(endsOf(out), 0)
		ends := commandsOf[core.EndForward](h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: versionedEngines("v2", "v2")}))
		is.Equal(len(ends), 1)
		is.Equal(ends[0].Reason, core.StreamVersionGone)
		return
	}
}

// resuming returns a caller's request that resumes a stream.
func resuming(id core.ForwardID, attempt string) core.Forward {
	m := streamTo(id, "resumable")
	m.Attempt, m.Resumes = fmt.Sprint("again", id), core.Some(attempt)
	return m
}

// newResumer returns a node with engines of two versions and three peers, which keep the
// versions of streams.
func newResumer(list []core.Instance) *hostedNode {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	h.node.DisabledMechanisms = core.SetOf(core.OwnedGroups)
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: list})
	var nodes core.VMList
	for _, id := range []core.NodeID{"n2", "n3", "n4"} {
		nodes.Nodes = append(nodes.Nodes, core.NodeInfo{ID: id, Domain: core.DomainID("d" + id[1:]), PeerAddress: string(id) + ":1"})
	}
	h.deliver(nodes)
	for _, n := range nodes.Nodes {
		h.deliver(core.PeerMessage{From: n.ID, Incarnation: 1, Body: core.Heartbeat{Sequence: 1}})
	}
	return h
}

// versionQueries returns the queries among commands, by node.
func versionQueries(out []core.Command) map[core.NodeID]core.VersionQuery {
	queries := map[core.NodeID]core.VersionQuery{}
	for _, c := range commandsOf[core.SendPeer](out) {
		if q, ok := c.Body.(core.VersionQuery); ok {
			queries[c.To] = q
		}
	}
	return queries
}

// A caller resumes a stream at a node that has no part in its first attempt. The stream was
// continued by any version.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1", "v2", "v2", "v2")
	h := newResumer(list)
	for i, want := range []core.SoftwareVersion{"v1", "v2", "v1", "v2"} {
		queries := versionQueries(h.deliver(resuming(core.ForwardID(i+1), fmt.Sprint("first", i))))
		is.True(len(queries) >= 2)
		var out []core.Command
		for id, q := range queries {
			out = h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream, Known: true, Service: "model", Version: want}})
			break
		}
		run := runStream(t, h, out)
		is.Equal(versionOf(list, run.Engine), want)
	}
}

// A resumed stream is resumed once more, after the nodes have died that knew which version began
// it. The node that resumed it first notifies others again.
func TestResumedStreamIsRecordedAgain(t *testing.T) {
	is := is.New(t)
	h := newResumer(versionedEngines("v1", "v2"))
	out := h.deliver(resuming(1, "first"))
	for id, q := range versionQueries(out) {
		out = h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream, Known: true, Service: "model", Version: "v1"}})
		begun := 0
		for _, c := range commandsOf[core.SendPeer](append(out, h.advance(100*time.Millisecond)...)) {
			if b, ok := c.Body.(core.StreamsBegun); ok {
				is.Equal(b, core.StreamsBegun{Service: "model", Version: "v1", Streams: []core.StreamKey{q.Stream}, Log: b.Log})
				begun += btoi(!b.Log)
			}
		}
		is.True(begun >= 2)
		return
	}
}

// answerReads answers the reads of the store among commands with a list, and returns the commands
// that follow.
func answerReads(h *hostedNode, out []core.Command, list []core.Instance) (more []core.Command) {
	for _, r := range commandsOf[core.ReadInstances](out) {
		m := core.InstancesRead{Whole: r.Whole, After: r.After, Offset: r.After, Started: r.Started, Changed: list}
		more = append(more, h.deliver(m)...)
	}
	return more
}

// answerLog answers the reads of the log of streams among commands with no stream, and returns the
// commands that follow.
func answerLog(h *hostedNode, out []core.Command) (more []core.Command) {
	for _, r := range commandsOf[core.ReadStreams](out) {
		more = append(more, h.deliver(core.StreamsRead{Started: r.Started})...)
	}
	return more
}

// denyQueries answers the queries among commands, and those that follow, with no version, and
// returns the commands that follow.
func denyQueries(h *hostedNode, out []core.Command) (more []core.Command) {
	for len(out) > 0 {
		var next []core.Command
		for id, q := range versionQueries(out) {
			next = append(next, h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream}})...)
		}
		more = append(more, next...)
		out = next
	}
	return more
}

// No node knows which version began a stream: those that did have died. The stream was
// continued by any version. It is rejected at once, as no later attempt can succeed.
func TestResumedStreamOfAnUnknownVersionIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v2")
	h := newResumer(list)
	h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1, modelV2}})
	h.advance(time.Millisecond)
	out := h.deliver(resuming(1, "first"))
	out = append(out, denyQueries(h, out)...)
	out = append(out, answerReads(h, out, list)...)
	out = append(out, answerLog(h, out)...)
	ends := commandsOf[core.EndForward](out)
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StreamVersionUnknown)
	is.True(ends[0].NotRun)
	is.Equal(ends[0].RetryAfter, time.Duration(0))
}

// The nodes that keep a stream's version do not answer for a while. The resumption was rejected for
// good after 150 ms, as if no node knew the stream.
func TestWhatNobodyHasAnsweredIsNotGone(t *testing.T) {
	for name, answers := range map[string]func(h *hostedNode, out []core.Command) []core.Command{
		"nobody answers":       func(*hostedNode, []core.Command) []core.Command { return nil },
		"the store alone does": func(h *hostedNode, out []core.Command) []core.Command { return answerReads(h, out, nil) },
		"only other nodes do":  denyQueries,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newResumer(versionedEngines("v1", "v2"))
			h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1, modelV2}})
			h.advance(time.Millisecond)
			out := h.deliver(resuming(1, "first"))
			queries := 0
			for range 100 {
				queries += len(versionQueries(out))
				is.Equal(endsOf(out), 0)
				out = append(answers(h, out), h.advance(5*time.Millisecond)...)
			}
			out = h.advance(500 * time.Millisecond)
			// All three nodes were asked again, and the caller has time left to go to another.
			is.True(queries+len(versionQueries(out)) >= 6)
			ends := commandsOf[core.EndForward](out)
			is.Equal(len(ends), 1)
			is.Equal(ends[0].Reason, core.StreamVersionUnknown)
			is.True(ends[0].NotRun)
			is.True(ends[0].RetryAfter > 0 && ends[0].RetryAfter < time.Second)
		})
	}
}

// A keeper answers late. The request to resume its stream was rejected before.
func TestLateAnswerOfAKeeperCounts(t *testing.T) {
	is := is.New(t)
	h := newResumer(versionedEngines("v1", "v2"))
	h.deliver(resuming(1, "first"))
	h.advance(400 * time.Millisecond)
	for id, q := range versionQueries(h.commands) {
		out := h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream, Known: true, Service: "model", Version: "v1"}})
		is.Equal(len(commandsOf[core.RequestLease](out)), 1)
		return
	}
}

// The version that began a stream has gone, by a list that was read since the request arrived.
func TestResumedStreamOfAVersionThatHasGoneIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	out, h := resumedAtVersion(t, "v1", versionedEngines("v2", "v2"))
	ends := commandsOf[core.EndForward](answerReads(h, out, nil))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StreamVersionGone)
	is.True(ends[0].NotRun)
	is.Equal(ends[0].RetryAfter, time.Duration(0))
}

// A new version began a stream, and the node where its caller resumes it does not list that
// version yet. The stream was rejected for good.
func TestVersionThatALateListLacksIsNotGone(t *testing.T) {
	t.Run("read in time", func(t *testing.T) {
		out, h := resumedAtVersion(t, "v2", versionedEngines("v1", "v1"))
		list := versionedEngines("v1", "v1", "v2")
		is.New(t).Equal(versionOf(list, runStream(t, h, answerReads(h, out, list)).Engine), core.SoftwareVersion("v2"))
	})
	t.Run("not read", func(t *testing.T) {
		is := is.New(t)
		out, h := resumedAtVersion(t, "v2", versionedEngines("v1", "v1"))
		is.Equal(len(commandsOf[core.ReadInstances](out)), 1)
		ends := commandsOf[core.EndForward](h.advance(worldTimeout / 2))
		is.Equal(len(ends), 1)
		is.Equal(ends[0].Reason, core.StreamVersionGone)
		is.True(ends[0].NotRun)
		is.True(ends[0].RetryAfter > 0 && ends[0].RetryAfter < time.Second)
	})
}

// resumedAtVersion returns a node at which a stream is resumed that another node says a version
// began, and the commands that follow.
func resumedAtVersion(t *testing.T, version core.SoftwareVersion, list []core.Instance) ([]core.Command, *hostedNode) {
	h := newResumer(list)
	h.advance(time.Millisecond)
	for id, q := range versionQueries(h.deliver(resuming(1, "first"))) {
		out := h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream, Known: true, Service: "model", Version: version}})
		is.New(t).Equal(endsOf(out), 0)
		return out, h
	}
	t.Fatal("no node was queried")
	return nil, nil
}

// begunTo counts the streams that commands report, by node.
func begunTo(out []core.Command) map[core.NodeID]int {
	begun := map[core.NodeID]int{}
	for _, c := range commandsOf[core.SendPeer](out) {
		if b, ok := c.Body.(core.StreamsBegun); ok {
			begun[c.To] += len(b.Streams)
		}
	}
	return begun
}

// One version alone can have begun any stream that callers may resume. Two other nodes keep each
// stream all the same, so that it can be resumed without the store: a resumption takes one round
// of queries, and no call to the store if a keeper answers.
func TestOneVersionNeedsNoCallToTheStore(t *testing.T) {
	is := is.New(t)
	h := newResumer(versionedEngines("v1", "v1"))
	h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1}})
	h.advance(time.Millisecond)
	first := streamTo(2, "resumable")
	first.Attempt = "known"
	run := runStream(t, h, h.deliver(first))
	h.deliver(core.ForwardResponseStarted{ID: 2, Send: run.Send, Engine: run.Engine, OpenFor: time.Second})
	h.advance(100 * time.Millisecond)
	begun := begunTo(h.commands)
	is.Equal(len(begun), 2)
	for _, streams := range begun {
		is.Equal(streams, 1)
	}
	// This node keeps the stream itself.
	out := h.deliver(resuming(3, "known"))
	is.Equal(len(versionQueries(out))+len(commandsOf[core.ReadInstances](out)), 0)
	runStream(t, h, out)
	queries := versionQueries(h.deliver(resuming(1, "first")))
	is.Equal(len(queries), 3)
	for id, q := range queries {
		out = h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.VersionAnswer{Stream: q.Stream, Known: true, Service: "model", Version: "v1"}})
		is.Equal(len(versionQueries(out))+len(commandsOf[core.ReadInstances](out)), 0)
		runStream(t, h, out)
		return
	}
}

// Another version appears while a stream runs, and all nodes may die at once. The version of the
// stream was not in the store.
func TestRunningStreamsAreLoggedWhenAVersionAppears(t *testing.T) {
	is := is.New(t)
	h := readyAlone(versionedEngines("v1", "v1")...)
	h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1}})
	startedStream(t, h, 1)
	is.Equal(len(commandsOf[core.AppendStreams](h.advance(time.Second))), 0)
	out := h.deliver(core.InstancesRead{After: 1, Offset: 2, Changed: versionedEngines("v1", "v1", "v2")})
	appends := commandsOf[core.AppendStreams](append(out, h.advance(300*time.Millisecond)...))
	is.Equal(len(appends), 1)
	is.Equal(appends[0].Origins[0].ServiceVersion, modelV1)
	is.Equal(len(appends[0].Origins[0].Streams), 1)
	// A failed append is repeated, and not for ever.
	h.deliver(core.StreamsAppended{Failed: true})
	is.Equal(commandsOf[core.AppendStreams](h.advance(500*time.Millisecond)), appends)
	is.Equal(len(commandsOf[core.AppendStreams](h.advance(time.Second))), 0)
	h.advance(5 * time.Second)
	out = append(h.deliver(core.StreamsAppended{Failed: true}), h.advance(time.Second)...)
	is.Equal(len(commandsOf[core.AppendStreams](out)), 0)
}

// The nodes that kept a stream have all died. The store's log of streams was not asked, and the
// stream was rejected.
func TestStreamIsResumedByTheLogInTheStore(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v2")
	h := newResumer(list)
	h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1, modelV2}})
	h.advance(time.Millisecond)
	out := h.deliver(resuming(1, "first"))
	var stream core.StreamKey
	for _, q := range versionQueries(out) {
		stream = q.Stream
	}
	out = append(out, denyQueries(h, out)...)
	out = answerReads(h, out, list)
	reads := commandsOf[core.ReadStreams](out)
	is.Equal(len(reads), 1)
	out = h.deliver(core.StreamsRead{Started: reads[0].Started, Origins: []core.StreamOrigins{{ServiceVersion: modelV2, Streams: []core.StreamKey{stream}}}})
	is.Equal(stepsNamed(out), []string{"resume-log"})
	is.Equal(versionOf(list, runStream(t, h, out).Engine), core.SoftwareVersion("v2"))
}

// stepsNamed returns the steps of the decisions on resumed streams among commands.
func stepsNamed(out []core.Command) (steps []string) {
	for _, c := range commandsOf[core.LogDecision](out) {
		if strings.HasPrefix(c.Decision.Step, "resume-") {
			steps = append(steps, c.Decision.Step)
		}
	}
	return steps
}

// A node that keeps a running stream dies or is started again. Nobody kept the stream in its
// place.
func TestStreamIsReportedInPlaceOfAKeeperThatDied(t *testing.T) {
	for name, fault := range map[string]func(id core.NodeID) core.Message{
		"started again": func(id core.NodeID) core.Message {
			return core.PeerMessage{From: id, Incarnation: 2, Body: core.Heartbeat{Sequence: 1}}
		},
		"suspected": func(id core.NodeID) core.Message {
			u := core.MemberUpdate{Node: core.NodeInfo{ID: id, Domain: core.DomainID("d" + id[1:]), PeerAddress: string(id) + ":1"}, Incarnation: 1, Status: core.Suspect, Sequence: 9}
			return core.PeerMessage{From: "n9", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, Updates: []core.MemberUpdate{u}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newResumer(versionedEngines("v1", "v1"))
			h.deliver(core.VersionsRead{Versions: []core.ServiceVersion{modelV1}})
			startedStream(t, h, 1)
			h.advance(100 * time.Millisecond)
			for id := range begunTo(h.commands) {
				out := h.deliver(fault(id))
				is.Equal(len(begunTo(append(out, h.advance(100*time.Millisecond)...))), 1)
				return
			}
			t.Error("no node was notified")
		})
	}
}

// An engine is started again under its id, at another version, while a stream runs there. The
// version of the stream is that at which it was sent.
func TestVersionOfAStreamIsThatOfItsRun(t *testing.T) {
	is := is.New(t)
	list := versionedEngines("v1", "v1", "v2")
	h := readyAlone(list...)
	run := runStream(t, h, h.deliver(streamTo(1, "resumable")))
	for run.Engine == "d3" {
		h.deliver(core.ForwardCallerDisconnected{ID: run.ID})
		run = runStream(t, h, h.deliver(streamTo(run.ID+1, "resumable")))
	}
	reborn := versionedEngines("v1", "v1", "v2")
	for i := range reborn {
		if reborn[i].ID == run.Engine {
			reborn[i].Born, reborn[i].Version = 2, "v2"
		}
	}
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: reborn})
	h.deliver(started(run))
	second := runStream(t, h, h.deliver(runFailed(run)))
	is.Equal(versionOf(reborn, second.Engine), core.SoftwareVersion("v1"))
}

// Invented and endless ids of attempts must not fill the memory of nodes.
func TestKeptStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newResumer(versionedEngines("v1", "v2"))
	streams := make([]core.StreamKey, 1000)
	next := core.StreamKey(0)
	for range 200 {
		for i := range streams {
			next++
			streams[i] = next
		}
		h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.StreamsBegun{Service: "model", Version: "v1", Streams: streams}})
	}
	known := 0
	for k := core.StreamKey(1); k <= next; k++ {
		for _, a := range sentTo[core.VersionAnswer](h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.VersionQuery{Service: "model", Stream: k}}), "n2") {
			known += btoi(a.Known)
		}
	}
	is.Equal(known, 1<<16)
}
