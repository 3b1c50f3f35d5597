package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// limitAsked is the longest time between two requests to an upstream that takes nothing, which
// show whether its limit has ended.
const limitAsked = 4 * time.Second

// Nodes repeat limits to each other with their heartbeats. Upstreams that took hardly anything
// were kept to that for good after their limit had ended: a repetition counted as an answer that
// named the limit, so that answers without it were taken for late ones.
func TestLowLimitsEndThoughNodesRepeatThem(t *testing.T) {
	for _, nodes := range []int{4, 8, 82} {
		for _, rate := range []core.RequestRate{0, 0.5, 4} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d nodes, limit %g, seed %d", nodes, float64(rate), seed), func(t *testing.T) {
					if testing.Short() && nodes > 8 {
						t.Skip("the race detector takes long for this size")
					}
					is := is.New(t)
					w := limitedWorld(nodes, seed+1)
					for _, id := range w.ids {
						w.limitTo(id, rate)
					}
					w.run(8 * time.Second)
					for _, u := range w.ups {
						u.limit = core.None[core.RequestRate]()
					}
					w.run(limitAsked + time.Second)
					served, rejections := w.served, w.rejections
					w.run(5 * time.Second)
					is.True(w.served-served > 200)
					is.Equal(w.rejections-rejections, 0)
				})
			}
		}
	}
}

// A node has been told of a limit again and again. The first answer without it ends it.
func TestRepeatedReportsDoNotKeepALimit(t *testing.T) {
	is := is.New(t)
	h := newLimitNode()
	told := core.PeerMessage{From: "n2", Incarnation: 1, Body: core.LimitsReported{Limits: []core.NamedLimit{{Engine: "e1", Born: 1, Limited: true, Rate: 0.5}}}}
	for range 10 {
		h.deliver(told)
		h.advance(200 * time.Millisecond)
	}
	h.deliver(told, core.UpstreamSignal{Engine: "e1"})
	is.Equal(len(commandsOf[core.AnswerStatus](h.deliver(core.StatusQuery{}))[0].Status.Limits), 0)
}
