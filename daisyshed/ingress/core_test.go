package ingress_test

import (
	"cmp"
	"maps"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"daisyshed.dev/daisyshed/upstream"
	"github.com/rs/zerolog"
)

// nodeOptions describes a node with one model service, whose resumable streams have the
// path /resumable/.
type nodeOptions struct {
	engines []core.Instance
	retries core.RetryBudget
	// maxLease is the longest lease that the engines grant; without one they grant none.
	maxLease time.Duration
}

const (
	nodeObjective = 900 * time.Millisecond
	nodeTimeout   = 10 * time.Second
)

// liveCore runs a real core behind a server, in place of the control goroutine.
type liveCore struct {
	server  *ingress.Server
	started time.Time

	mu    sync.Mutex
	node  *core.Node
	timer *time.Timer
	// list are the entries of the upstreams in the store, and offset is its end.
	list   map[core.EngineID]core.Instance
	offset core.Offset
	// steps are the decisions about requests so far.
	steps []string
}

// startNode starts a server with a core of its own that places requests alone.
func startNode(t *testing.T, o nodeOptions) (*httptest.Server, *liveCore) {
	n := &liveCore{started: time.Now(), list: map[core.EngineID]core.Instance{}, node: &core.Node{
		Self: core.NodeInfo{ID: "n1"}, Incarnation: 1, Seed: 1, Hosted: true,
		DisabledMechanisms: core.SetOf(core.OwnedGroups), Settings: core.DefaultSettings(),
	}}
	n.node.Settings.Retries = o.retries
	n.server = &ingress.Server{
		Upstreams: &upstream.Client{DialTimeout: time.Second}, Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel), Meter: &recordingMeter{},
		SendToCore: func(m core.Message) { go n.update(m) }, ReportViolation: func(v core.Violation) { t.Error(v) },
	}
	n.update(core.Tick{})
	n.update(core.DesiredState{
		Version: 1,
		Routes: []core.Route{{
			ID: "resumable", Host: "h", Prefix: "/resumable/", RetryPolicy: core.ResumeOnly, Stream: true, Timeout: nodeTimeout,
			Objective: nodeObjective, MaxPause: 300 * time.Millisecond, MaxRuns: 2, Split: []core.Share{{Service: "model", Weight: 1}},
		}},
		Services: map[core.ServiceID]core.ServiceSpec{"model": {ID: "model", Engine: core.Some(core.EngineSpec{
			Slots: 8, KVCapacityTokens: 10000, MaxLease: o.maxLease, HandleTTL: time.Second, TokensPerEvent: 1,
		})}},
	})
	n.update(core.InstancesRead{Whole: true, Offset: 1, Changed: o.engines})
	s := httptest.NewServer(n.server)
	t.Cleanup(func() {
		s.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.node = nil
	})
	return s, n
}

// update passes a message to the core and carries out its commands.
func (n *liveCore) update(m core.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.node == nil {
		return
	}
	now := func() core.Instant { return core.Instant(time.Hour + time.Since(n.started)) }
	if read, ok := m.(core.InstancesRead); ok {
		for _, i := range read.Changed {
			n.list[i.ID] = i
		}
		n.offset = max(n.offset, read.Offset)
		read.Started = cmp.Or(read.Started, now())
		m = read
	}
	for _, c := range n.node.Update(now(), m) {
		switch c := c.(type) {
		case core.ReadInstances:
			go n.update(core.InstancesRead{Whole: true, Started: c.Started, Offset: n.offset, Changed: slices.Collect(maps.Values(n.list))})
		case core.LogDecision:
			n.steps = append(n.steps, c.Decision.Step)
		case core.ForwardCommand:
			n.server.Execute(c)
		}
	}
	if n.timer != nil {
		n.timer.Stop()
	}
	if at, ok := n.node.NextTick(); ok {
		n.timer = time.AfterFunc(max(at.Sub(now()), 0), func() { n.update(core.Tick{}) })
	}
}

// count returns how many decisions had the given step.
func (n *liveCore) count(step string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, s := range n.steps {
		if s == step {
			count++
		}
	}
	return count
}

// register writes the entry of an upstream to the store. The node does not read it at once.
func (n *liveCore) register(i core.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list[i.ID] = i
	n.offset++
}
