package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Messages between nodes are lost for a second, again and again, as when all connections go
// silent. Owners did
// not learn that requests had ended, took their places for occupied for a minute, and rejected
// most requests meanwhile.
func TestLostReleasesDoNotOccupyUpstreams(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name  string
		world worldOptions
		kind  core.RouteID
		rate  float64
	}{
		{"plain", worldOptions{nodes: 8, plain: 3, slots: 6, seed: 2}, "pay", 300},
		{"streams", worldOptions{nodes: 8, prefillers: 4, decoders: 8, seed: 2}, "resumable", 10},
	} {
		w := newHostedWorld(c.world)

		w.load(c.kind, c.rate, 40*time.Second)
		w.run(3 * time.Second)
		before := w.rejections
		w.run(3 * time.Second)
		usual := w.rejections - before
		for range 4 {
			w.peerLoss = 1
			w.run(time.Second)
			w.peerLoss = 0
			w.run(4 * time.Second)
		}
		before = w.rejections
		w.run(3 * time.Second)
		t.Logf("%s: %d rejections in 3 s before the loss, %d after it", c.name, usual, w.rejections-before)
		is.True(w.rejections-before <= usual+int(c.rate*3/20))
	}
}
