package command

import (
	"crypto/rand"
	"errors"
	"maps"
	"os"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/profile"
)

// fileArgs holds the positional arguments of commands that read files.
type fileArgs struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// readFiles parses the documents of several files. If any is invalid it returns
// the faults of all files.
func readFiles(paths []string) ([]profile.Document, error) {
	var documents []profile.Document
	var faults profile.Faults
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &InvalidError{What: path, Problem: err.Error()}
		}
		found, err := profile.Parse(path, data)
		faults = appendFaults(faults, err)
		documents = append(documents, found...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return documents, nil
}

// appendFaults appends the faults in err, if there are any.
func appendFaults(faults profile.Faults, err error) profile.Faults {
	var more profile.Faults
	if errors.As(err, &more) {
		return append(faults, more...)
	}
	return faults
}

// checkProfiles validates the profiles among documents against the pools in force
// and the pools among the documents.
func checkProfiles(documents []profile.Document, inForce map[core.PoolID]core.Pool) error {
	pools := maps.Clone(inForce)
	for _, d := range documents {
		if d, ok := d.(profile.DocumentOfPool); ok {
			pools[d.Pool.ID] = d.Pool
		}
	}
	var faults profile.Faults
	for _, d := range documents {
		if d, ok := d.(profile.DocumentOfProfile); ok {
			faults = appendFaults(faults, profile.CheckDocumentPools(d, pools))
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// newRecord returns a publication of a document with a new random ID. Its base
// revision is not set; see withBase.
func newRecord(d profile.Document, operator string) core.Record {
	id := core.PublicationID(rand.Text())
	switch d := d.(type) {
	case profile.DocumentOfProfile:
		return core.ProfilePublished{Publication: id, Operator: operator, Profile: d.Profile, Source: d.Source}
	case profile.DocumentOfPool:
		return core.PoolPublished{Publication: id, Operator: operator, Pool: d.Pool, Source: d.Source}
	default:
		return core.Unreadable{}
	}
}

// withBase returns a copy of a publication with the base revision set.
func withBase(r core.Record, base core.Revision) core.Record {
	switch r := r.(type) {
	case core.ProfilePublished:
		r.Base = base
		return r
	case core.PoolPublished:
		r.Base = base
		return r
	default:
		return r
	}
}

// poolsFirst returns records with pools before profiles, so that a profile is
// never applied before the pools it names.
func poolsFirst(records []core.Record) []core.Record {
	var pools, profiles []core.Record
	for _, r := range records {
		if s, _ := configlog.SubjectOf(r); s.Kind == configlog.Pool {
			pools = append(pools, r)
			continue
		}
		profiles = append(profiles, r)
	}
	return append(pools, profiles...)
}
