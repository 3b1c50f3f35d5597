package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// contactTime is the time after a cut from which first tries must be served.
	contactTime = 3 * time.Second
	cutTime     = 10 * time.Second
	// longCut is long enough for all upstreams of a small deployment to be probed.
	longCut = 30 * time.Second
	// wholeDomain takes the place of a share of the nodes.
	wholeDomain = 0.0
)

// cutWorld is a deployment under load, with nodes that are cut off from all upstreams.
type cutWorld struct {
	*hostedWorld
	isCut func(*worldNode) bool
	size  int
	scale float64
}

func newCutWorld(nodes int, seed uint64, share float64) *cutWorld {
	scale := min(nodes/8, 12)
	w := newHostedWorld(worldOptions{
		nodes: nodes, prefillers: 4 * scale, decoders: 8 * scale, plain: 6 * scale, slots: 4, domains: 3, seed: seed,
	})
	cut := map[*worldNode]bool{}
	for _, i := range w.rng.Perm(nodes)[:int(share*float64(nodes)+0.5)] {
		cut[w.nodes[i]] = true
	}
	for _, n := range w.nodes {
		cut[n] = cut[n] || share == wholeDomain && n.node.Self.Domain == "d2"
	}
	w.run(3 * time.Second)
	return &cutWorld{w, func(n *worldNode) bool { return cut[n] }, nodes, float64(scale)}
}

// loadAll sends requests of all kinds, at half of what upstreams can serve.
func (w *cutWorld) loadAll(d time.Duration) {
	w.load("draft", 0.25*modelCapacity*w.scale, d)
	w.load("resumable", 0.25*modelCapacity*w.scale, d)
	w.load("pay", 40*w.scale, d)
	w.load("read", 40*w.scale, d)
}

// shares returns the shares of the first tries between two instants that were served, at nodes
// that are cut off and at others.
func (w *cutWorld) shares(from, to core.Instant) (cut, sound float64) {
	var tries, served [2]float64
	for _, r := range w.requests {
		if r.retried || r.arrived < from || r.arrived > to {
			continue
		}
		i := btoi(w.isCut(r.node))
		tries[i]++
		served[i] += float64(btoi(r.served))
	}
	return served[1] / max(tries[1], 1), served[0] / max(tries[0], 1)
}

// Guards against nodes that cannot reach any upstream and serve nobody: from contactTime after
// the cut, first tries there must be served as often as elsewhere, and elsewhere as often as
// without a cut.
func TestNodesCutOffFromUpstreamsServeThroughOthers(t *testing.T) {
	for _, c := range []struct {
		nodes int
		share float64
		how   worldCut
	}{
		{8, 0.4, hang},
		{8, 0.6, reset},
		{8, 0.75, refuse},
		{8, 0.6, hang},
		{8, 0.75, hang},
		{8, wholeDomain, refuse},
		{82, wholeDomain, refuse},
		{82, 0.6, hang},
		{82, 0.75, reset},
		{410, 0.6, hang},
		{8, 0.4, openReset},
		{8, 0.75, openHang},
		{82, 0.6, openHang},
		{410, wholeDomain, openReset},
	} {
		t.Run(fmt.Sprintf("%d nodes, %.2f, %d", c.nodes, c.share, c.how), func(t *testing.T) {
			if testing.Short() && c.nodes > 82 {
				t.Skip("the race detector takes a minute for this size")
			}
			is := is.New(t)
			w := newCutWorld(c.nodes, 1, c.share)
			w.loadAll(3*time.Second + 2*cutTime)
			w.run(3 * time.Second)
			began, messages := w.now, w.peerMessages()
			w.cutUpstreams(c.how, cutTime, w.isCut)
			w.run(cutTime)
			perSecond := float64(w.peerMessages()-messages) / cutTime.Seconds() / float64(c.nodes)
			w.run(25 * time.Second)
			early, _ := w.shares(began, began.Add(contactTime))
			cut, sound := w.shares(began.Add(contactTime), began.Add(cutTime))
			healed, other := w.shares(began.Add(cutTime+time.Second), w.now)
			t.Logf("served: early %.3f; cut off %.3f, others %.3f; healed %.3f and %.3f; %.1f messages a second and node",
				early, cut, sound, healed, other, perSecond)
			is.True(cut >= 0.95*sound)
			is.True(sound >= 0.95)
			is.True(healed >= 0.95*other)
		})
	}
}

