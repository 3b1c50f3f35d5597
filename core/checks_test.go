package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// servingNode returns a node that serves one request, for which engine memory is
// allocated, and the time.
func servingNode(every time.Duration) (*core.Node, core.Instant) {
	n := &core.Node{
		Self: core.NodeInfo{ID: "a", Region: "west"}, Incarnation: 1, Settings: core.Settings{CheckEvery: every},
	}
	now := core.Instant(time.Hour)
	n.Update(now, core.LogRead{Stream: core.ConfigStream, First: 1, End: 3, Records: []core.LogRecord{
		{Offset: 1, Record: core.PoolPublished{Publication: "1", Pool: core.Pool{ID: "p", Role: core.Prefill, Model: "m"}}},
		{Offset: 2, Record: core.PoolPublished{Publication: "2", Pool: core.Pool{ID: "d", Role: core.Decode, Model: "m"}}},
		{Offset: 3, Record: core.ProfilePublished{Publication: "3", Profile: core.Profile{
			ID: "bill-summary", Model: "m", PrefillPools: []core.PoolID{"p"}, DecodePools: []core.PoolID{"d"},
			FirstTokenTarget: time.Second, PerTokenTarget: time.Second,
		}}},
	}})
	n.Update(now, core.VMList{Nodes: []core.NodeInfo{n.Self}, Upstreams: []core.Upstream{
		{ID: "d", Pool: "d", Region: "west"}, {ID: "p", Pool: "p", Region: "west"},
	}})
	now = now.Add(time.Second)
	n.Update(now, core.Tick{})
	n.Update(now, core.EngineReport{Engine: "p", Role: core.Prefill, Model: "m", Pieces: 20})
	n.Update(now, core.EngineReport{Engine: "d", Role: core.Decode, Model: "m", Pieces: 20})
	n.Update(now, core.CallerRequest{Request: "r", Profile: "bill-summary", Prompt: core.Prompt{Tokens: 100}})
	return n, now
}

// memoryChecks returns how often the node has checked MemoryReleased.
func memoryChecks(n *core.Node, now core.Instant) uint64 {
	for _, c := range n.Update(now, core.StatusQuery{}) {
		if a, ok := c.(core.AnswerStatus); ok {
			return a.Status.Checks[core.MemoryReleased]
		}
	}
	return 0
}

func TestInvariantsAreCheckedAtEveryUpdateUnlessSampled(t *testing.T) {
	is := is.New(t)
	const updates = 100
	for every, within := range map[time.Duration][2]uint64{0: {updates, 2 * updates}, time.Second: {1, 3}} {
		n, now := servingNode(every)
		before := memoryChecks(n, now)
		for range updates {
			now = now.Add(10 * time.Millisecond)
			n.Update(now, core.Tick{})
		}
		checks := memoryChecks(n, now) - before
		is.True(checks >= within[0] && checks <= within[1])
	}
}
