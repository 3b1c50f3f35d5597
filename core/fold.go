package core

import (
	"maps"
	"slices"
)

// maxRejected bounds the rejected publications that a FoldedConfiguration keeps.
const maxRejected = 64

// FoldedConfiguration is the configuration that results from applying the records of
// ConfigStream in order up to an offset. All readers apply them by the same
// rules, so two readers at the same offset have the same configuration. The
// zero value is the empty configuration before the first record.
type FoldedConfiguration struct {
	offset   Offset
	profiles map[ProfileID]ProfileEntry
	pools    map[PoolID]PoolEntry
	rejected []RejectedPublication
}

// Offset returns the offset up to which records are applied.
func (f *FoldedConfiguration) Offset() Offset { return f.offset }

// Profiles returns a copy of the profiles in force.
func (f *FoldedConfiguration) Profiles() map[ProfileID]ProfileEntry { return maps.Clone(f.profiles) }

// Pools returns a copy of the pools in force.
func (f *FoldedConfiguration) Pools() map[PoolID]PoolEntry { return maps.Clone(f.pools) }

// Profile returns a profile in force.
func (f *FoldedConfiguration) Profile(id ProfileID) (ProfileEntry, bool) {
	e, ok := f.profiles[id]
	return e, ok
}

// Pool returns a pool in force.
func (f *FoldedConfiguration) Pool(id PoolID) (PoolEntry, bool) {
	e, ok := f.pools[id]
	return e, ok
}

// Rejected returns the latest publications that were rejected because their
// base was not the current revision, oldest first.
func (f *FoldedConfiguration) Rejected() []RejectedPublication { return slices.Clone(f.rejected) }

// Apply applies the next record and reports whether the offset increased. It
// ignores a record at or below the offset. It also ignores a record that leaves
// a gap after the offset, unless it is a snapshot that closes the gap. Then
// Apply restores the snapshot, and the next record is the one after the
// snapshot's Through.
func (f *FoldedConfiguration) Apply(r LogRecord) bool {
	if r.Offset == f.offset+1 {
		f.offset = r.Offset
		f.fold(r)
		return true
	}
	s, ok := r.Record.(SnapshotTaken)
	return ok && r.Offset > f.offset && f.Restore(s)
}

// Restore replaces the configuration by a snapshot if the snapshot is of a
// higher offset, and reports whether it was. The rejected publications stay.
func (f *FoldedConfiguration) Restore(s SnapshotTaken) bool {
	if s.Through <= f.offset {
		return false
	}
	f.offset = s.Through
	f.profiles = make(map[ProfileID]ProfileEntry, len(s.Profiles))
	for _, e := range s.Profiles {
		f.profiles[e.Profile.ID] = e
	}
	f.pools = make(map[PoolID]PoolEntry, len(s.Pools))
	for _, e := range s.Pools {
		f.pools[e.Pool.ID] = e
	}
	return true
}

// Snapshot returns the configuration as a record, with entries sorted by id.
func (f *FoldedConfiguration) Snapshot() SnapshotTaken {
	s := SnapshotTaken{Through: f.offset}
	for _, id := range sortedKeys(f.profiles) {
		s.Profiles = append(s.Profiles, f.profiles[id])
	}
	for _, id := range sortedKeys(f.pools) {
		s.Pools = append(s.Pools, f.pools[id])
	}
	return s
}

func (f *FoldedConfiguration) fold(r LogRecord) {
	switch p := r.Record.(type) {
	case ProfilePublished:
		f.foldProfile(r.Offset, p)
	case PoolPublished:
		f.foldPool(r.Offset, p)
	}
}

func (f *FoldedConfiguration) foldProfile(offset Offset, p ProfilePublished) {
	current := f.profiles[p.Profile.ID]
	if current.Revision > 0 && current.Publication == p.Publication {
		return
	}
	if p.Base != current.Revision {
		f.reject(RejectedPublication{
			Publication: p.Publication, Offset: offset, Operator: p.Operator,
			Profile: p.Profile.ID, Base: p.Base, Current: current.Revision,
		})
		return
	}
	if f.profiles == nil {
		f.profiles = map[ProfileID]ProfileEntry{}
	}
	f.profiles[p.Profile.ID] = ProfileEntry{
		Profile: p.Profile, Revision: current.Revision + 1, Offset: offset,
		Publication: p.Publication, Operator: p.Operator, Source: p.Source,
	}
}

func (f *FoldedConfiguration) foldPool(offset Offset, p PoolPublished) {
	current := f.pools[p.Pool.ID]
	if current.Revision > 0 && current.Publication == p.Publication {
		return
	}
	if p.Base != current.Revision {
		f.reject(RejectedPublication{
			Publication: p.Publication, Offset: offset, Operator: p.Operator,
			Pool: p.Pool.ID, Base: p.Base, Current: current.Revision,
		})
		return
	}
	if f.pools == nil {
		f.pools = map[PoolID]PoolEntry{}
	}
	f.pools[p.Pool.ID] = PoolEntry{
		Pool: p.Pool, Revision: current.Revision + 1, Offset: offset,
		Publication: p.Publication, Operator: p.Operator, Source: p.Source,
	}
}

func (f *FoldedConfiguration) reject(r RejectedPublication) {
	if len(f.rejected) == maxRejected {
		f.rejected = f.rejected[1:]
	}
	f.rejected = append(f.rejected, r)
}
