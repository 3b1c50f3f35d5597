package caller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/daisyshed/caller"
	"github.com/matryer/is"
)

// recordingMeter keeps the answers that are reported to it.
type recordingMeter struct{ answers []caller.Answered }

func (m *recordingMeter) Answered(a caller.Answered) { m.answers = append(m.answers, a) }

func TestLatencyOfACompleteAnswer(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		meter := &recordingMeter{}
		n.server.Meter = meter
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1")
		_, a := n.nextRequest()
		time.Sleep(300 * time.Millisecond)
		is.NoErr(a.Token(1, "x", false))
		got := readEvents(responses)
		<-got
		time.Sleep(40 * time.Millisecond)
		is.NoErr(a.Token(2, "y", false))
		<-got
		time.Sleep(60 * time.Millisecond)
		is.NoErr(a.Token(3, "z", true))
		<-got
		<-got
		synctest.Wait()
		is.Equal(meter.answers, []caller.Answered{{
			Profile: "p", FirstToken: 300 * time.Millisecond, PerToken: 50 * time.Millisecond,
		}})
	})
}

func TestIncompleteAnswerIsNotReportedToTheMeter(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		meter := &recordingMeter{}
		n.server.Meter = meter
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1")
		_, a := n.nextRequest()
		is.NoErr(a.Token(1, "x", false))
		is.NoErr((<-responses).Body.Close())
		synctest.Wait()
		is.Equal(len(meter.answers), 0)
	})
}
