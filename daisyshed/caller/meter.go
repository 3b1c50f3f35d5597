package caller

import (
	"time"

	"daisyshed.dev/core"
)

// Meter is told how answers reached their callers. Its methods must not block.
type Meter interface {
	Answered(a Answered)
}

// Answered says how fast one whole answer reached its caller.
type Answered struct {
	Profile core.ProfileID
	// Resumed answers went on after a lost connection, so that FirstToken and
	// PerToken speak of the last connection only.
	Resumed bool
	// FirstToken is the time from the request to the first token.
	FirstToken time.Duration
	// PerToken is the mean time between tokens, zero for a single one.
	PerToken time.Duration
}

// pace measures one answer as it reaches its caller.
type pace struct {
	arrived time.Time
	first   time.Time
	last    time.Time
	tokens  int
}

// token notes that a token was sent.
func (p *pace) token(now time.Time) {
	if p.tokens == 0 {
		p.first = now
	}
	p.last = now
	p.tokens++
}

// answered returns the figures of a whole answer.
func (p *pace) answered(m core.CallerRequest) Answered {
	a := Answered{Profile: m.Profile, Resumed: m.Resumed}
	if p.tokens > 0 {
		a.FirstToken = p.first.Sub(p.arrived)
	}
	if p.tokens > 1 {
		a.PerToken = p.last.Sub(p.first) / time.Duration(p.tokens-1)
	}
	return a
}
