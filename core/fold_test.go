package core_test

import (
	"fmt"
	"testing"

	"daisyshed.dev/core"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func published(id core.ProfileID, publication core.PublicationID, base core.Revision) core.Record {
	return core.ProfilePublished{
		Publication: publication, Base: base,
		Profile: core.Profile{ID: id, Priority: int(base)},
	}
}

func TestFoldRejectsOldBase(t *testing.T) {
	is := is.New(t)
	var f core.FoldedConfiguration
	f.Apply(core.LogRecord{Offset: 1, Record: published("bill-summary", "a", 0)})
	f.Apply(core.LogRecord{Offset: 2, Record: published("bill-summary", "b", 0)})
	f.Apply(core.LogRecord{Offset: 3, Record: core.Unreadable{Reason: "newer format"}})
	e, ok := f.Profile("bill-summary")
	is.True(ok)
	is.Equal(e.Publication, core.PublicationID("a"))
	is.Equal(e.Revision, core.Revision(1))
	is.Equal(f.Offset(), core.Offset(3))
	is.Equal(len(f.Rejected()), 1)
	is.Equal(f.Rejected()[0].Publication, core.PublicationID("b"))
	is.Equal(f.Rejected()[0].Current, core.Revision(1))
}

func TestFoldAppliesPublicationOnce(t *testing.T) {
	is := is.New(t)
	var f core.FoldedConfiguration
	f.Apply(core.LogRecord{Offset: 1, Record: published("bill-summary", "a", 0)})
	f.Apply(core.LogRecord{Offset: 2, Record: published("bill-summary", "a", 0)})
	e, _ := f.Profile("bill-summary")
	is.Equal(e.Revision, core.Revision(1))
	is.Equal(len(f.Rejected()), 0)
}

func TestFoldNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var f core.FoldedConfiguration
	first := core.LogRecord{Offset: 1, Record: published("bill-summary", "a", 0)}
	f.Apply(first)
	f.Apply(core.LogRecord{Offset: 2, Record: published("bill-summary", "b", 1)})
	is.True(!f.Apply(first))
	is.True(!f.Restore(core.SnapshotTaken{Through: 1}))
	is.True(!f.Apply(core.LogRecord{Offset: 4, Record: published("bill-summary", "c", 2)}))
	e, _ := f.Profile("bill-summary")
	is.Equal(e.Publication, core.PublicationID("b"))
	is.Equal(f.Offset(), core.Offset(2))
}

// A reader that starts from a snapshot must reach the same configuration as one
// that read all records, wherever the snapshot was taken.
func TestFoldFromSnapshotEqualsFoldFromStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawPublications(t)
		var whole core.FoldedConfiguration
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		for _, r := range records[:cut] {
			whole.Apply(r)
		}
		var late core.FoldedConfiguration
		late.Restore(whole.Snapshot())
		for _, r := range records {
			late.Apply(r)
		}
		for _, r := range records[cut:] {
			whole.Apply(r)
		}
		is := is.New(t)
		is.Equal(late.Snapshot(), whole.Snapshot())
		is.Equal(whole.Offset(), core.Offset(len(records)))
	})
}

func drawPublications(t *rapid.T) []core.LogRecord {
	count := rapid.IntRange(1, 40).Draw(t, "count")
	records := make([]core.LogRecord, 0, count)
	for i := range count {
		id := core.ProfileID(fmt.Sprintf("profile-%d", rapid.IntRange(0, 2).Draw(t, "profile")))
		publication := core.PublicationID(fmt.Sprintf("p%d", rapid.IntRange(0, 20).Draw(t, "publication")))
		base := core.Revision(rapid.IntRange(0, 4).Draw(t, "base"))
		records = append(records, core.LogRecord{Offset: core.Offset(i + 1), Record: published(id, publication, base)})
	}
	return records
}
