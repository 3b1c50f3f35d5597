package command

import (
	"context"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
)

// publishCommand publishes the documents of files.
type publishCommand struct {
	app    *app
	Base   *int64 `long:"base" value-name:"REVISION" description:"revision that the documents were written against; else the one in force"`
	NoWait bool   `long:"no-wait" description:"do not wait until the publication is in force"`
	Args   files  `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	documents, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	ctx, cancel := c.app.deadline()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	if err := checkAll(documents, log.PoolsByID()); err != nil {
		return err
	}
	settings, err := c.app.readSettings()
	if err != nil {
		return err
	}
	var records []core.Record
	for _, d := range documents {
		records = append(records, record(d, settings.Operator))
	}
	p := publication{app: c.app, log: log, base: c.Base, noWait: c.NoWait}
	return p.run(ctx, records)
}

// publication takes records from the operator to the nodes.
type publication struct {
	app    *app
	log    *configlog.Log
	base   *int64
	noWait bool
}

// run publishes what differs from what is in force, waits until it is in force
// and shows what happened.
func (p *publication) run(ctx context.Context, records []core.Record) error {
	var due []core.Record
	report := &publishReport{}
	for _, r := range records {
		subject, _ := configlog.SubjectOf(r)
		current := p.log.Current(subject)
		if p.base == nil && current != nil && len(configlog.Compare(current, r)) == 0 {
			report.unchanged(subject, p.log.Revision(subject), p.log.OffsetOf(subject))
			continue
		}
		due = append(due, onBase(r, p.baseOf(subject)))
	}
	if len(due) > 0 {
		publisher := configlog.Publisher{Log: p.log, Pause: publishPause}
		published, err := publisher.Publish(ctx, inOrder(due))
		if err != nil {
			return err
		}
		for _, own := range published {
			report.published(own, p.log.Current(own.Subject))
		}
	}
	return p.finish(ctx, report)
}

func (p *publication) baseOf(s configlog.Subject) core.Revision {
	if p.base != nil {
		return core.Revision(*p.base)
	}
	return p.log.Revision(s)
}

// finish waits until what was accepted is in force, and shows the report.
func (p *publication) finish(ctx context.Context, report *publishReport) error {
	if !p.noWait && report.highest > 0 {
		fleet, err := p.app.fleet()
		if err != nil {
			return err
		}
		rollout := fleet.Wait(ctx, report.highest, rolloutEvery)
		report.Rollout = &rollout
	}
	if err := p.app.show(report); err != nil {
		return err
	}
	return report.err()
}
