// Package configlog reads the configuration from the platform's log and
// publishes to it, by the same rule by which the nodes fold it.
package configlog

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/profile"
)

// Kind tells publications of profiles from those of pools.
type Kind int

//go:generate stringer -type=Kind -output=kind_string.go

// The kinds of publication.
const (
	// Profile publications replace a profile.
	Profile Kind = iota
	// Pool publications replace a pool.
	Pool
)

// Subject names what a publication replaces.
type Subject struct {
	Kind Kind
	Name string
}

// Publication is one publication in the log and what became of it.
type Publication struct {
	Subject  Subject
	ID       core.PublicationID
	Offset   core.Offset
	At       time.Time
	Operator string
	Base     core.Revision
	Accepted bool
	// Revision is the one that an accepted publication made, or the one that
	// was in force when another was rejected.
	Revision core.Revision
	// Record is the record itself.
	Record core.Record
}

// SubjectOf returns what a record replaces, and false for records that are no
// publications.
func SubjectOf(r core.Record) (Subject, bool) {
	switch r := r.(type) {
	case core.ProfilePublished:
		return Subject{Profile, string(r.Profile.ID)}, true
	case core.PoolPublished:
		return Subject{Pool, string(r.Pool.ID)}, true
	default:
		return Subject{}, false
	}
}

// Compare lists the fields in which two records of one subject differ. A
// record that is nil stands for nothing in force.
func Compare(from, to core.Record) []profile.Change {
	switch to := to.(type) {
	case core.ProfilePublished:
		before, _ := from.(core.ProfilePublished)
		return profile.Diff(before.Profile, to.Profile)
	case core.PoolPublished:
		before, _ := from.(core.PoolPublished)
		return profile.DiffPool(before.Pool, to.Pool)
	default:
		return nil
	}
}

// Source returns the text that the operator wrote.
func Source(r core.Record) string {
	switch r := r.(type) {
	case core.ProfilePublished:
		return r.Source
	case core.PoolPublished:
		return r.Source
	default:
		return ""
	}
}

func idOf(r core.Record) core.PublicationID {
	switch r := r.(type) {
	case core.ProfilePublished:
		return r.Publication
	case core.PoolPublished:
		return r.Publication
	default:
		return ""
	}
}

// describe returns the publication in a log record, without its outcome.
func describe(r core.LogRecord) (Publication, bool) {
	subject, ok := SubjectOf(r.Record)
	if !ok {
		return Publication{}, false
	}
	p := Publication{Subject: subject, Offset: r.Offset, At: time.Unix(0, r.At), Record: r.Record}
	switch r := r.Record.(type) {
	case core.ProfilePublished:
		p.ID, p.Operator, p.Base = r.Publication, r.Operator, r.Base
	case core.PoolPublished:
		p.ID, p.Operator, p.Base = r.Publication, r.Operator, r.Base
	}
	return p, true
}
