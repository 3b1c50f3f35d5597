package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/operator"
)

// watchCommand polls the daemons and prints changes until it is stopped.
type watchCommand struct {
	app   *app
	Every time.Duration `long:"every" value-name:"TIME" default:"1s" description:"time between two looks"`
	For   time.Duration `long:"for" value-name:"TIME" description:"stop after this time; else at Ctrl-C"`
}

// change is a change of one fact. From is empty for a new fact, To for one that is
// no longer reported.
type change struct {
	Fact string
	From string
	To   string
}

func (c change) print(w io.Writer) {
	printLine(w, "%s: %s -> %s", c.Fact, orDash(c.From), orDash(c.To))
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	if c.Every <= 0 {
		return &InvalidError{What: "--every", Problem: "must be positive"}
	}
	fleet, err := c.app.fleet()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.ctx, func() {}
	if c.For > 0 {
		ctx, cancel = context.WithTimeout(c.app.ctx, c.For)
	}
	defer cancel()
	first := fleet.Statuses(ctx)
	if err := requireAnswer(first); err != nil {
		return err
	}
	return c.printChangesUntilDone(ctx, fleet, facts(first))
}

// printChangesUntilDone polls the daemons and shows what changed since the last
// poll, until ctx ends.
func (c *watchCommand) printChangesUntilDone(ctx context.Context, fleet *operator.Fleet, before map[string]string) error {
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		after := facts(fleet.Statuses(ctx))
		if ctx.Err() != nil {
			return nil
		}
		for _, x := range changes(before, after) {
			if err := c.app.show(x); err != nil {
				return err
			}
		}
		before = after
	}
}

// changes returns the facts that differ, sorted by name.
func changes(before, after map[string]string) []change {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			out = append(out, change{Fact: name, From: before[name], To: after[name]})
		}
	}
	return out
}

// facts returns the values of the statuses that watch reports changes of, keyed by
// name.
func facts(answers []operator.Answer[core.Status]) map[string]string {
	out := map[string]string{}
	for _, a := range answers {
		if a.Err != nil {
			out["daemon "+a.URL] = "no answer"
			continue
		}
		out["daemon "+a.URL] = "answers"
		nodeFacts(out, a.Value)
	}
	for _, u := range combineUpstreams(answers) {
		out["upstream "+string(u.Upstream.ID)] = upstreamState(u) + ", owner " + orDash(string(u.Owner))
	}
	return out
}

// nodeFacts adds the facts from the status of one node to out.
func nodeFacts(out map[string]string, s core.Status) {
	node := "node " + string(s.Node.ID) + " "
	out[node+"offset"] = fmt.Sprint(s.ConfigOffset)
	out[node+"log reachable"] = yesNo(s.LogReachable)
	out[node+"leaving"] = yesNo(s.Leaving)
	out[node+"isolated"] = yesNo(s.Node.Isolated)
	out[node+"violations"] = fmt.Sprint(total(s.Violations))
	for _, m := range s.Members {
		out[node+"believes "+string(m.Node.ID)] = m.Status.String()
	}
	for _, p := range s.Profiles {
		out[node+"profile "+string(p.Profile.ID)] = fmt.Sprintf("revision %d", p.Revision)
	}
	for _, p := range s.Pools {
		out[node+"pool "+string(p.Pool.ID)] = fmt.Sprintf("revision %d", p.Revision)
	}
}
