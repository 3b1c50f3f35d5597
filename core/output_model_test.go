package core_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Callers' estimates of their output are right at the median but often far off,
// so that low estimates are mostly exceeded and high ones mostly not reached.
// The sum of the reservations must match the sum of the needs, separately for
// low and for high estimates: reserving too little preempts streams, and
// reserving too much leaves memory unused.
func TestReservationsMatchActualOutput(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{
		{ID: "p1", Service: "model", Address: "p1:1", Slots: 4, Role: core.Prefill, Born: 1},
		{ID: "d1", Service: "model", Address: "d1:1", Slots: 4, Role: core.Decode, Born: 1},
	}})
	rng := rand.New(rand.NewPCG(1, 2))
	type sums struct{ reserved, needed float64 }
	var low, high sums
	for id := range core.ForwardID(1200) {
		// Actual output and estimate share about half of their spread.
		common, own, off := rng.NormFloat64()*0.45, rng.NormFloat64()*0.3, rng.NormFloat64()*0.5
		output, expected := 650*math.Exp(common+own), 650*math.Exp(common+off)
		placed := sentTo[core.ForwardPlaced](h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: worldPrompt, Expected: core.Tokens(expected), MaxOutput: 16000,
			OnTime: time.Second, Patience: worldTimeout, Objective: worldObjective,
		}}), "n2")
		is.Equal(len(placed), 1)
		deliver := func(body core.PeerBody) { h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: body}) }
		h.advance(100 * time.Millisecond)
		deliver(core.ForwardPromptRead{ID: id})
		deliver(core.ForwardReleased{ID: id, Outcome: core.RunSucceeded, Output: core.Tokens(output)})
		if id < 200 {
			continue
		}
		half := &low
		if expected > 650 {
			half = &high
		}
		half.reserved += float64(placed[0].Memory - worldPrompt)
		half.needed += output
	}
	t.Logf("low %.2f, high %.2f of what was needed", low.reserved/low.needed, high.reserved/high.needed)
	for _, half := range []sums{low, high} {
		is.True(half.reserved >= 0.9*half.needed)
		is.True(half.reserved <= 1.1*half.needed)
	}
}
