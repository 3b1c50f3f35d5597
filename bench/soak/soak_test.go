package soak_test

import (
	"testing"
	"time"

	"daisyshed.dev/bench/soak"
	"github.com/matryer/is"
)

// Runs four seeds with every kind of fault: no promise may be violated.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		is := is.New(t)
		r := &soak.Run{Seed: seed, Faulty: 60 * time.Second}
		r.Do()
		t.Logf("seed %d: %d steps, %+v, provoked %v", seed, r.Steps, r.Outcomes, r.Provoked)
		for _, f := range r.Failures {
			t.Logf("seed %d: %s", seed, f)
		}
		is.Equal(len(r.Failures), 0)
	}
}
