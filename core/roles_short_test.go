package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// ordersAfter returns how many role orders a node sends after a dozen streams with
// prompts of equal length, except that the first prompt may be shorter.
func ordersAfter(first core.Tokens) int {
	h := newHosted("n1", core.Settings{})
	list := core.InstancesRead{Whole: true, Offset: 1}
	for i := range 18 {
		role := core.Decode
		if i < 7 {
			role = core.Prefill
		}
		id := core.EngineID(fmt.Sprintf("e%02d", i))
		list.Changed = append(list.Changed, core.Instance{ID: id, Service: "model", Domain: "d1", Address: string(id) + ":1", Slots: 32, Role: role, Born: 1})
	}
	h.deliver(core.Tick{}, worldState(), list)
	tell := func(body core.PeerBody) { h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: body}) }
	orders := 0
	// pass advances time and confirms claims promptly, while they are valid.
	pass := func(d time.Duration) {
		const step = time.Millisecond
		for range d / step {
			for _, c := range commandsOf[core.ClaimOrders](h.advance(step)) {
				orders += len(commandsOf[core.SendOrder](h.deliver(core.OrdersClaimed{Ticket: c.Ticket, Offset: c.At})))
			}
		}
	}
	const batch, output = 6, 700
	for b := range core.ForwardID(2) {
		prompt := func(i core.ForwardID) core.Tokens {
			if b == 0 && i == 0 {
				return first
			}
			return worldPrompt
		}
		for i := range core.ForwardID(batch) {
			tell(core.PlaceForward{
				ID: b*batch + i, Group: core.DispatchGroup{Service: "model"}, Prompt: prompt(i), Expected: output,
				OnTime: time.Second, Patience: worldTimeout, Objective: worldObjective,
			})
		}
		// Prefill time is proportional to the length of the prompt.
		short := time.Duration(float64(promptTime) * float64(prompt(0)) / float64(worldPrompt))
		pass(short)
		tell(core.ForwardPromptRead{ID: b * batch})
		pass(promptTime - short)
		for i := range core.ForwardID(batch - 1) {
			tell(core.ForwardPromptRead{ID: b*batch + i + 1})
		}
		pass(output * decodeStep)
		for i := range core.ForwardID(batch) {
			tell(core.ForwardReleased{ID: b*batch + i, Outcome: core.RunSucceeded, Output: output})
		}
	}
	pass(2 * time.Second)
	return orders
}

// Load pattern: prompts of equal length except for a single shorter one. The split
// between prefill and decode engines follows typical prefill times, so one short
// prompt does not change it.
func TestOneShortPromptDoesNotMoveEngines(t *testing.T) {
	is := is.New(t)
	short, equal := ordersAfter(worldPrompt/3), ordersAfter(worldPrompt)
	t.Logf("%d engines ordered, %d without the short prompt", short, equal)
	is.Equal(short, equal)
}
