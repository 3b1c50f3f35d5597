package configlog

import (
	"context"
	"fmt"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// Log is the configuration in the platform's log as of the last Sync. It is not
// safe for concurrent use.
type Log struct {
	Client *platformlog.Client

	folded       core.FoldedConfiguration
	publications []Publication
}

// GapError reports that the log no longer has some records and that no snapshot
// covers them.
type GapError struct {
	After core.Offset
	End   core.Offset
}

// Error describes the gap and what to do.
func (e *GapError) Error() string {
	return fmt.Sprintf("the log no longer has the records after offset %d and has no snapshot that covers them (the log ends at %d); "+
		"wait until a node has appended a snapshot", e.After, e.End)
}

// Sync reads the log to its end. It returns a GapError if records are missing
// that no snapshot covers.
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
				// The records between the offset that the snapshot covers and the
				// snapshot itself were skipped; read them next.
				next = l.folded.Offset()
				break
			}
		}
		if next >= read.End {
			return l.checkReached(read.End)
		}
		if next == cursor && len(read.Records) == 0 {
			return l.checkReached(read.End)
		}
		cursor = next
	}
}

// checkReached returns an error if the records up to end were not all applied.
func (l *Log) checkReached(end core.Offset) error {
	if l.folded.Offset() < end {
		return &GapError{After: l.folded.Offset(), End: end}
	}
	return nil
}

// apply applies one record. It reports whether the record was a snapshot that
// moved the offset, so that reading must continue from there.
func (l *Log) apply(r core.LogRecord) bool {
	if !l.folded.Apply(r) {
		return false
	}
	if l.folded.Offset() != r.Offset {
		return true
	}
	l.addPublication(r)
	return false
}

// addPublication adds a publication and its outcome to the history. It is called
// after the record was applied: if the publication was accepted, the entry of its
// subject has the offset of the record. A publication that is in the log twice,
// after a lost reply, keeps the outcome of its first copy.
func (l *Log) addPublication(r core.LogRecord) {
	p, ok := publicationOf(r)
	if !ok {
		return
	}
	if _, again := l.Find(p.ID); again {
		return
	}
	var at core.Offset
	p.Revision, at = l.revisionInForce(p.Subject)
	p.Accepted = at == r.Offset
	l.publications = append(l.publications, p)
}

// revisionInForce returns the revision in force for a subject and the offset of
// its record, or zeros.
func (l *Log) revisionInForce(s Subject) (core.Revision, core.Offset) {
	if s.Kind == Pool {
		e, _ := l.folded.Pool(core.PoolID(s.Name))
		return e.Revision, e.Offset
	}
	e, _ := l.folded.Profile(core.ProfileID(s.Name))
	return e.Revision, e.Offset
}

// Find returns the publication with the given ID.
func (l *Log) Find(id core.PublicationID) (Publication, bool) {
	for _, p := range l.publications {
		if p.ID == id {
			return p, true
		}
	}
	return Publication{}, false
}

// History returns the publications of a subject that the log still retains,
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

// Current returns the publication in force for a subject, rebuilt as a record,
// or nil if nothing is in force.
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

// Revision returns the revision in force for a subject, or zero.
func (l *Log) Revision(s Subject) core.Revision {
	revision, _ := l.revisionInForce(s)
	return revision
}

// Offset returns the offset up to which the log was read.
func (l *Log) Offset() core.Offset { return l.folded.Offset() }

// OffsetOf returns the offset of the publication in force for a subject, or zero.
func (l *Log) OffsetOf(s Subject) core.Offset {
	_, offset := l.revisionInForce(s)
	return offset
}

// Profiles returns the profiles in force, sorted by ID.
func (l *Log) Profiles() []core.ProfileEntry { return l.folded.Snapshot().Profiles }

// Pools returns the pools in force, sorted by ID.
func (l *Log) Pools() []core.PoolEntry { return l.folded.Snapshot().Pools }

// PoolsByID returns the pools in force, keyed by ID.
func (l *Log) PoolsByID() map[core.PoolID]core.Pool {
	out := map[core.PoolID]core.Pool{}
	for _, e := range l.Pools() {
		out[e.Pool.ID] = e.Pool
	}
	return out
}
