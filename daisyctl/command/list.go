package command

import (
	"fmt"
	"io"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/profile"
)

// listCommand lists the profiles or pools in force.
type listCommand struct {
	app  *app
	kind configlog.Kind
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	if c.kind == configlog.Pool {
		return c.app.show(poolList{log.Pools()})
	}
	return c.app.show(profileList{log.Profiles()})
}

type profileList struct{ Profiles []core.ProfileEntry }

func (l profileList) print(w io.Writer) {
	var rows [][]string
	for _, e := range l.Profiles {
		p := e.Profile
		pools := pluralize(len(p.PrefillPools)+len(p.DecodePools)+len(p.ServicePools)-len(p.Withdrawn), "pool")
		rows = append(rows, []string{
			string(p.ID), p.Kind.String(), orDash(string(p.Model)), fmt.Sprint(e.Revision), fmt.Sprint(e.Offset),
			pools, formatDuration(p.FirstTokenTarget), formatDuration(p.PerTokenTarget), orDash(e.Operator),
		})
	}
	printTable(w, "PROFILE KIND MODEL REVISION OFFSET SERVES FIRST-TOKEN PER-TOKEN OPERATOR", rows)
}

type poolList struct{ Pools []core.PoolEntry }

func (l poolList) print(w io.Writer) {
	var rows [][]string
	for _, e := range l.Pools {
		p := e.Pool
		rows = append(rows, []string{
			string(p.ID), string(p.Team), p.Role.String(), orDash(string(p.Model)), fmt.Sprint(e.Revision), fmt.Sprint(e.Offset),
			yesNo(p.Borrowed), yesNo(p.Withdrawn), orDash(e.Operator),
		})
	}
	printTable(w, "POOL TEAM ROLE MODEL REVISION OFFSET BORROWED WITHDRAWN OPERATOR", rows)
}

// historyCommand shows the publications of one profile or pool.
type historyCommand struct {
	app  *app
	kind configlog.Kind
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	found := log.History(configlog.Subject{Kind: c.kind, Name: c.Args.Name})
	if len(found) == 0 {
		return &NotFoundError{What: kindName(c.kind), Name: c.Args.Name}
	}
	return c.app.show(history{found})
}

type history struct{ Publications []configlog.Publication }

func (h history) print(w io.Writer) {
	var rows [][]string
	for _, p := range h.Publications {
		outcome := fmt.Sprintf("revision %d", p.Revision)
		if !p.Accepted {
			outcome = fmt.Sprintf("conflict with revision %d", p.Revision)
		}
		rows = append(rows, []string{
			p.At.UTC().Format(time.RFC3339), fmt.Sprint(p.Offset), fmt.Sprint(p.Base), outcome, orDash(p.Operator), string(p.ID),
		})
	}
	printTable(w, "TIME OFFSET BASE OUTCOME OPERATOR PUBLICATION", rows)
}

// showCommand prints one profile or pool as a document.
type showCommand struct {
	app      *app
	kind     configlog.Kind
	Revision core.Revision `long:"revision" value-name:"REVISION" description:"an earlier revision; else the one in force"`
	Args     struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	subject := configlog.Subject{Kind: c.kind, Name: c.Args.Name}
	revision := c.Revision
	if revision == 0 {
		revision = log.Revision(subject)
	}
	r, err := revisionOf(log, subject, revision)
	if err != nil {
		return err
	}
	if r == nil {
		return &NotFoundError{What: kindName(c.kind), Name: c.Args.Name}
	}
	return c.app.show(document{Revision: revision, Record: r})
}

// document is one revision of a profile or pool.
type document struct {
	Revision core.Revision
	Record   core.Record
}

func (d document) print(w io.Writer) {
	text := configlog.Source(d.Record)
	if text == "" {
		text = documentText(d.Record)
	}
	printLine(w, "# revision %d", d.Revision)
	printLine(w, "%s", strings.TrimSuffix(text, "\n"))
}

// documentText returns a record as a YAML document.
func documentText(r core.Record) string {
	switch r := r.(type) {
	case core.ProfilePublished:
		return profile.Format(r.Profile)
	case core.PoolPublished:
		return profile.FormatPool(r.Pool)
	default:
		return ""
	}
}
