package command

import (
	"io"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/daisyctl/operator"
	"daisyshed.dev/wire/profile"
)

// publishReport says what became of publications.
type publishReport struct {
	Publications []publishOutcome
	// Rollout is nil where there was nothing to wait for.
	Rollout *operator.Rollout
	// highest is the highest offset that is to come into force.
	highest core.Offset
}

// publishOutcome is what became of one document.
type publishOutcome struct {
	Kind        string
	Name        string
	Outcome     string
	Publication core.PublicationID
	Offset      core.Offset
	Base        core.Revision
	Revision    core.Revision
	// Winner is the operator whose publication won a conflict.
	Winner string
	// Changes lead from what won to what was wanted.
	Changes []profile.Change

	subject configlog.Subject
}

// The outcomes of a publication.
const (
	outcomeAccepted  = "Accepted"
	outcomeConflict  = "Conflict"
	outcomeUnchanged = "Unchanged"
)

// unchanged notes a document that equals what is in force.
func (r *publishReport) unchanged(s configlog.Subject, revision core.Revision, offset core.Offset) {
	r.Publications = append(r.Publications, publishOutcome{
		Kind: s.Kind.String(), Name: s.Name, Outcome: outcomeUnchanged, Offset: offset, Revision: revision, subject: s,
	})
	r.highest = max(r.highest, offset)
}

// published notes what became of a publication; current is what is in force.
func (r *publishReport) published(own configlog.Publication, current core.Record) {
	o := publishOutcome{
		Kind: own.Subject.Kind.String(), Name: own.Subject.Name, Outcome: outcomeAccepted,
		Publication: own.ID, Offset: own.Offset, Base: own.Base, Revision: own.Revision, subject: own.Subject,
	}
	if own.Accepted {
		r.highest = max(r.highest, own.Offset)
	} else {
		o.Outcome = outcomeConflict
		o.Changes = configlog.Compare(current, own.Record)
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

// err returns the error that decides the exit code.
func (r *publishReport) err() error {
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
	name := title(o.subject.Kind) + " " + o.Name
	switch o.Outcome {
	case outcomeAccepted:
		line(w, "%s: accepted as revision %d at offset %d (publication %s)", name, o.Revision, o.Offset, o.Publication)
	case outcomeUnchanged:
		line(w, "%s: nothing to publish, revision %d at offset %d is the same", name, o.Revision, o.Offset)
	case outcomeConflict:
		line(w, "%s: conflict, written against revision %d but revision %d by %s is in force", name, o.Base, o.Revision, dash(o.Winner))
		line(w, "from what won to what you wanted:")
		printChanges(w, o.Changes)
	}
}

func printRollout(w io.Writer, r operator.Rollout) {
	missing := r.Missing()
	line(w, "offset %d is in force on %d of %d live nodes", r.Offset, len(r.Nodes)-len(missing), len(r.Nodes))
	for _, n := range missing {
		line(w, "  not on %s in %s, which is at offset %d", n.Node, n.Domain, n.Offset)
	}
	for _, u := range r.Unreachable {
		line(w, "  no answer from %s: %s", u.URL, u.Reason)
	}
}
