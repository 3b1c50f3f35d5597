package operator_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/operator"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestLatestDecisionsAreKeptInOrder(t *testing.T) {
	is := is.New(t)
	d := operator.NewDecisions(3)
	is.Equal(len(d.ForRequest("")), 0)
	for i := range 5 {
		d.Add(core.Decision{Request: "r~1", Attempt: core.Attempt(i)})
	}
	got := d.ForRequest("r")
	is.Equal(len(got), 3)
	for i, decision := range got {
		is.Equal(decision.Attempt, core.Attempt(i+2))
	}
	is.Equal(len(d.ForRequest("r~1")), 3)
	is.Equal(len(d.ForRequest("other")), 0)
}

func TestDecisionIsLoggedAsOneLine(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	s := &operator.Server{Log: zerolog.New(&lines), Decisions: operator.NewDecisions(1)}
	s.LogDecision(core.Decision{
		Request:    "r~1",
		Step:       "place",
		Prefill:    "p1",
		Reason:     core.NoReason,
		Candidates: []core.Candidate{{Engine: "p1"}, {Engine: "p2", Rejected: "slower"}},
	})
	is.Equal(bytes.Count(lines.Bytes(), []byte("\n")), 1)
	var line struct {
		Event, Step, Request, Prefill, Reason string
		Candidates                            []struct{ Engine, Rejected string }
	}
	is.NoErr(json.Unmarshal(lines.Bytes(), &line))
	is.Equal(line.Event, "Decision")
	is.Equal(line.Request, "r~1")
	is.Equal(line.Candidates[1].Rejected, "slower")
}
