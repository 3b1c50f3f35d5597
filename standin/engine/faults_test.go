package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
)

func TestFrozenEngineDoesNothingUntilItThaws(t *testing.T) {
	is := is.New(t)
	w := pair()
	start := w.now
	before := w.prefill("p", tag("a", 1), 800)
	w.run(20 * time.Millisecond)
	w.inject("p", fault.Fault{Kind: fault.Freeze, Millis: 2000})
	during := w.prefill("p", tag("b", 1), 800)
	w.run(1900 * time.Millisecond)
	is.Equal(w.last(before), nil)
	w.run(time.Second)
	is.Equal(w.repliedAt[before].Sub(start), 2120*time.Millisecond)
	is.Equal(w.repliedAt[during].Sub(start), 2240*time.Millisecond)
}

func TestCrashLosesMemoryAndOperations(t *testing.T) {
	is := is.New(t)
	w := pair()
	stream := w.startStream("a", 800)
	w.run(100 * time.Millisecond)
	w.inject("d", fault.Fault{Kind: fault.Crash})
	is.Equal(w.last(stream), engine.ConnectionLost{Ticket: stream})
	is.Equal(w.engines["d"].FreePieces(), 40)
	is.Equal(len(w.report("d", 0).Held), 0)
	w.run(time.Minute)
	is.Equal(w.last(stream), engine.ConnectionLost{Ticket: stream})
	again := w.startStream("a", 800)
	w.run(time.Minute)
	is.Equal(w.receivedText(again), expectedAnswer("a"))
}

func TestLostReplyComesAfterTheEffect(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.inject("p", fault.Fault{Kind: fault.LoseReplies, Count: 1})
	ticket := w.prefill("p", tag("a", 1), 800)
	w.run(time.Second / 2)
	is.Equal(w.last(ticket), engine.ConnectionLost{Ticket: ticket})
	again := w.prefill("p", tag("a", 1), 800)
	is.Equal(w.last(again), engine.Prefilled{Ticket: again})
	is.Equal(w.engines["p"].Counters.Prefills, 1)
}

func TestDelayPostponesEachOperation(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.inject("d", fault.Fault{Kind: fault.Delay, Millis: 300})
	ticket := w.release("d", tag("a", 1))
	start := w.now
	is.Equal(w.last(ticket), nil)
	w.run(time.Second)
	is.Equal(w.repliedAt[ticket].Sub(start), 300*time.Millisecond)
}
