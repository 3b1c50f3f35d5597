package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/operator"
)

// upstreamList lists the upstreams.
type upstreamList struct{ app *app }

// Execute implements flags.Commander.
func (c *upstreamList) Execute([]string) error {
	answers, err := c.app.ask()
	if err != nil {
		return err
	}
	return c.app.show(upstreams{combine(answers)})
}

// combine takes each upstream from its owner, which has its books, or else
// from any daemon that knows of it.
func combine(answers []operator.Answer[core.Status]) []core.UpstreamStatus {
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
			string(u.Upstream.ID), string(u.Upstream.Pool), string(u.Upstream.Domain), u.Role.String(), dash(string(u.Model)),
			upstreamState(u), dash(string(u.Owner)), free, booked, requests, u.Upstream.Address,
		})
	}
	table(w, "UPSTREAM POOL DOMAIN ROLE MODEL STATE OWNER FREE-PIECES BOOKED REQUESTS ADDRESS", rows)
}

// upstreamState names the state of an upstream. Nobody polls plain services, so
// nothing is known of whether they can be reached.
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
