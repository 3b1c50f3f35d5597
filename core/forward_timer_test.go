package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// The timers of a request kept it in memory until its caller's deadline, however soon it had ended: a
// client that sends short requests with long deadlines one after another filled the process's memory.
func TestEndedRequestsAreNotKept(t *testing.T) {
	is := is.New(t)
	const requests, deadline = 20_000, 10 * time.Minute
	n := newPlainNode(deadline)
	before := heapBytes()
	for i := range requests {
		id := core.ForwardID(i + 1)
		run := n.send(core.Forward{ID: id, Attempt: fmt.Sprintf("a%d", i), Host: "h", Path: "/x/", Patience: deadline})
		n.update(core.ForwardResponseCompleted{ID: id, Send: run.Send, Engine: run.Engine})
	}
	grown := max(heapBytes()-before, 0) / requests
	t.Logf("%d bytes a request", grown)
	// Retaining the record of each request would exceed this.
	is.True(grown < 1<<10)
	runtime.KeepAlive(n)
}

// plainNode is a node with a plain service.
type plainNode struct {
	node *core.Node
	now  core.Instant
}

func newPlainNode(timeout time.Duration) *plainNode {
	n := &plainNode{now: core.Instant(time.Hour), node: &core.Node{
		Self: core.NodeInfo{ID: "n1"}, Incarnation: 1, Seed: 1, Hosted: true,
		DisabledMechanisms: core.SetOf(core.OwnedGroups), Settings: core.DefaultSettings(),
	}}
	n.update(core.Tick{})
	n.update(core.DesiredState{
		Version: 1,
		Routes: []core.Route{{
			ID: "plain", Host: "h", Prefix: "/x/", RetryPolicy: core.Repeatable, Timeout: timeout, Objective: time.Minute,
			MaxRuns: 2, Split: []core.Share{{Service: "ledger", Weight: 1}},
		}},
		Services: map[core.ServiceID]core.ServiceSpec{"ledger": {ID: "ledger"}},
	})
	n.update(core.InstancesRead{Whole: true, Offset: 1, Started: n.now, Changed: []core.Instance{{ID: "e1", Service: "ledger", Address: "e1:1", Slots: 8, Born: 1}}})
	return n
}

func (n *plainNode) update(m core.Message) []core.Command {
	n.now = n.now.Add(time.Microsecond)
	return n.node.Update(n.now, m)
}

// send sends a request and returns the run that the node begins.
func (n *plainNode) send(f core.Forward) core.RunForward {
	for _, c := range n.update(f) {
		if run, ok := c.(core.RunForward); ok {
			return run
		}
	}
	return core.RunForward{}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
