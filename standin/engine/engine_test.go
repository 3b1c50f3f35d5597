package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

func TestPrefillTimeDependsOnUncachedTokens(t *testing.T) {
	is := is.New(t)
	w := pair()
	start := w.now
	first := w.prefill("p", tag("a", 1), 800, 1, 2, 3)
	second := w.prefill("p", tag("b", 1), 800, 1, 2, 4)
	w.run(time.Second / 2)
	is.Equal(w.repliedAt[first].Sub(start), 120*time.Millisecond)  // 20 ms plus 800 tokens at 8000/s
	is.Equal(w.repliedAt[second].Sub(start), 176*time.Millisecond) // starts at 120 ms; 20 ms plus 288 uncached tokens
	is.Equal(w.last(second).(engine.Prefilled).Result.Cached, core.Tokens(512))
	is.Equal(w.engines["p"].Counters.Prefilled, core.Tokens(1088))
}

func TestPrefillQueueHonoursPriority(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.prefill("p", tag("running", 1), 800)
	low := w.prefill("p", tag("low", 1), 800)
	high := w.ticket()
	request := wire.PrefillRequest{Allocation: tag("high", 1), Model: model, Tokens: 800, Priority: 1}
	w.update("p", engine.Prefill{Ticket: high, Request: request})
	w.run(time.Second / 2)
	is.True(w.repliedAt[high] < w.repliedAt[low])
}

func TestPrefillResultIsEvictedUnlessExported(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.prefill("p", tag("kept", 1), 800)
	w.prefill("p", tag("lost", 1), 800)
	w.run(time.Second / 2)
	w.importFrom("d", "p", tag("kept", 1), 1000)
	w.run(time.Second)
	is.Equal(len(w.report("p", 0).Held), 1)
	is.Equal(w.rejectionCode(w.importFrom("d", "p", tag("lost", 1), 1000)), wire.CodeNotFound)
	is.Equal(w.engines["p"].Counters.Evicted, 1)
}

func TestTransfersShareTheLink(t *testing.T) {
	is := is.New(t)
	w := pair()
	for _, e := range w.engines {
		e.LinkRate = 1e9
		e.TokenBytes = 1e6
	}
	w.prefill("p", tag("a", 1), 100)
	w.prefill("p", tag("b", 1), 100)
	w.run(time.Second / 10)
	start := w.now
	a := w.importFrom("d", "p", tag("a", 1), 100)
	b := w.importFrom("d", "p", tag("b", 1), 100)
	w.run(time.Second)
	// 100 MB each at half of 1 GB/s, after a latency of 2 ms.
	is.Equal(w.repliedAt[a].Sub(start).Round(time.Microsecond), 202*time.Millisecond)
	is.Equal(w.repliedAt[b].Sub(start).Round(time.Microsecond), 202*time.Millisecond)
}

func TestStallStopsTransfersUntilItEnds(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.prefill("p", tag("a", 1), 800)
	w.run(time.Second / 2)
	w.inject("p", fault.Fault{Kind: fault.Stall, On: true})
	ticket := w.importFrom("d", "p", tag("a", 1), 1000)
	w.run(time.Minute)
	is.Equal(w.last(ticket), nil)
	w.inject("p", fault.Fault{Kind: fault.Stall})
	w.run(time.Second)
	is.Equal(w.last(ticket), engine.Imported{Ticket: ticket})
}

func TestAnswerIsCompleteAndInOrder(t *testing.T) {
	is := is.New(t)
	w := pair()
	ticket := w.startStream("a", 800)
	w.run(time.Minute)
	is.Equal(w.receivedText(ticket), expectedAnswer("a"))
	is.True(w.last(ticket).(engine.Token).Event.Last)
	is.Equal(w.engines["d"].Counters.Used, core.Tokens(800))
	is.True(w.report("d", 0).Held[0].Finished) // kept until released
	w.release("d", tag("a", 1))
	is.Equal(w.engines["d"].FreePieces(), 40)
	is.Equal(w.engines["p"].FreePieces(), 40)
}

