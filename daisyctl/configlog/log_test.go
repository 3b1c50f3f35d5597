package configlog_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/platformlog"
	"github.com/matryer/is"
)

// readOnlyLog is a log server that has retained the records from offset first on
// and returns at most readLimit of them per read.
type readOnlyLog struct {
	first   core.Offset
	records []core.Record
}

const readLimit = 2

func (l *readOnlyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	answer := platformlog.ReadResult{First: l.first, End: l.first + core.Offset(len(l.records)) - 1, RetentionNanos: 1}
	for i, record := range l.records {
		offset := l.first + core.Offset(i)
		if offset <= core.Offset(after) || len(answer.Entries) == readLimit {
			continue
		}
		data, err := platformlog.Encode(record)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		answer.Entries = append(answer.Entries, platformlog.Entry{Offset: offset, At: int64(offset), Data: data})
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func openLog(t *testing.T, first core.Offset, records ...core.Record) (*configlog.Log, error) {
	t.Helper()
	s := httptest.NewServer(&readOnlyLog{first: first, records: records})
	t.Cleanup(s.Close)
	l := &configlog.Log{Client: &platformlog.Client{Base: s.URL, HTTP: s.Client()}}
	return l, l.Sync(t.Context())
}

var subject = configlog.Subject{Kind: configlog.Pool, Name: "a"}

// poolPublished returns a publication of the pool "a". The team identifies the
// publication in assertions.
func poolPublished(id core.PublicationID, base core.Revision, team core.TeamID) core.PoolPublished {
	return core.PoolPublished{
		Publication: id, Operator: "ann", Base: base,
		Pool: core.Pool{ID: "a", Team: team, Role: core.Plain},
	}
}

// snapshotTaken returns a snapshot of the configuration up to an offset that has
// the pool "a" at a revision.
func snapshotTaken(through core.Offset, revision core.Revision, team core.TeamID) core.SnapshotTaken {
	return core.SnapshotTaken{Through: through, Pools: []core.PoolEntry{{
		Pool: core.Pool{ID: "a", Team: team, Role: core.Plain}, Revision: revision, Offset: through, Publication: "old",
	}}}
}

func TestFoldsFromTheFirstRecord(t *testing.T) {
	is := is.New(t)
	l, err := openLog(t, 1, poolPublished("p1", 0, "t1"), poolPublished("p2", 1, "t2"), poolPublished("p3", 1, "t3"), poolPublished("p2", 1, "t2"), poolPublished("p4", 2, "t4"))
	is.NoErr(err)
	is.Equal(l.Offset(), core.Offset(5))
	is.Equal(l.Revision(subject), core.Revision(3))
	is.Equal(l.Current(subject).(core.PoolPublished).Pool.Team, core.TeamID("t4"))
	history := l.History(subject)
	is.Equal(len(history), 4) // the second copy of p2 counts once
	is.True(!history[2].Accepted)
	is.Equal(history[2].Revision, core.Revision(2))
}

func TestStartsFromASnapshotWhereRecordsAreGone(t *testing.T) {
	is := is.New(t)
	l, err := openLog(t, 7,
		poolPublished("p7", 6, "unknown base, before the snapshot's end"), poolPublished("p8", 4, "t5"), snapshotTaken(7, 4, "t4"), poolPublished("p10", 5, "t6"))
	is.NoErr(err)
	is.Equal(l.Offset(), core.Offset(10))
	is.Equal(l.Revision(subject), core.Revision(6))
	is.Equal(l.Current(subject).(core.PoolPublished).Pool.Team, core.TeamID("t6"))
	history := l.History(subject)
	is.Equal(len(history), 2) // p8 and p10; records up to the snapshot's offset have no known outcome
	is.True(history[0].Accepted && history[1].Accepted)
}

func TestSnapshotRecordFarAfterItsOffset(t *testing.T) {
	is := is.New(t)
	l, err := openLog(t, 20, poolPublished("p20", 9, "t"), poolPublished("p21", 9, "t"), poolPublished("p22", 9, "t"), poolPublished("p23", 4, "t5"), snapshotTaken(22, 4, "t4"))
	is.NoErr(err)
	is.Equal(l.Offset(), core.Offset(24))
	is.Equal(l.Revision(subject), core.Revision(5))
}

func TestGapWithoutASnapshot(t *testing.T) {
	is := is.New(t)
	_, err := openLog(t, 7, poolPublished("p7", 0, "t"), poolPublished("p8", 1, "t"))
	var gap *configlog.GapError
	is.True(errors.As(err, &gap))
	is.Equal(*gap, configlog.GapError{After: 0, End: 8})
}

func TestSnapshotBeforeTheGapDoesNotCloseIt(t *testing.T) {
	is := is.New(t)
	_, err := openLog(t, 7, poolPublished("p7", 0, "t"), snapshotTaken(4, 2, "t2"), poolPublished("p9", 2, "t"))
	var gap *configlog.GapError
	is.True(errors.As(err, &gap))
	is.Equal(*gap, configlog.GapError{After: 4, End: 9})
}

func TestEmptyLog(t *testing.T) {
	is := is.New(t)
	l, err := openLog(t, 1)
	is.NoErr(err)
	is.Equal(l.Offset(), core.Offset(0))
	is.Equal(l.Current(subject), nil)
}
