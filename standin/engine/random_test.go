package engine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

// TestRandomOperations runs random operations and faults on three engines. It
// asserts that memory is never overcommitted, that readers receive tokens in
// order, that fencing tokens never decrease, and that releasing all
// allocations at the end frees all memory.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &randomRun{world: newWorld(), after: map[engine.Ticket]core.Tokens{}}
		r.add("p", core.Prefill)
		r.add("d", core.Decode)
		r.add("d2", core.Decode)
		for _, name := range r.names {
			r.engines[name].Pieces = rapid.IntRange(1, 6).Draw(t, "pieces")
			r.engines[name].Fenced = rapid.Bool().Draw(t, "fenced")
		}
		t.Repeat(map[string]func(*rapid.T){
			"prefill":    r.drawPrefill,
			"import":     r.drawImport,
			"decode":     r.drawDecode,
			"release":    r.drawRelease,
			"stream":     r.drawStream,
			"order":      r.drawOrder,
			"poll":       r.drawPoll,
			"disconnect": r.drawDisconnect,
			"fault":      r.drawFault,
			"time":       r.drawTime,
			"":           r.check,
		})
		r.releaseAll(t)
	})
}

// randomRun is a world with the state that the checks need.
type randomRun struct {
	*world
	// after is the offset after which each decode ticket started.
	after map[engine.Ticket]core.Tokens
}

func (r *randomRun) drawName(t *rapid.T) string { return rapid.SampledFrom(r.names).Draw(t, "engine") }

func drawTag(t *rapid.T) wire.Allocation {
	request := rapid.SampledFrom([]string{"a", "b", "c", "e"}).Draw(t, "request")
	return tag(request, core.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")))
}

func drawTokens(t *rapid.T) core.Tokens {
	return core.Tokens(rapid.IntRange(1, 12000).Draw(t, "tokens"))
}

func (r *randomRun) drawPrefill(t *rapid.T) {
	block := core.BlockHash(rapid.IntRange(1, 5).Draw(t, "block"))
	r.prefill(r.drawName(t), drawTag(t), drawTokens(t), block)
}

func (r *randomRun) drawImport(t *rapid.T) {
	r.importFrom(r.drawName(t), r.drawName(t), drawTag(t), drawTokens(t))
}

func (r *randomRun) drawDecode(t *rapid.T) {
	after := core.Tokens(rapid.IntRange(0, 20).Draw(t, "after"))
	// The offset is recorded first, as tokens may arrive before decode
	// returns.
	r.after[r.tickets+1] = after
	r.decode(r.drawName(t), drawTag(t), after)
}

// drawStream takes a request from prefill to decoding, as far as each
// operation succeeds.
func (r *randomRun) drawStream(t *rapid.T) {
	request := rapid.SampledFrom([]string{"a", "b", "c", "e"}).Draw(t, "request")
	r.after[r.startStream(request, drawTokens(t))] = 0
}

func (r *randomRun) drawRelease(t *rapid.T) { r.release(r.drawName(t), drawTag(t)) }

func (r *randomRun) drawOrder(t *rapid.T) {
	role := rapid.SampledFrom([]core.Role{core.Prefill, core.Decode}).Draw(t, "role")
	r.order(r.drawName(t), core.Offset(rapid.IntRange(1, 9).Draw(t, "fencing")), role)
}

func (r *randomRun) drawPoll(t *rapid.T) { r.poll(r.drawName(t), 0) }

func (r *randomRun) drawDisconnect(t *rapid.T) {
	ticket := engine.Ticket(rapid.Uint64Range(1, uint64(r.tickets)+1).Draw(t, "ticket"))
	r.update(r.drawName(t), engine.Disconnect{Ticket: ticket})
}

func (r *randomRun) drawFault(t *rapid.T) {
	kinds := []string{
		fault.Delay, fault.Stall, fault.Freeze, fault.Crash, fault.LoseReplies,
		fault.EventGaps, fault.IgnoreFencing, fault.Drain,
	}
	r.inject(r.drawName(t), fault.Fault{
		Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
		On:     rapid.Bool().Draw(t, "on"),
		Millis: int64(rapid.IntRange(0, 2000).Draw(t, "millis")),
		Count:  rapid.IntRange(0, 2).Draw(t, "count"),
	})
}

func (r *randomRun) drawTime(t *rapid.T) {
	r.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
}

func (r *randomRun) check(t *rapid.T) {
	for _, name := range r.names {
		r.checkFencing(t, name)
		if free := r.engines[name].FreePieces(); free < 0 || free > r.engines[name].Pieces {
			t.Fatalf("%s: impossible number of free pieces: %d", name, free)
		}
		if at, ok := r.engines[name].NextUpdate(); ok && at < r.now {
			t.Fatalf("%s: next update is due at %d, before the current time %d", name, at, r.now)
		}
	}
	for ticket, next := range r.after {
		for _, c := range r.replies[ticket] {
			token, ok := c.(engine.Token)
			if !ok || token.Event.Text == "" {
				continue
			}
			if next++; token.Offset != next {
				t.Fatalf("ticket %d: got token %d, want %d", ticket, token.Offset, next)
			}
		}
	}
}

func (r *randomRun) checkFencing(t *rapid.T, name string) {
	highest := core.Offset(0)
	for _, report := range r.reports[name] {
		if report.Fencing < highest {
			t.Fatalf("%s: reported fencing token %d after %d", name, report.Fencing, highest)
		}
		highest = report.Fencing
	}
}

// releaseAll ends the faults, releases all allocations that the engines
// report and asserts that this frees all memory.
func (r *randomRun) releaseAll(t *rapid.T) {
	for _, name := range r.names {
		for _, kind := range []string{fault.Delay, fault.Stall, fault.Freeze, fault.LoseReplies} {
			r.inject(name, fault.Fault{Kind: kind})
		}
	}
	r.run(5 * time.Second)
	for _, name := range r.names {
		for _, held := range r.report(name, 0).Held {
			r.release(name, held.Allocation)
		}
		if free := r.engines[name].FreePieces(); free != r.engines[name].Pieces {
			t.Fatalf("%s: %d of %d pieces free after all allocations were released", name, free, r.engines[name].Pieces)
		}
	}
}
