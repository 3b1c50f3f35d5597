package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine that is silent for a second or so most often goes on. A prompt that another one
// has prefilled meanwhile is wasted, so there is time for that only where callers leave
// soon.
func TestShortSilenceWastesNoPrefill(t *testing.T) {
	for patience, want := range map[time.Duration]time.Duration{
		0:                       time.Second,
		2 * time.Second:         time.Second,
		3600 * time.Millisecond: 1800 * time.Millisecond,
	} {
		is := is.New(t)
		h := readyAlone(engineInstances()...)
		state := worldState()
		state.Version++
		for i := range state.Routes {
			state.Routes[i].GapPatience = patience
		}
		h.deliver(state)
		is.Equal(runStream(t, h, h.deliver(streamTo(1, "resumable"))).StallAfter, want)
	}
}
