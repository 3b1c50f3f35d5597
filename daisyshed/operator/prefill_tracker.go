package operator

import "daisyshed.dev/core"

// prefillTracker tracks each prefill until the first token of its attempt or the
// end of the attempt, to count the prefill tokens computed for attempts that sent
// no token. Only the control goroutine may use it.
type prefillTracker struct {
	byAttempt map[core.Allocation]*trackedPrefill
	// latest holds the latest attempt of each request, until that attempt sends a
	// token or the request ends.
	latest map[core.RequestID]core.Allocation
}

// trackedPrefill is the prefill of one attempt.
type trackedPrefill struct {
	// tokens is how many tokens the prefill has to compute. Once it has completed,
	// the tokens found in the cache are subtracted.
	tokens core.Tokens
	// computed is set once the prefill has completed.
	computed bool
	// abandoned is set if the attempt ended without a token before the prefill
	// completed.
	abandoned bool
}

func newPrefillTracker() prefillTracker {
	return prefillTracker{byAttempt: map[core.Allocation]*trackedPrefill{}, latest: map[core.RequestID]core.Allocation{}}
}

// start records the start of a prefill, and returns the tokens wasted by the
// request's previous attempt.
func (p *prefillTracker) start(c core.StartPrefill) core.Tokens {
	wasted := p.abandon(c.Allocation.Request)
	p.byAttempt[c.Allocation] = &trackedPrefill{tokens: c.Prompt.Tokens + c.Emitted}
	p.latest[c.Allocation.Request] = c.Allocation
	return wasted
}

// complete records that a prefill has completed. It returns how many tokens it
// computed, and how many of them are wasted because the attempt has ended.
func (p *prefillTracker) complete(m core.PrefillDone) (computed, wasted core.Tokens) {
	prefill, ok := p.byAttempt[m.Allocation]
	if !ok {
		return 0, 0
	}
	prefill.tokens = max(0, prefill.tokens-m.Cached)
	prefill.computed = true
	if !prefill.abandoned {
		return prefill.tokens, 0
	}
	delete(p.byAttempt, m.Allocation)
	return prefill.tokens, prefill.tokens
}

// fail forgets a failed prefill. What it computed does not count as wasted.
func (p *prefillTracker) fail(m core.EngineFailed) {
	if m.Step == core.PrefillStep {
		delete(p.byAttempt, m.Allocation)
	}
}

// firstToken records that an attempt sent a token, so that its prefill is not wasted.
func (p *prefillTracker) firstToken(a core.Allocation) {
	delete(p.byAttempt, a)
	if p.latest[a.Request] == a {
		delete(p.latest, a.Request)
	}
}

// finish forgets a request whose answer is complete.
func (p *prefillTracker) finish(id core.RequestID) {
	delete(p.byAttempt, p.latest[id])
	delete(p.latest, id)
}

// abandon records that a request's latest attempt will send no token, and returns
// the tokens that it wasted. If the prefill is still running, complete returns them
// later.
func (p *prefillTracker) abandon(id core.RequestID) core.Tokens {
	a, ok := p.latest[id]
	if !ok {
		return 0
	}
	delete(p.latest, id)
	prefill, ok := p.byAttempt[a]
	if !ok {
		return 0
	}
	if !prefill.computed {
		prefill.abandoned = true
		return 0
	}
	delete(p.byAttempt, a)
	return prefill.tokens
}
