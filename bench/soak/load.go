package soak

import (
	"fmt"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

// payment is a call that must run at most once, with the attempts that its
// caller made under the same idempotency key.
type payment struct {
	key   core.IdempotencyKey
	calls []*world.Call
}

// startLoad schedules the arrival of requests and payments at random times
// during the fault phase.
func (r *Run) startLoad() {
	rate := 4 + 16*r.rng.Float64()
	for at := warmUpTime; at < warmUpTime+r.Faulty; at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)) {
		c := r.newCaller()
		r.callers = append(r.callers, c)
		r.byRequest[c.Request.Request] = c
		r.w.After(at, func() { r.w.SendRequest(c, r.shuffledNodes()...) })
	}
	payments := 4 + 12*r.rng.Float64()
	for at := warmUpTime; at < warmUpTime+r.Faulty; at += time.Duration(r.rng.ExpFloat64() / payments * float64(time.Second)) {
		p := &payment{key: core.IdempotencyKey(fmt.Sprintf("payment-%d", len(r.payments)))}
		r.payments = append(r.payments, p)
		attempts := 1 + r.rng.IntN(4)
		r.w.After(at, func() { r.attemptPayment(p, attempts) })
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
		c.CancelAfter = r.randomDuration(time.Millisecond, 12*time.Second)
	}
	return c
}

// paymentRetryDelay returns how long a caller waits before it repeats a payment:
// half of the time under 100 ms, like a client whose retry races its first
// attempt, else up to 5 s.
func (r *Run) paymentRetryDelay() time.Duration {
	if r.chance(0.5) {
		return r.randomDuration(0, 100*time.Millisecond)
	}
	return r.randomDuration(0, 5*time.Second)
}

// attemptPayment sends the payment to a random node and schedules the remaining
// attempts, whether or not this one is answered, as an impatient client does.
func (r *Run) attemptPayment(p *payment, attempts int) {
	node := r.w.Nodes[r.rng.IntN(len(r.w.Nodes))].ID
	c := &world.Call{Call: core.ServiceCall{
		Call:    core.CallID(fmt.Sprintf("%s/%d", p.key, len(p.calls))),
		Profile: "pay-post", Customer: "plot-1", Key: p.key, Body: []byte(p.key),
	}}
	c.Call.First = len(p.calls) == 0 && attempts == 1
	p.calls = append(p.calls, c)
	r.w.SendCall(c, node)
	if attempts > 1 {
		r.w.After(r.paymentRetryDelay(), func() { r.attemptPayment(p, attempts-1) })
	}
}
