package command

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode"

	"daisyshed.dev/core/statecheck"
	"daisyshed.dev/platform"
)

const (
	// maxStateBytes bounds the file of a desired state that is read.
	maxStateBytes = 64 << 20
	// bytesPerMB converts the memory of a machine as the platform states it.
	bytesPerMB = 1e6
	// standardInput stands for standard input in place of a file.
	standardInput = "-"
)

// stateCheckCommand checks a desired state of a hosted deployment, and compares it with the one in
// force. It asks neither the store nor the nodes.
type stateCheckCommand struct {
	app            *app
	Against        string  `long:"against" value-name:"FILE" description:"the version in force, to show what differs from it"`
	Nodes          int     `long:"nodes" value-name:"N" description:"number of nodes, to check limits of connections"`
	MemoryMB       float64 `long:"memory-mb" value-name:"MB" description:"memory of the smallest node, to check the limit of bodies"`
	LargestRequest int     `long:"largest-request" value-name:"TOKENS" description:"largest request that is to be served, to check caps; else what the smallest engine can hold"`
	Strict         bool    `long:"strict" description:"take warnings for errors in the exit code"`
	Args           struct {
		File string `positional-arg-name:"FILE" description:"the desired state as JSON; - or none for standard input"`
	} `positional-args:"yes"`
}

// stateFinding is a finding for people and programs.
type stateFinding struct {
	Severity string
	statePlace
	Text string
}

// stateChange is a difference for people and programs.
type stateChange struct {
	statePlace
	From, To string `json:",omitempty"`
	Text     string
}

// statePlace says where in a state something was found.
type statePlace struct {
	// Part is state, route, service or tenant. Row counts from zero; it is absent for the state and for
	// several parts.
	Part  string
	Row   *int   `json:",omitempty"`
	Name  string `json:",omitempty"`
	Field string `json:",omitempty"`
}

// stateReport is what is wrong with a state, and what differs from the one in force.
type stateReport struct {
	File     string
	Against  string `json:",omitempty"`
	Errors   int
	Warnings int
	Findings []stateFinding
	Changes  []stateChange
}

func (r stateReport) print(w io.Writer) {
	for _, f := range r.Findings {
		printLine(w, "%-8s %s: %s", f.Severity, f.statePlace, visible(f.Text))
	}
	for _, c := range r.Changes {
		printLine(w, "%-8s %s: %s", "change", c.statePlace, visible(c.Text))
	}
	summary := fmt.Sprintf("%s, %s", pluralize(r.Errors, "error"), pluralize(r.Warnings, "warning"))
	if r.Against != "" {
		summary += fmt.Sprintf(", %s from %s", pluralize(len(r.Changes), "change"), r.Against)
	}
	printLine(w, "%s: %s", r.File, summary)
}

// String returns the place in words.
func (p statePlace) String() string {
	out := p.Part
	switch {
	case p.Name != "":
		out += " " + printable(p.Name)
	case p.Part == partName(statecheck.Whole):
	case p.Row == nil:
		out += "s"
	default:
		out += fmt.Sprintf(" in row %d", *p.Row)
	}
	if p.Field != "" {
		out += ", " + p.Field
	}
	return out
}

// printable returns a name, quoted if a terminal might not show it as it is.
func printable(name string) string {
	if quoted := strconv.Quote(name); quoted != `"`+name+`"` || strings.TrimSpace(name) != name {
		return quoted
	}
	return name
}

// visible returns a sentence without characters that a terminal may act on.
func visible(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, text)
}

// newStatePlace returns a place. A negative row stands for several rows.
func newStatePlace(part statecheck.Part, row int, name, field string) statePlace {
	p := statePlace{Part: partName(part), Name: name, Field: field}
	if row >= 0 && part != statecheck.Whole {
		p.Row = &row
	}
	return p
}

// partName returns a part in lower case, as used in messages.
func partName(p statecheck.Part) string {
	if p == statecheck.Whole {
		return "state"
	}
	return strings.ToLower(strings.TrimSuffix(p.String(), "Part"))
}

// Execute implements flags.Commander.
func (c *stateCheckCommand) Execute([]string) error {
	if c.Nodes < 0 || c.MemoryMB < 0 || c.LargestRequest < 0 {
		return &InvalidError{What: "--nodes, --memory-mb and --largest-request", Problem: "must not be below zero"}
	}
	report := stateReport{File: label(c.Args.File), Against: c.Against, Findings: []stateFinding{}, Changes: []stateChange{}}
	state, err := readState(c.Args.File)
	if err != nil {
		return err
	}
	found := state.Check(statecheck.Deployment{
		Nodes: c.Nodes, MemoryBytes: int64(c.MemoryMB * bytesPerMB), LargestRequest: c.LargestRequest,
	})
	if c.Against != "" {
		changes, wrong, err := compareWithFile(state, c.Against)
		if err != nil {
			return err
		}
		found = append(found, wrong...)
		for _, x := range changes {
			report.Changes = append(report.Changes, stateChange{newStatePlace(x.Part, x.Row, x.Name, x.Field), x.From, x.To, x.Text})
		}
	}
	report.add(found)
	if err := c.app.show(report); err != nil {
		return err
	}
	if report.Errors > 0 || c.Strict && report.Warnings > 0 {
		return &InvalidError{What: report.File, Problem: fmt.Sprintf("%s, %s", pluralize(report.Errors, "error"), pluralize(report.Warnings, "warning"))}
	}
	return nil
}

// add adds findings, errors first.
func (r *stateReport) add(found []platform.StateFinding) {
	for _, severity := range []statecheck.Severity{statecheck.Error, statecheck.Warning} {
		for _, f := range found {
			if f.Severity == severity {
				r.Findings = append(r.Findings, stateFinding{strings.ToLower(severity.String()), newStatePlace(f.Part, f.Row, f.Name, f.Field), f.Text})
			}
		}
	}
	for _, f := range r.Findings {
		if f.Severity == strings.ToLower(statecheck.Error.String()) {
			r.Errors++
			continue
		}
		r.Warnings++
	}
}

// compareWithFile compares a state with the one in force, which nodes must be able to decode.
func compareWithFile(state *platform.CheckedState, file string) ([]platform.StateChange, []platform.StateFinding, error) {
	before, err := readState(file)
	if err != nil {
		return nil, nil, err
	}
	if before.Rejected {
		return nil, nil, &InvalidError{What: file, Problem: "cannot be in force, as nodes reject it; check it by itself"}
	}
	changes, wrong := state.Compare(before)
	return changes, wrong, nil
}

// readState reads a desired state from a file, or from standard input.
func readState(file string) (*platform.CheckedState, error) {
	in := os.Stdin
	if label(file) == file {
		f, err := os.Open(file)
		if err != nil {
			return nil, &InvalidError{What: file, Problem: err.Error()}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	value, err := io.ReadAll(io.LimitReader(in, maxStateBytes+1))
	if err != nil {
		return nil, &InvalidError{What: label(file), Problem: err.Error()}
	}
	if len(value) > maxStateBytes {
		return nil, &InvalidError{What: label(file), Problem: fmt.Sprintf("has over %d bytes", maxStateBytes)}
	}
	state, err := platform.ReadStateForCheck(value)
	if err != nil {
		return nil, &InvalidError{What: label(file), Problem: err.Error()}
	}
	return state, nil
}

// label names a file in reports.
func label(file string) string {
	if file == "" || file == standardInput {
		return "standard input"
	}
	return file
}
