package store_test

import (
	"context"
	"testing"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// A node that starts reads the versions that others have recorded.
func TestRecordedVersionsAreReadAtTheStart(t *testing.T) {
	is := is.New(t)
	_, w, messages := newWatcher(t)
	v1, v2 := core.ServiceVersion{Service: "s", Version: "v1"}, core.ServiceVersion{Service: "s", Version: "v2"}
	for _, c := range []core.RecordVersion{{ServiceVersion: v1}, {ServiceVersion: v2}, {ServiceVersion: v1, Gone: true}} {
		w.RecordVersion(c)
		m := nextMessage[core.VersionRecorded](t, messages)
		is.Equal(m, core.VersionRecorded{RecordVersion: c})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	is.Equal(nextMessage[core.VersionsRead](t, messages).Versions, []core.ServiceVersion{v2})
}
