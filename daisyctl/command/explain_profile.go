package command

import (
	"fmt"
	"io"
	"slices"

	"daisyshed.dev/core"
)

// hypotheticalRequest predicts, from the configuration and the owners' allocation
// tables, whether a request could be placed now. It reserves nothing and ignores
// queueing and latency targets, which a real request is subject to.
type hypotheticalRequest struct {
	Profile core.ProfileID
	Tokens  core.Tokens
	Pieces  int
	// Answer says whether the request could be placed now.
	Answer    string
	Upstreams []upstreamAnswer
}

// upstreamAnswer says whether one upstream could serve the request. Rejected is
// empty if it could.
type upstreamAnswer struct {
	Upstream core.EngineID
	Pool     core.PoolID
	Role     string
	Rejected string `json:",omitempty"`
}

func (c *explainCommand) explainHypothetical() error {
	answers, err := c.app.fetchStatuses()
	if err != nil {
		return err
	}
	out := hypotheticalRequest{Profile: c.Profile, Tokens: c.Tokens, Pieces: c.Tokens.Pieces()}
	var newest core.Status
	for _, a := range answers {
		if a.Err == nil && a.Value.ConfigOffset >= newest.ConfigOffset {
			newest = a.Value
		}
	}
	i := slices.IndexFunc(newest.Profiles, func(e core.ProfileEntry) bool { return e.Profile.ID == c.Profile })
	if i < 0 {
		return &NotFoundError{What: "profile in force named", Name: string(c.Profile)}
	}
	out.checkUpstreams(newest.Profiles[i].Profile, newest.Pools, combineUpstreams(answers))
	return c.app.show(out)
}

// checkUpstreams checks each upstream of the profile's pools and sets Upstreams
// and Answer.
func (h *hypotheticalRequest) checkUpstreams(p core.Profile, pools []core.PoolEntry, all []core.UpstreamStatus) {
	withdrawn := map[core.PoolID]bool{}
	for _, e := range pools {
		withdrawn[e.Pool.ID] = e.Pool.Withdrawn || slices.Contains(p.Withdrawn, e.Pool.ID)
	}
	answer := ""
	for _, group := range []struct {
		role  core.Role
		pools []core.PoolID
	}{{core.Prefill, p.PrefillPools}, {core.Decode, p.DecodePools}, {core.Plain, p.ServicePools}} {
		eligible := 0
		for _, u := range all {
			if !slices.Contains(group.pools, u.Upstream.Pool) {
				continue
			}
			a := upstreamAnswer{Upstream: u.Upstream.ID, Pool: u.Upstream.Pool, Role: group.role.String()}
			a.Rejected = h.rejection(u, p.Model, group.role, withdrawn[u.Upstream.Pool])
			if a.Rejected == "" {
				eligible++
			}
			h.Upstreams = append(h.Upstreams, a)
		}
		if len(group.pools) > 0 && eligible == 0 {
			answer = fmt.Sprintf("would be refused now: no %s upstream could serve it", group.role)
		}
	}
	if answer == "" {
		answer = "could be placed now"
	}
	h.Answer = answer
}

// rejection returns why an upstream could not serve the request, or an empty
// string if it could. The role, model and free memory of an engine are checked
// only if its owner answered.
func (h *hypotheticalRequest) rejection(u core.UpstreamStatus, model core.ModelID, role core.Role, withdrawn bool) string {
	switch {
	case withdrawn:
		return "its pool is withdrawn"
	case upstreamState(u) != "serving":
		return "it is " + upstreamState(u)
	case !u.Owned:
		return ""
	case role == core.Plain:
		return ""
	case u.Role != role:
		return "its role is " + u.Role.String()
	case u.Model != model:
		return "its model is " + string(u.Model)
	case role == core.Decode && u.Pieces-u.Booked < h.Pieces:
		return fmt.Sprintf("it has %d of %d pieces left, %d are needed", u.Pieces-u.Booked, u.Pieces, h.Pieces)
	default:
		return ""
	}
}

func (h hypotheticalRequest) print(w io.Writer) {
	printLine(w, "a request of %s with %s (%s) %s", h.Profile, pluralize(int(h.Tokens), "token"), pluralize(h.Pieces, "piece"), h.Answer)
	var rows [][]string
	for _, u := range h.Upstreams {
		verdict := "could serve"
		if u.Rejected != "" {
			verdict = u.Rejected
		}
		rows = append(rows, []string{string(u.Upstream), string(u.Pool), u.Role, verdict})
	}
	printTable(w, "UPSTREAM POOL ROLE VERDICT", rows)
}