// peerMessages returns how many messages all nodes have sent to each other.
func (w *cutWorld) peerMessages() int {
	count := 0
	for _, n := range w.nodes {
		count += n.peerMessages
	}
	return count
}

// Guards against a node that stays isolated after a long cut, because it has probed all
// upstreams once.
func TestIsolationEndsAfterALongCut(t *testing.T) {
	is := is.New(t)
	w := newCutWorld(8, 1, 0.6)
	w.loadAll(longCut)
	w.run(time.Second)
	w.cutUpstreams(hang, longCut, w.isCut)
	w.run(longCut - time.Second)
	for _, n := range w.nodes {
		is.Equal(n.paths.relays.First, w.isCut(n))
	}
	w.run(4 * time.Second)
	for _, n := range w.nodes {
		is.True(!n.paths.relays.First)
	}
}

// Relays that die, freeze or are cut off themselves, and partitions that begin again and end
// while nodes find out, must not keep isolated nodes from serving.
func TestIsolatedNodesServeWhileRelaysFail(t *testing.T) {
	faults := map[string]func(w *cutWorld, i int, sound []*worldNode){
		"relays die":    func(w *cutWorld, i int, sound []*worldNode) { w.killRelay(sound[i]) },
		"relays freeze": func(w *cutWorld, i int, sound []*worldNode) { w.freeze(sound[i].node.Self.ID, 1500*time.Millisecond) },
		"relays leave":  func(_ *cutWorld, i int, sound []*worldNode) { sound[i].deliver(core.Shutdown{}) },
		"relays are cut off": func(w *cutWorld, i int, sound []*worldNode) {
			w.cutUpstreams(hang, 3*time.Second, func(n *worldNode) bool { return n == sound[i] })
		},
		"relays are reset": func(w *cutWorld, i int, sound []*worldNode) {
			w.cutUpstreams(reset, 3*time.Second, func(n *worldNode) bool { return n == sound[i] })
		},
		"relays are reset behind what accepts connections": func(w *cutWorld, i int, sound []*worldNode) {
			w.cutUpstreams(openReset, 3*time.Second, func(n *worldNode) bool { return n == sound[i] })
		},
		"partitions come back": func(w *cutWorld, _ int, _ []*worldNode) {
			w.cutUpstreams(uncut, 0, w.isCut)
			w.after(400*time.Millisecond, func() { w.cutUpstreams(reset, 30*time.Second, w.isCut) })
		},
	}
	for name, fault := range faults {
		for seed := range uint64(3) {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				w := newCutWorld(16, seed+1, 0.5)
				var sound []*worldNode
				for _, n := range w.nodes {
					if !w.isCut(n) {
						sound = append(sound, n)
					}
				}
				w.pick = func() *worldNode {
					for {
						if n := w.nodes[w.rng.IntN(len(w.nodes))]; !n.killed && !n.frozen && n.closedAt == 0 {
							return n
						}
					}
				}
				w.loadAll(24 * time.Second)
				w.run(2 * time.Second)
				w.cutUpstreams(hang, 30*time.Second, w.isCut)
				w.run(contactTime)
				began := w.now
				for i := range 4 {
					fault(w, i, sound)
					w.run(4 * time.Second)
				}
				until := w.now
				w.run(20 * time.Second)
				cut, others := w.shares(began, until)
				t.Logf("served: cut off %.3f, others %.3f; %d requests blocked at nodes", cut, others, w.blocked)
				is.True(cut >= 0.95*others)
				is.True(others >= 0.95)
				is.Equal(w.blocked, 0) // no upstream has ended
			})
		}
	}
}
