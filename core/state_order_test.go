package core_test

import (
	"testing"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// An older state arrives from a peer after the latest one. It lowered the limit on bodies,
// so that proper requests got 413.
func TestOlderStateFromAPeerChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	latest := worldState()
	latest.Version, latest.Limits.BodyBytes = 5, 4096
	is.Equal(commandsOf[core.LimitCallers](h.deliver(latest)), []core.LimitCallers{{CallerLimits: core.CallerLimits{BodyBytes: 4096}}})
	older := worldState()
	older.Version, older.Source, older.Routes, older.Limits.BodyBytes = 4, core.StateFromPeer, nil, 16
	is.Equal(len(h.deliver(older)), 0)
	is.Equal(len(commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))), 0)
}
