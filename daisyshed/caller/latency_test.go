package caller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/daisyshed/caller"
	"github.com/matryer/is"
)

// latencyRecorder keeps the latencies that it receives.
type latencyRecorder struct{ answers []caller.AnswerLatency }

func (m *latencyRecorder) RecordAnswer(a caller.AnswerLatency) { m.answers = append(m.answers, a) }

func TestLatencyOfACompleteAnswer(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		recorder := &latencyRecorder{}
		n.server.LatencyRecorder = recorder
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1")
		_, a := n.nextRequest()
		time.Sleep(300 * time.Millisecond)
		is.NoErr(a.SendToken(1, "x", false))
		got := readEvents(responses)
		<-got
		time.Sleep(40 * time.Millisecond)
		is.NoErr(a.SendToken(2, "y", false))
		<-got
		time.Sleep(60 * time.Millisecond)
		is.NoErr(a.SendToken(3, "z", true))
		<-got
		<-got
		synctest.Wait()
		is.Equal(recorder.answers, []caller.AnswerLatency{{
			Profile: "p", FirstToken: 300 * time.Millisecond, PerToken: 50 * time.Millisecond,
		}})
	})
}

func TestLatencyOfAnIncompleteAnswerIsNotRecorded(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		recorder := &latencyRecorder{}
		n.server.LatencyRecorder = recorder
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1")
		_, a := n.nextRequest()
		is.NoErr(a.SendToken(1, "x", false))
		is.NoErr((<-responses).Body.Close())
		synctest.Wait()
		is.Equal(len(recorder.answers), 0)
	})
}
