package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func TestKeyedCallRunsOnceAndKeepsItsResult(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 11, 4)
	w.advance(5 * time.Second)
	first := w.callers.send("node-0", "k", payPost).answerAfter(w, time.Second)
	is.Equal(first.Outcome, core.Ran)
	w.restart("node-0")
	w.advance(5 * time.Second)
	for _, id := range w.ids {
		again := w.callers.send(id, "k", payPost).answerAfter(w, time.Second)
		is.Equal(again.Outcome, core.Ran)
		is.Equal(string(again.Body), string(first.Body))
	}
	is.Equal(len(w.services.ran["k"]), 1)
}

func TestCallWithoutKeyIsRejected(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 12, 3)
	w.advance(5 * time.Second)
	answer := w.callers.send("node-0", "", payPost).answerAfter(w, time.Second)
	is.Equal(answer.Outcome, core.NotRun)
	is.Equal(answer.Reason, core.KeyMissing)
}

func TestKeyUsedForAnotherCallIsRejected(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 13, 3)
	w.advance(5 * time.Second)
	w.callers.send("node-0", "k", payPost).answerAfter(w, time.Second)
	w.callers.byID["other"] = &sentCall{call: core.ServiceCall{Key: "other"}}
	w.send("node-1", core.ServiceCall{Call: "other", Profile: payPost, Customer: "gardener", Key: "k", Body: []byte("x")})
	w.advance(time.Second)
	is.Equal(w.callers.byID["other"].answer.Reason, core.KeyReused)
	is.Equal(len(w.services.ran["k"]), 1)
}

func TestLostAppendReplyStillRunsOnce(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 14, 3)
	w.advance(5 * time.Second)
	w.log.fault.lostReply = 1
	answer := w.callers.send("node-0", "k", payPost).answerAfter(w, 3*time.Second)
	is.Equal(answer.Outcome, core.Ran)
	is.Equal(len(w.services.ran["k"]), 1)
}

func TestLogOutageRejectsPromptly(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 15, 3)
	w.advance(5 * time.Second)
	w.log.fault.down = true
	w.advance(2 * time.Second)
	repeated := w.callers.send("node-0", "k2", payPost).answerAfter(w, 100*time.Millisecond)
	is.Equal(repeated.Outcome, core.Unknown)
	is.Equal(repeated.Reason, core.LogUnavailable)
	answer := w.callers.sendFirst("node-0", "k", payPost).answerAfter(w, 100*time.Millisecond)
	is.Equal(answer.Outcome, core.NotRun)
	is.Equal(answer.Reason, core.LogUnavailable)
	is.True(answer.RetryAfter > 0)
	w.log.fault.down = false
	w.advance(time.Minute)
	is.Equal(len(w.services.ran["k"]), 0)
}

func TestPausedWriterDoesNotDispatchAfterResume(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 16, 4)
	w.advance(5 * time.Second)
	for i := range 8 {
		w.callers.send("node-0", core.IdempotencyKey(fmt.Sprint(i)), payPost)
	}
	w.advance(4 * time.Millisecond)
	for _, id := range w.ids[1:] {
		w.freeze(id, false)
	}
	w.advance(20 * time.Second)
	for i := range 8 {
		is.True(w.callers.byKey[core.IdempotencyKey(fmt.Sprint(i))][0].answered)
	}
	before := len(w.services.ran)
	w.heal()
	w.advance(20 * time.Second)
	is.Equal(len(w.services.ran), before)
	w.callers.check()
}

func TestKeyOfDeadWriterIsNotRunByAnotherWriter(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 17, 3)
	w.advance(5 * time.Second)
	w.log.put(core.KeyStream, core.KeyIntent{
		Key: "k", Writer: "gone", Incarnation: 4, Digest: core.CallDigest(payPost, "gardener", []byte("body of k")),
	})
	w.advance(time.Second)
	answer := w.callers.send("node-1", "k", payPost).answerAfter(w, time.Second)
	is.Equal(answer.Outcome, core.Unknown)
	is.Equal(answer.Reason, core.InProgress)
	is.Equal(len(w.services.ran["k"]), 0)
}

func TestExpiredKeyIsNotRunAndOutcomeIsUnknown(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 18, 3)
	w.advance(5 * time.Second)
	minted := w.log.clock() - int64(w.log.retention)
	w.callers.byID["old"] = &sentCall{call: core.ServiceCall{Key: "k"}}
	w.send("node-0", core.ServiceCall{Call: "old", Profile: payPost, Key: "k", KeyMinted: minted})
	w.advance(time.Second)
	is.Equal(w.callers.byID["old"].answer.Reason, core.KeyExpired)
	is.Equal(w.callers.byID["old"].answer.Outcome, core.Unknown)
	is.Equal(len(w.services.ran["k"]), 0)
}

func TestDuplicateOfRejectedCallDoesNotRun(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 19, 3)
	w.advance(5 * time.Second)
	call := core.KeyCall{Call: "c", Writer: 1, Profile: payPost, Key: "k"}
	message := core.PeerMessage{From: "node-1", Incarnation: 1, Body: call}
	w.log.fault.down = true
	w.advance(2 * time.Second)
	w.send("node-0", message)
	w.log.fault.down = false
	w.advance(5 * time.Second)
	w.send("node-0", message)
	w.advance(5 * time.Second)
	w.restart("node-0")
	w.advance(5 * time.Second)
	w.send("node-0", message)
	w.advance(5 * time.Second)
	is.Equal(len(w.services.ran["k"]), 0)
}

func TestResultOfAnotherIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 20, 3)
	w.advance(5 * time.Second)
	body := []byte("body of k")
	w.log.put(
		core.KeyStream,
		core.KeyIntent{Key: "k", Writer: "gone", Incarnation: 4, Digest: core.CallDigest(payPost, "gardener", body)},
		core.KeyResult{Key: "k", Writer: "gone", Incarnation: 3, Outcome: core.NotRun},
	)
	w.advance(time.Second)
	answer := w.callers.send("node-1", "k", payPost).answerAfter(w, time.Second)
	is.Equal(answer.Outcome, core.Unknown)
	is.Equal(answer.Reason, core.InProgress)
}

func TestCallReceivedDuringPauseDoesNotRun(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 21, 3)
	w.advance(5 * time.Second)
	w.freeze("node-0", false)
	call := core.KeyCall{Call: "c", Writer: 1, Profile: payPost, Key: "k"}
	w.send("node-0", core.PeerMessage{From: "node-1", Incarnation: 1, Body: call})
	w.advance(20 * time.Second)
	w.resume("node-0")
	w.advance(20 * time.Second)
	is.Equal(len(w.services.ran["k"]), 0)
}

func TestCallWhoseIntentIsNotReadBackEndsUnknown(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 22, 3)
	w.advance(5 * time.Second)
	w.log.fault.lateAppend = 1
	answer := w.callers.send("node-0", "k", payPost).answerAfter(w, 9*time.Second)
	is.Equal(answer.Outcome, core.Unknown)
	w.advance(20 * time.Second)
	is.Equal(len(w.services.ran["k"]), 0)
	again := w.callers.send("node-0", "k", payPost).answerAfter(w, 9*time.Second)
	is.Equal(again.Outcome, core.NotRun)
}
