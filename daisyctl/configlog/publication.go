// Package configlog reads the configuration from the platform's log and appends
// publications to it. It applies records by the same rule as the nodes.
package configlog

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/profile"
)

// Kind distinguishes publications of profiles from those of pools.
type Kind int

//go:generate stringer -type=Kind -output=kind_string.go

// Kinds of publication.
const (
	// Profile publications replace a profile.
	Profile Kind = iota
	// Pool publications replace a pool.
	Pool
)

// Subject identifies the profile or pool that a publication replaces.
type Subject struct {
	Kind Kind
	Name string
}

// Publication is one publication in the log and its outcome.
type Publication struct {
	Subject  Subject
	ID       core.PublicationID
	Offset   core.Offset
	At       time.Time
	Operator string
	Base     core.Revision
	Accepted bool
	// Revision is the revision that this publication created if it was
	// accepted, or the revision that was in force when it was rejected.
	Revision core.Revision
	// Record is the record as read from the log.
	Record core.Record
}

// SubjectOf returns the profile or pool that a record replaces, and false for
// records that are not publications.
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

// Compare lists the fields in which two records of one subject differ. A nil
// from means that nothing was in force.
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

// Source returns the text of the document that the operator published.
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

func publicationIDOf(r core.Record) core.PublicationID {
	switch r := r.(type) {
	case core.ProfilePublished:
		return r.Publication
	case core.PoolPublished:
		return r.Publication
	default:
		return ""
	}
}

// publicationOf returns the publication in a log record, without its outcome,
// and false for records that are not publications.
func publicationOf(r core.LogRecord) (Publication, bool) {
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
