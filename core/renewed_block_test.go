package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against a block that is over and that others repeat: it begins anew with each repetition that
// comes late, so that the sound answer of a trial that was under way does not end it.
func TestRepeatedReportsDoNotHideASoundTrial(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		t.Run(fmt.Sprint(repeated), func(t *testing.T) {
			is := is.New(t)
			h := newLedgerNode("s1", "s2", "s3")
			report := func(left time.Duration) {
				b := core.SuspectBlock{CrashSuspect: core.CrashSuspect{Service: "ledger", Request: "chance"}, Left: left}
				h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Blocked: []core.SuspectBlock{b}}})
			}
			report(time.Second)
			h.advance(10950 * time.Millisecond)
			runs := commandsOf[core.RunForward](h.deliver(keyed(1, "chance")))
			is.Equal(len(runs), 1)
			h.deliver(core.ForwardResponseStarted{ID: 1, Send: runs[0].Send, Engine: runs[0].Engine})
			h.advance(100 * time.Millisecond)
			if repeated {
				report(0)
			}
			h.advance(50 * time.Millisecond)
			h.deliver(core.ForwardResponseCompleted{ID: 1, Send: runs[0].Send, Engine: runs[0].Engine})
			is.True(!h.blockedAs(2, "chance"))
		})
	}
}

// Guards against a block that nobody asks for and that is never forgotten: nodes that repeat it to each
// other begin it anew each time.
func TestBlockThatNobodyAsksForIsForgotten(t *testing.T) {
	is := is.New(t)
	w := newBlockedWorld(4, "chance")
	w.run(firstBlock + time.Hour + time.Minute)
	is.Equal(w.blockedNodes("chance", 1), 0)
}
