package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"daisyshed.dev/core"
)

// explainCommand shows why a request was placed or rejected.
type explainCommand struct {
	app     *app
	Profile core.ProfileID `long:"profile" value-name:"NAME" description:"explain a hypothetical request of this profile"`
	Tokens  core.Tokens    `long:"tokens" value-name:"N" description:"prompt and expected output of the hypothetical request" default:"1000"`
	Args    struct {
		Request string `positional-arg-name:"REQUEST"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	switch {
	case c.Profile != "" && c.Args.Request != "":
		return &InvalidError{What: "explain", Problem: "takes a REQUEST or --profile, not both"}
	case c.Profile != "":
		return c.explainHypothetical()
	case c.Args.Request != "":
		return c.explainRequest()
	default:
		return &InvalidError{What: "explain", Problem: "needs a REQUEST or --profile"}
	}
}

// explainRequest shows the decisions that the daemons recorded on a request.
func (c *explainCommand) explainRequest() error {
	fleet, err := c.app.fleet()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	answers := fleet.Decisions(ctx, c.Args.Request)
	if err := requireAnswer(answers); err != nil {
		return err
	}
	var out decisions
	for _, a := range answers {
		out.Decisions = append(out.Decisions, a.Value...)
		if a.Err != nil {
			out.Unreachable = append(out.Unreachable, a.URL)
		}
	}
	if len(out.Decisions) == 0 {
		return &NotFoundError{What: "decision on the request", Name: c.Args.Request}
	}
	// Sort by attempt, not by time: timestamps of different nodes are not
	// comparable because of clock skew.
	slices.SortStableFunc(out.Decisions, func(a, b core.Decision) int {
		return cmp.Or(cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(stepOrder(a.Step), stepOrder(b.Step)))
	})
	return c.app.show(out)
}

// stepOrder sorts the finish step of an attempt after its other decisions.
func stepOrder(step string) int {
	if step == "finish" {
		return 1
	}
	return 0
}

type decisions struct {
	Decisions []core.Decision
	// Unreachable lists the URLs of daemons that did not answer.
	Unreachable []string `json:",omitempty"`
}

func (d decisions) print(w io.Writer) {
	for _, x := range d.Decisions {
		printDecision(w, x)
	}
	for _, url := range d.Unreachable {
		printLine(w, "the decisions of %s are missing: it did not answer", url)
	}
}

func printDecision(w io.Writer, d core.Decision) {
	printLine(w, "%s %s, attempt %d on %s", d.Step, d.Request, d.Attempt, d.Node)
	detail(w, "profile", string(d.Profile))
	detail(w, "customer", string(d.Customer))
	detail(w, "prefill", string(d.Prefill))
	detail(w, "decode", string(d.Decode))
	if d.Reason != core.NoReason {
		detail(w, "refused", d.Reason.String())
	}
	if d.Cause != core.NoCause {
		detail(w, "cause", fmt.Sprintf("%s, rank %d", d.Cause, d.Rank))
	}
	detailDuration(w, "waited", d.Waited)
	detailDuration(w, "first token predicted", d.Predicted)
	detailDuration(w, "first token measured", d.Actual)
	detailDuration(w, "retry after", d.RetryAfter)
	if d.Tokens > 0 {
		detail(w, "tokens", fmt.Sprint(d.Tokens))
	}
	for _, c := range d.Candidates {
		detail(w, "candidate", fmt.Sprintf("%s, predicted %s, %s", c.Engine, formatDuration(c.Predicted), candidateOutcome(d, c)))
	}
}

func candidateOutcome(d core.Decision, c core.Candidate) string {
	switch {
	case c.Engine == d.Prefill || c.Engine == d.Decode:
		return "chosen"
	case c.Rejected == "":
		return "passed over"
	default:
		return "passed over: " + c.Rejected
	}
}

func detail(w io.Writer, name, value string) {
	if value != "" {
		printLine(w, "  %s: %s", name, value)
	}
}

func detailDuration(w io.Writer, name string, d time.Duration) {
	if d > 0 {
		detail(w, name, formatDuration(d))
	}
}
