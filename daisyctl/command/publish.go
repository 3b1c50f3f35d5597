package command

import (
	"context"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
)

// publishCommand publishes the documents in files.
type publishCommand struct {
	app    *app
	Base   *int64   `long:"base" value-name:"REVISION" description:"revision that the documents were written against; else the one in force"`
	NoWait bool     `long:"no-wait" description:"do not wait until the publication is in force"`
	Args   fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	documents, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	if err := checkProfiles(documents, log.PoolsByID()); err != nil {
		return err
	}
	settings, err := c.app.readSettings()
	if err != nil {
		return err
	}
	var records []core.Record
	for _, d := range documents {
		records = append(records, newRecord(d, settings.Operator))
	}
	p := publishOperation{app: c.app, log: log, base: c.Base, noWait: c.NoWait}
	return p.run(ctx, records)
}

// publishOperation publishes records and waits until they are in force.
type publishOperation struct {
	app    *app
	log    *configlog.Log
	base   *int64
	noWait bool
}

// run publishes the records that differ from what is in force, waits until they
// are in force and shows the outcome. With an explicit base it publishes all
// records.
func (p *publishOperation) run(ctx context.Context, records []core.Record) error {
	var toPublish []core.Record
	report := &publishReport{}
	for _, r := range records {
		subject, _ := configlog.SubjectOf(r)
		current := p.log.Current(subject)
		if p.base == nil && current != nil && len(configlog.Compare(current, r)) == 0 {
			report.addUnchanged(subject, p.log.Revision(subject), p.log.OffsetOf(subject))
			continue
		}
		toPublish = append(toPublish, withBase(r, p.baseOf(subject)))
	}
	if len(toPublish) > 0 {
		publisher := configlog.Publisher{Log: p.log, RetryInterval: publishRetryInterval}
		published, err := publisher.Publish(ctx, poolsFirst(toPublish))
		if err != nil {
			return err
		}
		for _, result := range published {
			report.addPublished(result, p.log.Current(result.Subject))
		}
	}
	return p.finish(ctx, report)
}

// baseOf returns the base revision given with --base, or the one in force.
func (p *publishOperation) baseOf(s configlog.Subject) core.Revision {
	if p.base != nil {
		return core.Revision(*p.base)
	}
	return p.log.Revision(s)
}

// finish waits until the highest offset of the report is in force, unless waiting
// is turned off, and shows the report.
func (p *publishOperation) finish(ctx context.Context, report *publishReport) error {
	if !p.noWait && report.highest > 0 {
		fleet, err := p.app.fleet()
		if err != nil {
			return err
		}
		rollout := fleet.Wait(ctx, report.highest, rolloutPollInterval)
		report.Rollout = &rollout
	}
	if err := p.app.show(report); err != nil {
		return err
	}
	return report.exitError()
}
