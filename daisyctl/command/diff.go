package command

import (
	"fmt"
	"io"
	"os"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/profile"
)

// diffCommand compares a file or an earlier revision with what is in force.
type diffCommand struct {
	app  *app
	kind configlog.Kind
	From core.Revision `long:"from" value-name:"REVISION" description:"for a name: the revision to compare from; else the one before the last"`
	Args struct {
		Target string `positional-arg-name:"FILE|NAME"`
	} `positional-args:"yes" required:"yes"`
}

// difference is the comparison of two versions of one profile or pool.
type difference struct {
	Kind    string
	Name    string
	From    string
	To      string
	Changes []profile.Change
}

type differences struct{ Differences []difference }

func (d differences) print(w io.Writer) {
	for _, x := range d.Differences {
		if len(x.Changes) == 0 {
			printLine(w, "%s %s: no difference between %s and %s", x.Kind, x.Name, x.From, x.To)
			continue
		}
		printLine(w, "%s %s, from %s to %s:", x.Kind, x.Name, x.From, x.To)
		printChanges(w, x.Changes)
	}
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	if _, err := os.Stat(c.Args.Target); err == nil {
		return c.compareFile(log)
	}
	return c.compareRevisions(log, configlog.Subject{Kind: c.kind, Name: c.Args.Target})
}

// compareFile compares the documents of a file with what is in force.
func (c *diffCommand) compareFile(log *configlog.Log) error {
	documents, err := readFiles([]string{c.Args.Target})
	if err != nil {
		return err
	}
	var out differences
	for _, d := range documents {
		r := newRecord(d, "")
		subject, _ := configlog.SubjectOf(r)
		out.Differences = append(out.Differences, difference{
			Kind: kindName(subject.Kind), Name: subject.Name, From: revisionName(log.Revision(subject)), To: c.Args.Target,
			Changes: configlog.Compare(log.Current(subject), r),
		})
	}
	return c.app.show(out)
}

// compareRevisions compares an earlier revision with the one in force.
func (c *diffCommand) compareRevisions(log *configlog.Log, s configlog.Subject) error {
	current := log.Current(s)
	if current == nil {
		return &NotFoundError{What: kindName(s.Kind), Name: s.Name}
	}
	from := c.From
	if from == 0 {
		from = log.Revision(s) - 1
	}
	before, err := revisionOf(log, s, from)
	if err != nil {
		return err
	}
	return c.app.show(differences{[]difference{{
		Kind: kindName(s.Kind), Name: s.Name, From: revisionName(from), To: revisionName(log.Revision(s)),
		Changes: configlog.Compare(before, current),
	}}})
}

// revisionOf returns the record of a revision. It returns nil for revision zero,
// which means that nothing was in force.
func revisionOf(log *configlog.Log, s configlog.Subject, revision core.Revision) (core.Record, error) {
	if revision == 0 {
		return nil, nil
	}
	if revision == log.Revision(s) {
		return log.Current(s), nil
	}
	for _, p := range log.History(s) {
		if p.Accepted && p.Revision == revision {
			return p.Record, nil
		}
	}
	return nil, &NotFoundError{What: kindName(s.Kind), Name: fmt.Sprintf("%s at revision %d among the records that the log still retains", s.Name, revision)}
}

func revisionName(r core.Revision) string {
	if r == 0 {
		return "nothing"
	}
	return fmt.Sprintf("revision %d", r)
}
