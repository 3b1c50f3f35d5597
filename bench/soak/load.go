package soak

import (
	"fmt"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

// payment is one call that may not be repeated, with the attempts that its
// caller made.
type payment struct {
	key      core.IdempotencyKey
	attempts []*world.Call
}

// startLoad lets callers arrive while faults are injected.
func (r *Run) startLoad() {
	rate := 4 + 16*r.rng.Float64()
	for at := warmUp; at < warmUp+r.Faulty; at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)) {
		c := r.newCaller()
		r.callers = append(r.callers, c)
		r.byRequest[c.Request.Request] = c
		r.w.After(at, func() { r.w.Ask(c, r.shuffledNodes()...) })
	}
	payments := 4 + 12*r.rng.Float64()
	for at := warmUp; at < warmUp+r.Faulty; at += time.Duration(r.rng.ExpFloat64() / payments * float64(time.Second)) {
		p := &payment{key: core.IdempotencyKey(fmt.Sprintf("payment-%d", len(r.calls)))}
		r.calls = append(r.calls, p)
		attempts := 1 + r.rng.IntN(4)
		r.w.After(at, func() { r.pay(p, attempts) })
	}
}

func (r *Run) shuffledNodes() []core.NodeID {
	var ids []core.NodeID
	for _, i := range r.rng.Perm(len(r.w.Nodes)) {
		ids = append(ids, r.w.Nodes[i].ID)
	}
	return ids
}

func (r *Run) newCaller() *world.Caller {
	i := len(r.callers)
	tokens := core.Tokens(100 + r.rng.IntN(3000))
	customer := r.rng.IntN(8)
	p := core.Prompt{Tokens: tokens}
	for b := range int(tokens / core.BlockTokens) {
		h := uint64(customer)<<32 | uint64(b)
		if b > 0 {
			h |= uint64(i+1) << 40
		}
		p.Blocks = append(p.Blocks, core.BlockHash(h))
	}
	c := &world.Caller{
		Request: core.CallerRequest{
			Request: core.RequestID(fmt.Sprintf("request-%d", i)), Profile: "bill-summary",
			Customer: core.CustomerID(fmt.Sprintf("plot-%d", customer)), Prompt: p,
		},
		Output:  core.Tokens(1 + r.rng.IntN(250)),
		Retries: 6,
	}
	if r.chance(0.15) {
		c.Patience = r.between(time.Millisecond, 12*time.Second)
	}
	return c
}

// comeBack returns when a caller repeats a payment: at once, as a client that
// races its own retry does, or later.
func (r *Run) comeBack() time.Duration {
	if r.chance(0.5) {
		return r.between(0, 100*time.Millisecond)
	}
	return r.between(0, 5*time.Second)
}

// pay makes an attempt at a payment, and further ones while no answer is
// final or simply because the caller is impatient.
func (r *Run) pay(p *payment, attempts int) {
	node := r.w.Nodes[r.rng.IntN(len(r.w.Nodes))].ID
	c := &world.Call{Call: core.ServiceCall{
		Call:    core.CallID(fmt.Sprintf("%s/%d", p.key, len(p.attempts))),
		Profile: "pay-post", Customer: "plot-1", Key: p.key, Body: []byte(p.key),
	}}
	c.Call.First = len(p.attempts) == 0 && attempts == 1
	p.attempts = append(p.attempts, c)
	r.w.AskCall(c, node)
	if attempts > 1 {
		r.w.After(r.comeBack(), func() { r.pay(p, attempts-1) })
	}
}
