package operator

import (
	"daisyshed.dev/core"
	"github.com/rs/zerolog"
)

// LogDecision logs a decision as one line and adds it to Decisions, where operators
// can look it up.
func (s *Server) LogDecision(d core.Decision) {
	s.Decisions.Add(d)
	s.Log.Info().
		Str("Event", "Decision").
		Str("Step", d.Step).
		Str("Request", string(d.Request)).
		Uint32("Attempt", uint32(d.Attempt)).
		Str("Profile", string(d.Profile)).
		Str("Customer", string(d.Customer)).
		Int("Rank", d.Rank).
		Str("Prefill", string(d.Prefill)).
		Str("Decode", string(d.Decode)).
		Str("Reason", d.Reason.String()).
		Str("Cause", d.Cause.String()).
		Array("Candidates", candidates(d.Candidates)).
		Dur("PredictedMs", d.Predicted).
		Dur("ActualMs", d.Actual).
		Dur("RetryAfterMs", d.RetryAfter).
		Dur("WaitedMs", d.Waited).
		Int("Tokens", int(d.Tokens)).
		Dur("SlackMs", d.Slack).
		Str("Detail", d.Detail).
		Int("Expected", int(d.Expected)).
		Int("Output", int(d.Output)).
		Int64("Version", d.Version).
		Send()
}

// LogViolation logs the violation of an invariant as one line.
func (s *Server) LogViolation(v core.Violation) {
	s.Log.Error().
		Str("Event", "Violation").
		Str("Promise", v.Promise.String()).
		Str("Detail", v.Detail).
		Send()
}

// candidates are the engines that a decision considered, in a form that zerolog can
// log.
type candidates []core.Candidate

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (c candidates) MarshalZerologArray(a *zerolog.Array) {
	for _, engine := range c {
		a.Object(candidate(engine))
	}
}

// candidate is one engine that a decision considered.
type candidate core.Candidate

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c candidate) MarshalZerologObject(e *zerolog.Event) {
	e.Str("Engine", string(c.Engine)).Dur("PredictedMs", c.Predicted).Str("Rejected", c.Rejected)
}
