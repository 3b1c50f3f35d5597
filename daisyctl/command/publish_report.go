package command

import (
	"io"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/daisyctl/operator"
	"daisyshed.dev/wire/profile"
)

// publishReport lists the outcomes of publications and their rollout.
type publishReport struct {
	Publications []publishOutcome
	// Rollout is nil if there was nothing to wait for.
	Rollout *operator.Rollout
	// highest is the offset that must come into force: the highest one among
	// accepted and unchanged documents.
	highest core.Offset
}

// publishOutcome is the outcome of publishing one document.
type publishOutcome struct {
	Kind        string
	Name        string
	Outcome     string
	Publication core.PublicationID
	Offset      core.Offset
	Base        core.Revision
	Revision    core.Revision
	// Winner is the operator whose publication is in force after a conflict.
	Winner string
	// Changes lists the fields in which the rejected publication differs from
	// the one in force.
	Changes []profile.Change

	subject configlog.Subject
}

// Outcomes of a publication.
const (
	outcomeAccepted  = "Accepted"
	outcomeConflict  = "Conflict"
	outcomeUnchanged = "Unchanged"
)

// addUnchanged adds a document that equals what is in force.
func (r *publishReport) addUnchanged(s configlog.Subject, revision core.Revision, offset core.Offset) {
	r.Publications = append(r.Publications, publishOutcome{
		Kind: s.Kind.String(), Name: s.Name, Outcome: outcomeUnchanged, Offset: offset, Revision: revision, subject: s,
	})
	r.highest = max(r.highest, offset)
}

// addPublished adds the outcome of a publication. current is the record in force.
func (r *publishReport) addPublished(p configlog.Publication, current core.Record) {
	o := publishOutcome{
		Kind: p.Subject.Kind.String(), Name: p.Subject.Name, Outcome: outcomeAccepted,
		Publication: p.ID, Offset: p.Offset, Base: p.Base, Revision: p.Revision, subject: p.Subject,
	}
	if p.Accepted {
		r.highest = max(r.highest, p.Offset)
	} else {
		o.Outcome = outcomeConflict
		o.Changes = configlog.Compare(current, p.Record)
		o.Winner = operatorOf(current)
	}
	r.Publications = append(r.Publications, o)
}

func operatorOf(r core.Record) string {
	switch r := r.(type) {
	case core.ProfilePublished:
		return r.Operator
	case core.PoolPublished:
		return r.Operator
	default:
		return ""
	}
}

// exitError returns the error that determines the exit code, or nil.
func (r *publishReport) exitError() error {
	conflict := &ConflictError{}
	for _, o := range r.Publications {
		if o.Outcome == outcomeConflict {
			conflict.Subjects = append(conflict.Subjects, o.subject)
		}
	}
	if len(conflict.Subjects) > 0 {
		return conflict
	}
	if r.Rollout != nil && !r.Rollout.Complete() {
		live := len(r.Rollout.Nodes)
		return &NotInForceError{InForce: live - len(r.Rollout.Missing()), Live: live}
	}
	return nil
}

func (r *publishReport) print(w io.Writer) {
	for _, o := range r.Publications {
		o.print(w)
	}
	if r.Rollout != nil {
		printRollout(w, *r.Rollout)
	}
}

func (o publishOutcome) print(w io.Writer) {
	name := kindName(o.subject.Kind) + " " + o.Name
	switch o.Outcome {
	case outcomeAccepted:
		printLine(w, "%s: accepted as revision %d at offset %d (publication %s)", name, o.Revision, o.Offset, o.Publication)
	case outcomeUnchanged:
		printLine(w, "%s: nothing to publish, revision %d at offset %d is the same", name, o.Revision, o.Offset)
	case outcomeConflict:
		printLine(w, "%s: conflict, written against revision %d but revision %d by %s is in force", name, o.Base, o.Revision, orDash(o.Winner))
		printLine(w, "changes from the revision in force to yours:")
		printChanges(w, o.Changes)
	}
}

func printRollout(w io.Writer, r operator.Rollout) {
	missing := r.Missing()
	printLine(w, "offset %d is in force on %d of %d live nodes", r.Offset, len(r.Nodes)-len(missing), len(r.Nodes))
	for _, n := range missing {
		printLine(w, "  not on %s in %s, which is at offset %d", n.Node, n.Domain, n.Offset)
	}
	for _, u := range r.Unreachable {
		printLine(w, "  no answer from %s: %s", u.URL, u.Reason)
	}
}
