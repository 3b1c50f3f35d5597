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

// files are the positional arguments of commands on files.
type files struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// readFiles reads the documents of several files, or reports all their faults.
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

func appendFaults(faults profile.Faults, err error) profile.Faults {
	var more profile.Faults
	if errors.As(err, &more) {
		return append(faults, more...)
	}
	return faults
}

// checkAll checks the profiles among documents against the pools in force and
// those among the documents.
func checkAll(documents []profile.Document, inForce map[core.PoolID]core.Pool) error {
	pools := maps.Clone(inForce)
	for _, d := range documents {
		if d, ok := d.(profile.OnePool); ok {
			pools[d.Pool.ID] = d.Pool
		}
	}
	var faults profile.Faults
	for _, d := range documents {
		if d, ok := d.(profile.OneProfile); ok {
			faults = appendFaults(faults, profile.CheckDocument(d, pools))
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// record returns a document as a publication on a base that is still to be
// set. Each has an id of its own.
func record(d profile.Document, operator string) core.Record {
	id := core.PublicationID(rand.Text())
	switch d := d.(type) {
	case profile.OneProfile:
		return core.ProfilePublished{Publication: id, Operator: operator, Profile: d.Profile, Source: d.Source}
	case profile.OnePool:
		return core.PoolPublished{Publication: id, Operator: operator, Pool: d.Pool, Source: d.Source}
	default:
		return core.Unreadable{}
	}
}

// onBase returns a publication with its base set.
func onBase(r core.Record, base core.Revision) core.Record {
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

// inOrder returns records with pools first, so that a profile never comes
// before its pools.
func inOrder(records []core.Record) []core.Record {
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
