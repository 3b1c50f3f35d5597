package world_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against faulty or late answers and wasted prefills at a load that the
// engines can carry: every answer must be free of errors, 95% of the callers must
// get both latency targets met, 98% of the prefilled tokens must be used, and no
// memory may stay allocated.
func TestNominalLoadIsAnsweredWholeAndOnTime(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 8, 4, 8)
	w.Open()
	callers := load(w, 18, 5*time.Second, 65*time.Second)
	w.Run(90 * time.Second)
	s := summarise(callers)
	counters := w.EngineCounters()
	t.Logf("%+v of %d, prefilled %d, used %d, updates %d", s, len(callers), counters.Prefilled, counters.Used, w.Updates)
	is.Equal(len(w.Violations), 0)
	is.Equal(s.faulty, 0)
	is.True(float64(s.good) >= 0.95*float64(len(callers)))              // 95% of the callers meet both targets
	is.True(float64(counters.Used) >= 0.98*float64(counters.Prefilled)) // under 2% wasted prefill
	for _, e := range w.Engines {
		is.Equal(len(w.Held(e.Upstream.ID)), 0) // no memory is held after the last request
	}
}
