package configlog

import (
	"context"
	"fmt"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// Log is the configuration as the platform's log holds it, as far as the last
// Sync read it. It is not safe for concurrent use.
type Log struct {
	Client *platformlog.Client

	folded       core.FoldedConfiguration
	publications []Publication
}

// GapError says that the log has dropped records that no snapshot covers.
type GapError struct {
	After core.Offset
	End   core.Offset
}

// Error names the gap.
func (e *GapError) Error() string {
	return fmt.Sprintf("the log has dropped records after offset %d and holds no snapshot that replaces them, up to its end at %d; "+
		"wait until a node has appended a snapshot", e.After, e.End)
}

// Sync reads the log to its end.
func (l *Log) Sync(ctx context.Context) error {
	cursor := l.folded.Offset()
	for {
		read, err := l.Client.Read(ctx, core.ConfigStream, cursor)
		if err != nil {
			return err
		}
		next := max(cursor, read.First-1)
		for _, r := range read.Records {
			next = r.Offset
			if l.apply(r) {
				// A snapshot is followed by records that were passed over.
				next = l.folded.Offset()
				break
			}
		}
		if next >= read.End {
			return l.complete(read.End)
		}
		if next == cursor && len(read.Records) == 0 {
			return l.complete(read.End)
		}
		cursor = next
	}
}

func (l *Log) complete(end core.Offset) error {
	if l.folded.Offset() < end {
		return &GapError{After: l.folded.Offset(), End: end}
	}
	return nil
}

// apply folds one record and reports whether the offset moved to that of a
// snapshot.
func (l *Log) apply(r core.LogRecord) bool {
	if !l.folded.Apply(r) {
		return false
	}
	if l.folded.Offset() != r.Offset {
		return true
	}
	l.note(r)
	return false
}

// note remembers a publication and what became of it. Folding leaves the
// offset of the record at its subject if it was accepted. A publication that
// is in the log twice, after a lost reply, counts as it did at first.
func (l *Log) note(r core.LogRecord) {
	p, ok := describe(r)
	if !ok {
		return
	}
	if _, again := l.Find(p.ID); again {
		return
	}
	var at core.Offset
	p.Revision, at = l.inForce(p.Subject)
	p.Accepted = at == r.Offset
	l.publications = append(l.publications, p)
}

func (l *Log) inForce(s Subject) (core.Revision, core.Offset) {
	if s.Kind == Pool {
		e, _ := l.folded.Pool(core.PoolID(s.Name))
		return e.Revision, e.Offset
	}
	e, _ := l.folded.Profile(core.ProfileID(s.Name))
	return e.Revision, e.Offset
}

// Find returns the publication with an id.
func (l *Log) Find(id core.PublicationID) (Publication, bool) {
	for _, p := range l.publications {
		if p.ID == id {
			return p, true
		}
	}
	return Publication{}, false
}

// History returns the publications of a subject that the log still keeps,
// oldest first.
func (l *Log) History(s Subject) []Publication {
	var out []Publication
	for _, p := range l.publications {
		if p.Subject == s {
			out = append(out, p)
		}
	}
	return out
}

// Current returns what is in force for a subject, as the record that put it
// there, or nil.
func (l *Log) Current(s Subject) core.Record {
	if s.Kind == Pool {
		e, ok := l.folded.Pool(core.PoolID(s.Name))
		if !ok {
			return nil
		}
		return core.PoolPublished{Publication: e.Publication, Operator: e.Operator, Base: e.Revision - 1, Pool: e.Pool, Source: e.Source}
	}
	e, ok := l.folded.Profile(core.ProfileID(s.Name))
	if !ok {
		return nil
	}
	return core.ProfilePublished{Publication: e.Publication, Operator: e.Operator, Base: e.Revision - 1, Profile: e.Profile, Source: e.Source}
}

// Revision returns the revision in force, or zero.
func (l *Log) Revision(s Subject) core.Revision {
	revision, _ := l.inForce(s)
	return revision
}

// Offset returns the offset up to which the log was read.
func (l *Log) Offset() core.Offset { return l.folded.Offset() }

// OffsetOf returns the offset that put a subject in force.
func (l *Log) OffsetOf(s Subject) core.Offset {
	_, offset := l.inForce(s)
	return offset
}

// Profiles returns the profiles in force, sorted by id.
func (l *Log) Profiles() []core.ProfileEntry { return l.folded.Snapshot().Profiles }

// Pools returns the pools in force, sorted by id.
func (l *Log) Pools() []core.PoolEntry { return l.folded.Snapshot().Pools }

// PoolsByID returns the pools in force by their ids.
func (l *Log) PoolsByID() map[core.PoolID]core.Pool {
	out := map[core.PoolID]core.Pool{}
	for _, e := range l.Pools() {
		out[e.Pool.ID] = e.Pool
	}
	return out
}
