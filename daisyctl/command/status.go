package command

import (
	"fmt"
	"io"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/operator"
)

// statusCommand shows the status of each daemon.
type statusCommand struct{ app *app }

// nodeStatus is one daemon's status, or the reason why it could not be read.
type nodeStatus struct {
	URL    string
	Error  string `json:",omitempty"`
	Status core.Status
}

type statuses struct{ Daemons []nodeStatus }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	answers, err := c.app.fetchStatuses()
	if err != nil {
		return err
	}
	var out statuses
	for _, a := range answers {
		s := nodeStatus{URL: a.URL, Status: a.Value}
		if a.Err != nil {
			s.Error = a.Err.Reason
		}
		out.Daemons = append(out.Daemons, s)
	}
	return c.app.show(out)
}

// fetchStatuses requests the status of all daemons. It returns an error if none
// answers.
func (a *app) fetchStatuses() ([]operator.Answer[core.Status], error) {
	fleet, err := a.fleet()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	answers := fleet.Statuses(ctx)
	return answers, requireAnswer(answers)
}

// requireAnswer returns a NoAnswerError if no daemon answered.
func requireAnswer[T any](answers []operator.Answer[T]) error {
	noAnswer := &NoAnswerError{}
	for _, a := range answers {
		if a.Err == nil {
			return nil
		}
		noAnswer.Reasons = append(noAnswer.Reasons, a.Err.Error())
	}
	return noAnswer
}

func (s statuses) print(w io.Writer) {
	var rows [][]string
	highest := s.highestOffset()
	for _, d := range s.Daemons {
		if d.Error != "" {
			printLine(w, "no answer from %s: %s", d.URL, d.Error)
			continue
		}
		rows = append(rows, nodeRow(d.Status, highest))
	}
	printTable(w, "NODE DOMAIN STATE OFFSET BEHIND CONFIG-AGE LOG REQUESTS OWNS CHECKS VIOLATIONS CALLERS", rows)
	s.printMembers(w)
	s.printRejected(w)
}

// highestOffset returns the highest configuration offset of all daemons.
func (s statuses) highestOffset() core.Offset {
	var highest core.Offset
	for _, d := range s.Daemons {
		highest = max(highest, d.Status.ConfigOffset)
	}
	return highest
}

func nodeRow(s core.Status, highest core.Offset) []string {
	state := "serving"
	switch {
	case s.Leaving:
		state = "leaving"
	case s.Node.Isolated:
		state = "isolated"
	}
	log := "unreachable"
	if s.LogReachable {
		log = "reachable"
	}
	return []string{
		string(s.Node.ID), string(s.Node.Domain), state, fmt.Sprint(s.ConfigOffset), fmt.Sprint(highest - s.ConfigOffset),
		formatDuration(s.ConfigAge), log, fmt.Sprint(s.Requests), fmt.Sprint(countOwned(s)), fmt.Sprint(total(s.Checks)),
		fmt.Sprint(total(s.Violations)), s.Node.CallerAddress,
	}
}

// countOwned returns the number of upstreams that the node owns.
func countOwned(s core.Status) int {
	n := 0
	for _, u := range s.Upstreams {
		if u.Owned {
			n++
		}
	}
	return n
}

func total(counts [9]uint64) uint64 {
	var sum uint64
	for _, n := range counts {
		sum += n
	}
	return sum
}

// printMembers writes, for each daemon, the members that it does not regard as
// alive.
func (s statuses) printMembers(w io.Writer) {
	for _, d := range s.Daemons {
		for _, m := range d.Status.Members {
			if m.Status != core.Alive {
				printLine(w, "%s believes %s in %s to be %s", d.Status.Node.ID, m.Node.ID, m.Node.Domain, m.Status)
			}
		}
	}
}

// printRejected writes the publications that were rejected because another was
// accepted first, as reported by the first daemon that answered.
func (s statuses) printRejected(w io.Writer) {
	for _, d := range s.Daemons {
		if d.Error != "" {
			continue
		}
		for _, r := range d.Status.Rejected {
			printLine(w, "rejected: %s%s by %s at offset %d, written against revision %d while %d was in force",
				r.Profile, r.Pool, orDash(r.Operator), r.Offset, r.Base, r.Current)
		}
		return
	}
}