func TestTwentyRequestsKeepToTheTokenTarget(t *testing.T) {
	is := is.New(t)
	w := pair()
	for i := range 20 {
		request := string(rune('a' + i))
		w.prefill("p", tag(request, 1), 4500)
		w.run(600 * time.Millisecond)
		w.importFrom("d", "p", tag(request, 1), 4700)
		w.run(100 * time.Millisecond)
		w.release("p", tag(request, 1))
	}
	is.Equal(w.engines["d"].FreePieces(), 0)
	for i := range 20 {
		w.decode("d", tag(string(rune('a'+i)), 1), 0)
	}
	w.run(time.Minute)
	is.True(w.engines["d"].Counters.SlowestStep > 45*time.Millisecond)
	is.True(w.engines["d"].Counters.SlowestStep <= 55*time.Millisecond)
	is.Equal(w.rejectionCode(w.importFrom("d", "p", tag("one too many", 1), 1)), wire.CodeFull)
}

func TestStreamGoesOnWithoutReaderAndResumes(t *testing.T) {
	is := is.New(t)
	w := pair()
	first := w.startStream("a", 800)
	w.run(50 * time.Millisecond)
	w.update("d", engine.Disconnect{Ticket: first})
	w.run(time.Minute)
	is.Equal(len(w.replies[first]), 1+2) // StreamOpened and the tokens of two steps
	again := w.decode("d", tag("a", 2), 2)
	is.Equal(w.receivedText(first)+w.receivedText(again), expectedAnswer("a"))
	is.Equal(w.report("d", 0).Held[0].Allocation, tag("a", 2))
	is.Equal(w.rejectionCode(w.decode("d", tag("a", 1), 0)), wire.CodeSuperseded)
	w.release("d", tag("a", 1)) // has no effect: the allocation now belongs to attempt 2
	is.Equal(len(w.report("d", 0).Held), 1)
	is.Equal(w.rejectionCode(w.release("d", tag("a", 2))), "")
	is.Equal(w.rejectionCode(w.release("d", tag("a", 2))), "")
	is.Equal(w.engines["d"].FreePieces(), 40)
}

func TestImportMovesAStreamAndStopsItAtTheSource(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.add("d2", core.Decode)
	first := w.startStream("a", 800)
	w.run(200 * time.Millisecond)
	w.importFrom("d2", "d", tag("a", 2), 1200)
	sent := len(w.replies[first]) - 1
	w.run(time.Second)
	is.Equal(len(w.replies[first])-1, sent)
	second := w.decode("d2", tag("a", 2), core.Tokens(sent))
	w.release("d", tag("a", 1))
	w.run(time.Minute)
	is.Equal(w.receivedText(first)+w.receivedText(second), expectedAnswer("a"))
	is.Equal(w.engines["d2"].Counters.Used, core.Tokens(0)) // already counted at d
}

func TestReleaseCancelsOperationsInProgress(t *testing.T) {
	is := is.New(t)
	w := pair()
	computing := w.prefill("p", tag("a", 1), 800)
	queued := w.prefill("p", tag("b", 1), 800)
	w.run(70 * time.Millisecond)
	w.release("p", tag("a", 1))
	w.release("p", tag("b", 1))
	is.Equal(w.rejectionCode(computing), wire.CodeNotFound)
	is.Equal(w.rejectionCode(queued), wire.CodeNotFound)
	is.Equal(w.engines["p"].Counters.Prefilled, core.Tokens(466)) // 70 of the 120 ms that 800 tokens take
	w.prefill("p", tag("c", 1), 800)
	w.run(time.Second / 2)
	importing := w.importFrom("d", "p", tag("c", 1), 1000)
	w.release("d", tag("c", 1))
	is.Equal(w.rejectionCode(importing), wire.CodeNotFound)
	is.Equal(w.engines["d"].FreePieces(), 40)
}

