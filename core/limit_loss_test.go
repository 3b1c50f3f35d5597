package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against low limits that nodes tell each other of again after they have ended, as the news of
// the end was lost on the way to one of them.
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
