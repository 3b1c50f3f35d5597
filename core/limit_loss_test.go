package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against limits that come back after they have ended, because a node that did not receive the
// message with the end reports the old limit again.
func TestLowLimitsEndThoughMessagesAreLost(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := limitedWorld(8, seed+1)
			w.slowLinks()
			for _, id := range w.ids {
				w.limitTo(id, 0.5)
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
