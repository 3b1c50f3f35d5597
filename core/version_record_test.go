package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

var (
	modelV1 = core.ServiceVersion{Service: "model", Version: "v1"}
	modelV2 = core.ServiceVersion{Service: "model", Version: "v2"}
)

// All nodes have died at once and started again. Nobody knows whether another version has
// served before, and all streams that callers resumed were rejected, though there was one
// version only.
func TestRecordedVersionsTellNodesThatHaveJustStarted(t *testing.T) {
	for name, c := range map[string]struct {
		recorded []core.ServiceVersion
		sure     bool
	}{
		"one version":          {[]core.ServiceVersion{modelV1, {Service: "other", Version: "v2"}}, true},
		"two versions":         {[]core.ServiceVersion{modelV1, modelV2}, false},
		"record without it":    {[]core.ServiceVersion{modelV2}, false},
		"record of no version": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newResumer(versionedEngines("v1", "v1"))
			h.deliver(core.VersionsRead{Versions: c.recorded})
			is.Equal(len(versionQueries(h.deliver(resuming(1, "first")))) == 0, c.sure)
		})
	}
}

// Readers record the versions that serve, again if that fails or the store may have lost them,
// and remove those that have not served for a while.
func TestReadersRecordVersions(t *testing.T) {
	is := is.New(t)
	h := readyAlone(versionedEngines("v1")...)
	recordings := func(d time.Duration) []core.RecordVersion { return commandsOf[core.RecordVersion](h.advance(d)) }
	is.Equal(recordings(2*time.Second), []core.RecordVersion{{ServiceVersion: modelV1}})
	h.deliver(core.VersionRecorded{RecordVersion: core.RecordVersion{ServiceVersion: modelV1}, Failed: true})
	is.Equal(recordings(2*time.Second), []core.RecordVersion{{ServiceVersion: modelV1}})
	h.deliver(core.VersionRecorded{RecordVersion: core.RecordVersion{ServiceVersion: modelV1}})
	is.Equal(len(recordings(2*time.Second)), 0)
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: versionedEngines("v2")})
	is.Equal(recordings(2*time.Second), []core.RecordVersion{{ServiceVersion: modelV2}})
	h.deliver(core.VersionRecorded{RecordVersion: core.RecordVersion{ServiceVersion: modelV2}})
	is.Equal(len(recordings(30*time.Second)), 0)
	is.Equal(recordings(40*time.Second), []core.RecordVersion{{ServiceVersion: modelV1, Gone: true}})
	h.deliver(core.StoreEraObserved{Era: 1}, core.StoreEraObserved{Era: 2})
	is.Equal(len(recordings(2*time.Second)), 1)
}
