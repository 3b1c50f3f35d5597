package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func TestFencedEngineGetsOrderAtOnceWithClaimOffsetAsToken(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 1, 2)
	w.log.put(core.ClaimStream, core.EngineClaim{Engine: "another", Holder: "elsewhere", Lease: time.Second})
	e.requestAdapter("node-0", "fenced", "peas")
	w.advance(time.Second)
	is.Equal(len(e.byID["fenced"].carriedOut), 1)
	is.Equal(e.byID["fenced"].carriedOut[0].order.Fencing, core.Offset(2))
	is.Equal(e.steps["ordered/NoReason"], 1)
}

func TestClaimWaitsForOtherLeaseAndAtUnfencedEngineForItsOrders(t *testing.T) {
	for id, least := range map[core.EngineID]time.Duration{"fenced": 10 * time.Second, "ignoring": 15 * time.Second} {
		t.Run(string(id), func(t *testing.T) {
			is := is.New(t)
			w, e := newOrdersWorld(t, 2, 2)
			w.log.put(core.ClaimStream, core.EngineClaim{Engine: id, Holder: "elsewhere", Lease: 10 * time.Second})
			e.requestAdapter("node-0", id, "peas")
			w.advance(least)
			is.Equal(len(e.byID[id].carriedOut), 0)
			w.advance(3 * time.Second)
			is.Equal(len(e.byID[id].carriedOut), 1)
		})
	}
}

func TestClaimDuringAnotherLeaseIsVoid(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 11, 2)
	e.requestAdapter("node-0", "fenced", "peas")
	for e.steps["claim/NoReason"] == 0 {
		w.advance(100 * time.Microsecond)
	}
	w.log.put(core.ClaimStream, core.EngineClaim{Engine: "fenced", Holder: "elsewhere", Lease: 10 * time.Second})
	w.advance(9 * time.Second)
	is.Equal(len(e.byID["fenced"].carriedOut), 0)
	w.advance(4 * time.Second)
	is.Equal(len(e.byID["fenced"].carriedOut), 1)
}

func TestResumedHolderDoesNotActUnderItsOldClaim(t *testing.T) {
	for _, id := range []core.EngineID{"fenced", "ignoring"} {
		for ms := range 12 {
			is := is.New(t)
			w, e := newOrdersWorld(t, 3, 2)
			e.requestAdapter("node-0", id, "old")
			w.advance(time.Duration(ms) * time.Millisecond)
			before := len(e.byID[id].received)
			w.freeze("node-0", false)
			w.advance(time.Second)
			e.requestAdapter("node-1", id, "new")
			w.advance(30 * time.Second)
			newer := e.byID[id].carriedOut[len(e.byID[id].carriedOut)-1]
			is.Equal(newer.order.Adapter, "new")
			w.resume("node-0")
			w.advance(30 * time.Second)
			for _, f := range e.byID[id].received[before:] {
				is.True(f.from == "node-1" || f.order.Fencing > newer.order.Fencing)
			}
		}
	}
}

func TestClaimWithLostReplyCounts(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 4, 2)
	w.log.fault.lostReply = 1
	e.requestAdapter("node-0", "fenced", "peas")
	e.requestAdapter("node-0", "ignoring", "peas")
	w.advance(3 * time.Second)
	is.Equal(len(e.byID["fenced"].carriedOut), 1)
	is.Equal(len(e.byID["ignoring"].carriedOut), 1)
	is.Equal(w.log.unconfirmedAppends, 2)
}

func TestConcurrentClaimantsSendOrdersInTurn(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 5, 3)
	e.slow = 1
	for _, id := range w.ids {
		e.requestAdapter(id, "ignoring", string(id))
	}
	w.advance(2 * time.Minute)
	is.Equal(len(e.byID["ignoring"].carriedOut), 3)
	is.Equal(e.steps["ordered/NoReason"], 3)
}

func TestNoOrderStartsWhileLogIsUnreachable(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 6, 2)
	w.log.fault.down = true
	e.requestAdapter("node-0", "fenced", "peas")
	w.advance(time.Minute)
	is.Equal(len(e.byID["fenced"].carriedOut), 0)
	w.log.fault.down = false
	w.advance(3 * time.Second)
	is.Equal(len(e.byID["fenced"].carriedOut), 1)
}

func TestUnconfirmedOrderIsRetriedAndAbandoned(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 7, 2)
	e.lost = 1
	e.requestAdapter("node-0", "ignoring", "peas")
	w.advance(2 * time.Minute)
	is.Equal(len(e.byID["ignoring"].carriedOut), 8)
	is.Equal(e.steps["order-refused/UpstreamFailed"], 1)
}

func TestRejectedHolderStops(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 8, 2)
	e.byID["fenced"].fencing = 9
	e.requestAdapter("node-0", "fenced", "peas")
	w.advance(time.Minute)
	is.Equal(e.byID["fenced"].rejected, 1)
	is.Equal(e.steps["order-refused/NoReason"], 1)
}

func TestEngineFollowsItsPublishedPool(t *testing.T) {
	is := is.New(t)
	w, e := newOrdersWorld(t, 9, 3)
	for id, f := range e.byID {
		e.publish(id, 1, core.Decode, "scribe-2")
		w.advance(10 * time.Second)
		is.Equal(f.role, core.Decode)
		is.Equal(f.model, core.ModelID("scribe-2"))
		is.Equal(len(f.carriedOut), 2)
	}
}

func TestLateOrderOfEarlierHolderIsRejectedOrRepaired(t *testing.T) {
	for id, afterLateOrder := range map[core.EngineID]core.ModelID{"fenced": "scribe-3", "ignoring": "scribe-2"} {
		t.Run(string(id), func(t *testing.T) {
			is := is.New(t)
			w, e := newOrdersWorld(t, 10, 3)
			f := e.byID[id]
			e.publish(id, 1, core.Prefill, "scribe-2")
			frozen := e.freezeAtOrder()
			for _, other := range w.ids {
				if other != frozen {
					e.resume(other)
				}
			}
			e.publish(id, 2, core.Prefill, "scribe-3")
			w.advance(time.Minute)
			is.Equal(f.model, core.ModelID("scribe-3"))
			e.resume(frozen)
			w.advance(30 * time.Millisecond)
			is.Equal(f.model, afterLateOrder)
			w.advance(time.Minute)
			is.Equal(f.model, core.ModelID("scribe-3"))
		})
	}
}
