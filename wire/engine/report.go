package engine

import (
	"fmt"

	"daisyshed.dev/core"
)

// UnknownWordError says that a report names a state or role that the protocol
// does not know.
type UnknownWordError struct {
	Field string
	Word  string
}

// Error names the field and the unknown word.
func (e *UnknownWordError) Error() string { return "engine report: unknown " + e.Field + " " + e.Word }

// RangeError says that a number in a report is out of its range.
type RangeError struct {
	Field string
	Value int
}

// Error names the field and its value.
func (e *RangeError) Error() string {
	return fmt.Sprintf("engine report: %s %d is out of range", e.Field, e.Value)
}

// ToCore converts the report to the message that the core handles. It returns a
// [*UnknownWordError] or [*RangeError] for an invalid report.
func (r Report) ToCore(id core.EngineID) (core.EngineReport, error) {
	state, err := parseState(r.State)
	if err != nil {
		return core.EngineReport{}, err
	}
	role, err := parseRole(r.Role)
	if err != nil {
		return core.EngineReport{}, err
	}
	if err := r.validate(); err != nil {
		return core.EngineReport{}, err
	}
	m := core.EngineReport{
		Engine:        id,
		State:         state,
		Role:          role,
		Model:         r.Model,
		Pieces:        r.Pieces,
		FreePieces:    r.FreePieces,
		Queued:        r.Queued,
		Running:       r.Running,
		Fencing:       r.Fencing,
		EventsFrom:    r.EventsFrom,
		EventsThrough: r.EventsThrough,
	}
	for _, h := range r.Held {
		m.Held = append(m.Held, core.Held{
			Allocation: core.Allocation(h.Allocation), Tokens: h.Tokens, Emitted: h.Emitted, Finished: h.Finished,
		})
	}
	for _, e := range r.Events {
		m.Events = append(m.Events, core.CacheEvent(e))
	}
	return m, nil
}

func (r Report) validate() error {
	switch {
	case r.Pieces < 0:
		return &RangeError{Field: "Pieces", Value: r.Pieces}
	case r.FreePieces < 0, r.FreePieces > r.Pieces:
		return &RangeError{Field: "FreePieces", Value: r.FreePieces}
	case r.Queued < 0:
		return &RangeError{Field: "Queued", Value: int(r.Queued)}
	case r.Running < 0:
		return &RangeError{Field: "Running", Value: r.Running}
	}
	return nil
}

func parseState(name string) (core.EngineState, error) {
	for _, s := range []core.EngineState{core.Serving, core.Draining} {
		if s.String() == name {
			return s, nil
		}
	}
	return 0, &UnknownWordError{Field: "state", Word: name}
}

func parseRole(name string) (core.Role, error) {
	for _, r := range []core.Role{core.Prefill, core.Decode} {
		if r.String() == name {
			return r, nil
		}
	}
	return 0, &UnknownWordError{Field: "role", Word: name}
}