func TestDrainingEngineFinishesItsStreams(t *testing.T) {
	is := is.New(t)
	w := pair()
	ticket := w.startStream("a", 800)
	w.inject("d", fault.Fault{Kind: fault.Drain, On: true})
	is.Equal(w.rejectionCode(w.importFrom("d", "p", tag("b", 1), 100)), wire.CodeDraining)
	is.Equal(w.rejectionCode(w.prefill("d", tag("b", 1), 100)), wire.CodeDraining)
	is.Equal(w.report("d", 0).State, "Draining")
	w.run(time.Minute)
	is.Equal(w.receivedText(ticket), expectedAnswer("a"))
}

func TestFencedEngineRejectsAnOldOrder(t *testing.T) {
	for _, test := range []struct {
		name             string
		fenced, ignoring bool
		code             string
	}{
		{"fenced", true, false, wire.CodeStaleFencing},
		{"not fenced", false, false, ""},
		{"fenced, with fault IgnoreFencing", true, true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := pair()
			w.engines["d"].Fenced = test.fenced
			w.inject("d", fault.Fault{Kind: fault.IgnoreFencing, On: test.ignoring})
			w.order("d", 7, core.Prefill)
			is.Equal(w.report("d", 0).Role, "Prefill")
			is.Equal(w.rejectionCode(w.order("d", 6, core.Decode)), test.code)
			is.Equal(w.report("d", 0).Fencing, core.Offset(7))
		})
	}
}

func TestLaterOrderSupersedesOneThatIsLoading(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.engines["d"].Fenced = true
	old, latest := w.ticket(), w.ticket()
	w.update("d", engine.Order{Ticket: old, Request: wire.OrderRequest{Kind: "LoadModel", Model: "old", Fencing: 1}})
	w.update("d", engine.Order{Ticket: latest, Request: wire.OrderRequest{Kind: "LoadModel", Model: "new", Fencing: 2}})
	w.run(2 * time.Second)
	is.Equal(w.rejectionCode(old), wire.CodeStaleFencing)
	is.Equal(w.report("d", 0).Model, core.ModelID("new"))
}

func TestReportedLoadLagsButAllocationsAreExact(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.prefill("p", tag("a", 1), 8000)
	w.prefill("p", tag("b", 1), 8000, 1)
	r := w.report("p", 0)
	is.Equal(len(r.Held), 2)
	is.Equal(r.Queued, core.Tokens(0))
	is.Equal(r.FreePieces, 40)
	w.run(600 * time.Millisecond)
	r = w.report("p", 0)
	is.Equal(r.Queued, core.Tokens(16000))
	is.Equal(r.FreePieces, 38)
}

func TestCacheEventsAreLateAndNumbered(t *testing.T) {
	is := is.New(t)
	w := pair()
	w.engines["p"].CacheBlocks = 2
	w.prefill("p", tag("a", 1), 512, 1, 2)
	w.run(300 * time.Millisecond)
	is.Equal(len(w.report("p", 0).Events), 0)
	w.run(500 * time.Millisecond)
	r := w.report("p", 1)
	is.Equal(r.Events, []wire.CacheEvent{{Block: 1}})
	is.Equal(r.EventsFrom, uint64(2))
	is.Equal(r.EventsThrough, uint64(2))
	w.inject("p", fault.Fault{Kind: fault.EventGaps, Rate: 1})
	w.prefill("p", tag("b", 1), 512, 3, 4)
	w.run(time.Second)
	w.inject("p", fault.Fault{Kind: fault.EventGaps})
	w.prefill("p", tag("c", 1), 512, 5)
	w.run(time.Second)
	r = w.report("p", 2)
	is.Equal(r.EventsFrom, uint64(7)) // events 3 to 6 were lost
	is.Equal(r.Events, []wire.CacheEvent{{Block: 5}, {Block: 4, Evicted: true}})
}
