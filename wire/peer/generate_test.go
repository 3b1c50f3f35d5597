package peer_test

import (
	"time"

	"daisyshed.dev/core"
	"pgregory.net/rapid"
)

func text[T ~string](t *rapid.T, name string) T {
	return T(rapid.StringMatching(`[a-z0-9.:-]{0,12}`).Draw(t, name))
}

func tokens(t *rapid.T, name string) core.Tokens {
	return core.Tokens(rapid.IntRange(0, 1<<20).Draw(t, name))
}

func duration(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Int64().Draw(t, name))
}

func offset(t *rapid.T, name string) core.Offset {
	return core.Offset(rapid.Int64Min(0).Draw(t, name))
}

func era(t *rapid.T, name string) core.StoreEra {
	return core.StoreEra(rapid.Int64Min(0).Draw(t, name))
}

// list draws a slice. An empty one is nil, as the decoder returns it.
func list[T any](t *rapid.T, name string, draw func(t *rapid.T) T) []T {
	items := rapid.SliceOfN(rapid.Custom(draw), 0, 4).Draw(t, name)
	if len(items) == 0 {
		return nil
	}
	return items
}

func enum[E ~int](t *rapid.T, name string, last E) E {
	return E(rapid.IntRange(0, int(last)).Draw(t, name))
}

func nodeInfo(t *rapid.T) core.NodeInfo {
	return core.NodeInfo{
		ID:            text[core.NodeID](t, "id"),
		Domain:        text[core.DomainID](t, "domain"),
		Region:        text[core.RegionID](t, "region"),
		PeerAddress:   text[string](t, "peer"),
		CallerAddress: text[string](t, "caller"),
		Leaving:       rapid.Bool().Draw(t, "leaving"),
	}
}

func upstream(t *rapid.T) core.Upstream {
	return core.Upstream{
		ID:      text[core.EngineID](t, "id"),
		Pool:    text[core.PoolID](t, "pool"),
		Domain:  text[core.DomainID](t, "domain"),
		Region:  text[core.RegionID](t, "region"),
		Address: text[string](t, "address"),
		Leaving: rapid.Bool().Draw(t, "leaving"),
	}
}

func allocation(t *rapid.T) core.Allocation {
	return core.Allocation{
		Request:     text[core.RequestID](t, "request"),
		Attempt:     core.Attempt(rapid.Uint32().Draw(t, "attempt")),
		Holder:      text[core.NodeID](t, "holder"),
		Incarnation: core.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
	}
}

func memberUpdate(t *rapid.T) core.MemberUpdate {
	return core.MemberUpdate{
		Node:        nodeInfo(t),
		Incarnation: core.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		Status:      enum(t, "status", core.Left),
		Sequence:    rapid.Uint64().Draw(t, "sequence"),
	}
}

func logRecord(t *rapid.T) core.LogRecord {
	return core.LogRecord{
		Offset: offset(t, "offset"),
		At:     rapid.Int64().Draw(t, "at"),
		Record: core.ProfilePublished{
			Publication: text[core.PublicationID](t, "publication"),
			Operator:    text[string](t, "operator"),
			Base:        core.Revision(rapid.Int64Min(0).Draw(t, "base")),
			Profile:     core.Profile{ID: text[core.ProfileID](t, "profile"), Priority: rapid.Int().Draw(t, "priority")},
			Source:      text[string](t, "source"),
		},
	}
}

func configAnswer(t *rapid.T) core.PeerBody {
	answer := core.ConfigAnswer{
		After:   offset(t, "after"),
		Records: list(t, "records", logRecord),
		Through: offset(t, "through"),
	}
	if rapid.Bool().Draw(t, "snapshot") {
		answer.Snapshot = core.Some(core.SnapshotTaken{Through: offset(t, "snapshot through")})
	}
	return answer
}

func streamKey(t *rapid.T) core.StreamKey { return core.StreamKey(rapid.Uint64().Draw(t, "stream")) }

// version draws a version, an empty one among them, or none.
func version(t *rapid.T) core.Option[core.SoftwareVersion] {
	if rapid.Bool().Draw(t, "bound") {
		return core.Some(text[core.SoftwareVersion](t, "version"))
	}
	return core.None[core.SoftwareVersion]()
}
