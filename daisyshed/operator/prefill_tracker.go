package operator

import "daisyshed.dev/core"

// prefills follows each prefill until its first token or its end, to tell how
// much prefill work was wasted. Only the control goroutine uses it.
type prefills struct {
	byAttempt map[core.Allocation]*prefill
	latest    map[core.RequestID]core.Allocation
}

// prefill is the prefill of one attempt.
type prefill struct {
	tokens core.Tokens
	// computed is set once the prefill is done.
	computed bool
	// ended is set once the attempt has ended without a token.
	ended bool
}

func newPrefills() prefills {
	return prefills{byAttempt: map[core.Allocation]*prefill{}, latest: map[core.RequestID]core.Allocation{}}
}

// started notes a prefill, and returns what the request's earlier attempt
// wasted.
func (p *prefills) started(c core.StartPrefill) core.Tokens {
	wasted := p.end(c.Allocation.Request)
	p.byAttempt[c.Allocation] = &prefill{tokens: c.Prompt.Tokens + c.Emitted}
	p.latest[c.Allocation.Request] = c.Allocation
	return wasted
}

// done notes the end of a prefill, and returns the tokens computed and those
// of them that are wasted already.
func (p *prefills) done(m core.PrefillDone) (computed, wasted core.Tokens) {
	one, ok := p.byAttempt[m.Allocation]
	if !ok {
		return 0, 0
	}
	one.tokens = max(0, one.tokens-m.Cached)
	one.computed = true
	if !one.ended {
		return one.tokens, 0
	}
	delete(p.byAttempt, m.Allocation)
	return one.tokens, one.tokens
}

// failed forgets a prefill that computed nothing of use.
func (p *prefills) failed(m core.EngineFailed) {
	if m.Step == core.PrefillStep {
		delete(p.byAttempt, m.Allocation)
	}
}

// used notes that an attempt gave a token.
func (p *prefills) used(a core.Allocation) {
	delete(p.byAttempt, a)
	if p.latest[a.Request] == a {
		delete(p.latest, a.Request)
	}
}

// forget drops a request whose answer is whole.
func (p *prefills) forget(id core.RequestID) {
	delete(p.byAttempt, p.latest[id])
	delete(p.latest, id)
}

// end notes that a request's latest attempt will give no token any more, and
// returns what it wasted.
func (p *prefills) end(id core.RequestID) core.Tokens {
	a, ok := p.latest[id]
	if !ok {
		return 0
	}
	delete(p.latest, id)
	one, ok := p.byAttempt[a]
	if !ok {
		return 0
	}
	if !one.computed {
		one.ended = true
		return 0
	}
	delete(p.byAttempt, a)
	return one.tokens
}
