package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/operator"
)

// upstreamListCommand lists the upstreams of all pools.
type upstreamListCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *upstreamListCommand) Execute([]string) error {
	answers, err := c.app.fetchStatuses()
	if err != nil {
		return err
	}
	return c.app.show(upstreams{combineUpstreams(answers)})
}

// combineUpstreams merges the upstreams that daemons report. The status of an
// upstream comes from its owner, which has its allocation table, or else from any
// daemon that reports it. The result is sorted by pool and ID.
func combineUpstreams(answers []operator.Answer[core.Status]) []core.UpstreamStatus {
	known := map[core.EngineID]core.UpstreamStatus{}
	for _, a := range answers {
		for _, u := range a.Value.Upstreams {
			if have, ok := known[u.Upstream.ID]; !ok || u.Owned && !have.Owned {
				known[u.Upstream.ID] = u
			}
		}
	}
	var out []core.UpstreamStatus
	for _, u := range known {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b core.UpstreamStatus) int {
		return cmp.Or(cmp.Compare(a.Upstream.Pool, b.Upstream.Pool), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return out
}

type upstreams struct{ Upstreams []core.UpstreamStatus }

func (l upstreams) print(w io.Writer) {
	var rows [][]string
	for _, u := range l.Upstreams {
		free, booked, requests := "-", "-", "-"
		if u.Owned {
			free = fmt.Sprintf("%d/%d", u.FreePieces, u.Pieces)
			booked, requests = fmt.Sprint(u.Booked), fmt.Sprint(u.Requests)
		}
		rows = append(rows, []string{
			string(u.Upstream.ID), string(u.Upstream.Pool), string(u.Upstream.Domain), u.Role.String(), orDash(string(u.Model)),
			upstreamState(u), orDash(string(u.Owner)), free, booked, requests, u.Upstream.Address,
		})
	}
	printTable(w, "UPSTREAM POOL DOMAIN ROLE MODEL STATE OWNER FREE-PIECES BOOKED REQUESTS ADDRESS", rows)
}

// upstreamState returns the state of an upstream for display. Plain services are
// not polled, so it is not known whether they are reachable.
func upstreamState(u core.UpstreamStatus) string {
	switch {
	case u.Withdrawn:
		return "withdrawn"
	case u.Upstream.Leaving:
		return "leaving"
	case u.Owned && !u.Reachable && u.Role != core.Plain:
		return "unreachable"
	case u.State == core.Draining:
		return "draining"
	default:
		return "serving"
	}
}
