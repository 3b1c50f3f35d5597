package platformlog

import (
	"time"

	"daisyshed.dev/core"
)

// profile is the stored form of a [core.Profile]. The field names of this and
// the following types are keys of the JSON in the log.
type profile struct {
	ID               core.ProfileID
	Kind             profileKind
	Model            core.ModelID                `json:",omitempty"`
	PrefillPools     []core.PoolID               `json:",omitempty"`
	DecodePools      []core.PoolID               `json:",omitempty"`
	ServicePools     []core.PoolID               `json:",omitempty"`
	FirstTokenTarget Duration                    `json:",omitempty"`
	PerTokenTarget   Duration                    `json:",omitempty"`
	MaxWait          Duration                    `json:",omitempty"`
	Priority         int                         `json:",omitempty"`
	BorrowedShare    float64                     `json:",omitempty"`
	WasteWeight      float64                     `json:",omitempty"`
	Repeatable       bool                        `json:",omitempty"`
	Shares           map[core.CustomerID]float64 `json:",omitempty"`
	DefaultShare     float64                     `json:",omitempty"`
	MaxTokens        core.Tokens                 `json:",omitempty"`
	Withdrawn        []core.PoolID               `json:",omitempty"`
}

// pool is the stored form of a [core.Pool].
type pool struct {
	ID        core.PoolID
	Team      core.TeamID `json:",omitempty"`
	Role      role
	Model     core.ModelID `json:",omitempty"`
	Borrowed  bool         `json:",omitempty"`
	ReturnBy  Duration     `json:",omitempty"`
	Fenced    bool         `json:",omitempty"`
	Withdrawn bool         `json:",omitempty"`
}

// profilePublished is the stored form of a [core.ProfilePublished].
type profilePublished struct {
	Publication core.PublicationID
	Operator    string
	Base        core.Revision
	Profile     profile
	Source      string
}

// poolPublished is the stored form of a [core.PoolPublished].
type poolPublished struct {
	Publication core.PublicationID
	Operator    string
	Base        core.Revision
	Pool        pool
	Source      string
}

// snapshotTaken is the stored form of a [core.SnapshotTaken].
type snapshotTaken struct {
	Through  core.Offset
	Profiles []profileEntry `json:",omitempty"`
	Pools    []poolEntry    `json:",omitempty"`
}

// profileEntry is the stored form of a [core.ProfileEntry].
type profileEntry struct {
	Profile     profile
	Revision    core.Revision
	Offset      core.Offset
	Publication core.PublicationID
	Operator    string
	Source      string
}

// poolEntry is the stored form of a [core.PoolEntry].
type poolEntry struct {
	Pool        pool
	Revision    core.Revision
	Offset      core.Offset
	Publication core.PublicationID
	Operator    string
	Source      string
}

// keyResult is the stored form of a [core.KeyResult].
type keyResult struct {
	Key         core.IdempotencyKey
	Writer      core.NodeID
	Incarnation core.Incarnation
	Outcome     outcome
	Status      int    `json:",omitempty"`
	Body        []byte `json:",omitempty"`
}

// engineClaim is the stored form of a [core.EngineClaim].
type engineClaim struct {
	Engine      core.EngineID
	Holder      core.NodeID
	Incarnation core.Incarnation
	Lease       Duration
}

func fromProfile(p core.Profile) profile {
	return profile{
		ID:               p.ID,
		Kind:             profileKind(p.Kind),
		Model:            p.Model,
		PrefillPools:     p.PrefillPools,
		DecodePools:      p.DecodePools,
		ServicePools:     p.ServicePools,
		FirstTokenTarget: Duration(p.FirstTokenTarget),
		PerTokenTarget:   Duration(p.PerTokenTarget),
		MaxWait:          Duration(p.MaxWait),
		Priority:         p.Priority,
		BorrowedShare:    p.BorrowedShare,
		WasteWeight:      p.WasteWeight,
		Repeatable:       p.Repeatable,
		Shares:           p.Shares,
		DefaultShare:     p.DefaultShare,
		MaxTokens:        p.MaxTokens,
		Withdrawn:        p.Withdrawn,
	}
}

func (p profile) toCore() core.Profile {
	return core.Profile{
		ID:               p.ID,
		Kind:             core.ProfileKind(p.Kind),
		Model:            p.Model,
		PrefillPools:     p.PrefillPools,
		DecodePools:      p.DecodePools,
		ServicePools:     p.ServicePools,
		FirstTokenTarget: time.Duration(p.FirstTokenTarget),
		PerTokenTarget:   time.Duration(p.PerTokenTarget),
		MaxWait:          time.Duration(p.MaxWait),
		Priority:         p.Priority,
		BorrowedShare:    p.BorrowedShare,
		WasteWeight:      p.WasteWeight,
		Repeatable:       p.Repeatable,
		Shares:           p.Shares,
		DefaultShare:     p.DefaultShare,
		MaxTokens:        p.MaxTokens,
		Withdrawn:        p.Withdrawn,
	}
}

func fromPool(p core.Pool) pool {
	return pool{
		ID:        p.ID,
		Team:      p.Team,
		Role:      role(p.Role),
		Model:     p.Model,
		Borrowed:  p.Borrowed,
		ReturnBy:  Duration(p.ReturnBy),
		Fenced:    p.Fenced,
		Withdrawn: p.Withdrawn,
	}
}

func (p pool) toCore() core.Pool {
	return core.Pool{
		ID:        p.ID,
		Team:      p.Team,
		Role:      core.Role(p.Role),
		Model:     p.Model,
		Borrowed:  p.Borrowed,
		ReturnBy:  time.Duration(p.ReturnBy),
		Fenced:    p.Fenced,
		Withdrawn: p.Withdrawn,
	}
}

func fromSnapshot(s core.SnapshotTaken) snapshotTaken {
	out := snapshotTaken{Through: s.Through}
	for _, e := range s.Profiles {
		out.Profiles = append(out.Profiles, profileEntry{
			Profile:     fromProfile(e.Profile),
			Revision:    e.Revision,
			Offset:      e.Offset,
			Publication: e.Publication,
			Operator:    e.Operator,
			Source:      e.Source,
		})
	}
	for _, e := range s.Pools {
		out.Pools = append(out.Pools, poolEntry{
			Pool:        fromPool(e.Pool),
			Revision:    e.Revision,
			Offset:      e.Offset,
			Publication: e.Publication,
			Operator:    e.Operator,
			Source:      e.Source,
		})
	}
	return out
}

func (s snapshotTaken) toCore() core.SnapshotTaken {
	out := core.SnapshotTaken{Through: s.Through}
	for _, e := range s.Profiles {
		out.Profiles = append(out.Profiles, core.ProfileEntry{
			Profile:     e.Profile.toCore(),
			Revision:    e.Revision,
			Offset:      e.Offset,
			Publication: e.Publication,
			Operator:    e.Operator,
			Source:      e.Source,
		})
	}
	for _, e := range s.Pools {
		out.Pools = append(out.Pools, core.PoolEntry{
			Pool:        e.Pool.toCore(),
			Revision:    e.Revision,
			Offset:      e.Offset,
			Publication: e.Publication,
			Operator:    e.Operator,
			Source:      e.Source,
		})
	}
	return out
}
