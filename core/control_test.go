package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const payPost core.ProfileID = "pay-post"

// newControlWorld returns a running world with plain services and, in the log,
// a pool and two profiles that use them.
func newControlWorld(t failer, seed uint64, nodes int) *world {
	w := newWorld(t, seed, nodes)
	for i := range 3 {
		id := core.EngineID(fmt.Sprintf("ledger-%d", i))
		w.vms.Upstreams = append(w.vms.Upstreams, core.Upstream{
			ID: id, Pool: "ledger", Domain: core.DomainID(fmt.Sprintf("west-%d", i)), Region: "west", Address: string(id),
		})
	}
	w.log.put(
		core.ConfigStream,
		core.PoolPublished{Publication: "pool", Pool: core.Pool{ID: "ledger", Role: core.Plain}},
		core.ProfilePublished{Publication: "pay", Profile: core.Profile{
			ID: payPost, Kind: core.Service, ServicePools: []core.PoolID{"ledger"},
		}},
		core.ProfilePublished{Publication: "read", Profile: core.Profile{
			ID: "balance-read", Kind: core.Service, ServicePools: []core.PoolID{"ledger"}, Repeatable: true,
		}},
	)
	w.startAll()
	return w
}

func TestMembersDiscoverEachOtherAndDetectDeath(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 1, 5)
	w.advance(5 * time.Second)
	is.Equal(w.countAt("node-0", core.Alive), 4)
	w.kill("node-3")
	w.advance(8 * time.Second)
	is.Equal(w.countAt("node-0", core.Alive), 3)
	is.Equal(w.countAt("node-0", core.Dead), 1)
	w.restart("node-3")
	w.advance(8 * time.Second)
	is.Equal(w.aliveAt("node-0"), 4)
}

// aliveAt counts the members that a node considers alive.
func (w *world) aliveAt(id core.NodeID) int { return w.countAt(id, core.Alive) }

// countAt counts the members that have a status in a node's view.
func (w *world) countAt(id core.NodeID, status core.MemberStatus) int {
	count := 0
	for _, m := range w.status(id).Members {
		if m.Status == status {
			count++
		}
	}
	return count
}

func TestPartitionedNodesRejoinAfterHeal(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 2, 4)
	w.advance(5 * time.Second)
	w.partition([]core.NodeID{"node-0", "node-1"}, []core.NodeID{"node-2", "node-3"})
	w.advance(20 * time.Second)
	is.Equal(w.aliveAt("node-0"), 1)
	w.heal()
	w.advance(20 * time.Second)
	for _, id := range w.ids {
		is.Equal(w.aliveAt(id), 3)
	}
}

// partition cuts all links between two sets of nodes, in both directions.
func (w *world) partition(a, b []core.NodeID) {
	for _, x := range a {
		for _, y := range b {
			w.link(x, y).cut = true
			w.link(y, x).cut = true
		}
	}
}

func TestConfigurationStartsFromPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 3, 4)
	w.advance(5 * time.Second)
	w.log.fault.down = true
	for _, id := range w.ids {
		w.restart(id)
		w.advance(4 * time.Second)
	}
	for _, id := range w.ids {
		is.Equal(len(w.status(id).Profiles), 2)
		is.Equal(w.status(id).ConfigOffset, core.Offset(3))
	}
}

func TestConfigurationReachesNodeCutOffFromLog(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 4, 4)
	w.advance(5 * time.Second)
	w.log.fault.cut = map[core.NodeID]bool{"node-2": true}
	offset := w.log.put(core.ConfigStream, published("bill-summary", "b", 0))
	w.advance(5 * time.Second)
	is.Equal(w.status("node-2").ConfigOffset, offset)
	is.True(!w.status("node-2").LogReachable)
}

func TestIsolatedNodeRejectsCallsAsStale(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 5, 3)
	w.advance(5 * time.Second)
	w.log.fault.down = true
	w.advance(30 * time.Second)
	is.Equal(w.callers.send("node-0", "", "balance-read").answerAfter(w, time.Second).Outcome, core.Ran)
	w.partition([]core.NodeID{"node-0"}, []core.NodeID{"node-1", "node-2"})
	w.advance(20 * time.Second)
	answer := w.callers.send("node-0", "", "balance-read").answerAfter(w, time.Second)
	is.Equal(answer.Outcome, core.NotRun)
	is.Equal(answer.Reason, core.StaleConfiguration)
}

// answerAfter advances the world by d and returns the answer to a call. The test
// fails if there is none.
func (s *sentCall) answerAfter(w *world, d time.Duration) core.AnswerCall {
	w.t.Helper()
	w.advance(d)
	if !s.answered {
		w.t.Fatalf("call %s got no answer", s.call.Call)
	}
	return s.answer
}

func TestSnapshotPreservesConfigurationPastRetention(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 6, 3)
	w.advance(3 * time.Hour)
	for _, id := range w.ids {
		w.kill(id)
	}
	w.startAll()
	w.advance(10 * time.Second)
	for _, id := range w.ids {
		is.Equal(len(w.status(id).Profiles), 2)
	}
	is.True(len(w.log.streams[core.ConfigStream]) < 40)
}

func TestAddressesOmitLeavingNode(t *testing.T) {
	is := is.New(t)
	w := newControlWorld(t, 7, 6)
	w.advance(5 * time.Second)
	answer := w.query("node-0", core.AddressQuery{Query: "a", Domain: "west-1"}).(core.AnswerAddresses)
	is.Equal(len(answer.Addresses), 6)
	is.Equal(answer.Addresses[0].Domain, core.DomainID("west-1"))
	is.True(answer.Epoch > logEpoch)
	total := 0.0
	for _, a := range answer.Addresses {
		total += a.Weight
		is.True(a.Weight <= 0.5)
	}
	is.True(total > 0.999 && total < 1.001)
	w.send("node-1", core.Shutdown{})
	w.advance(2 * time.Second)
	answer = w.query("node-0", core.AddressQuery{Query: "b", Domain: "west-1"}).(core.AnswerAddresses)
	for _, a := range answer.Addresses {
		is.True(a.Node != "node-1")
	}
}
