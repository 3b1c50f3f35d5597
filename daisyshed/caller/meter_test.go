package caller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/daisyshed/caller"
	"github.com/matryer/is"
)

// meter keeps what it is told.
type meter struct{ answers []caller.Answered }

func (m *meter) Answered(a caller.Answered) { m.answers = append(m.answers, a) }

func TestTimesOfAWholeAnswer(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		told := &meter{}
		n.server.Meter = told
		responses := n.start(t.Context(), completions, streamed, "X-Request-Id", "r1")
		_, a := n.request()
		time.Sleep(300 * time.Millisecond)
		is.NoErr(a.Token(1, "x", false))
		got := events(responses)
		<-got
		time.Sleep(40 * time.Millisecond)
		is.NoErr(a.Token(2, "y", false))
		<-got
		time.Sleep(60 * time.Millisecond)
		is.NoErr(a.Token(3, "z", true))
		<-got
		<-got
		synctest.Wait()
		is.Equal(told.answers, []caller.Answered{{
			Profile: "p", FirstToken: 300 * time.Millisecond, PerToken: 50 * time.Millisecond,
		}})
	})
}

func TestAnAnswerBrokenOffIsNotMeasured(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		told := &meter{}
		n.server.Meter = told
		responses := n.start(t.Context(), completions, streamed, "X-Request-Id", "r1")
		_, a := n.request()
		is.NoErr(a.Token(1, "x", false))
		is.NoErr((<-responses).Body.Close())
		synctest.Wait()
		is.Equal(len(told.answers), 0)
	})
}
