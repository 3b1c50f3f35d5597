package capacity_test

import (
	"testing"
	"time"

	"daisyshed.dev/bench/capacity"
	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// controlBytes returns the control bytes per second that each node of an idle
// fleet sends.
func controlBytes(nodes, regions int) float64 {
	f := &capacity.Fleet{
		Seed: 1, Size: nodes, Regions: regions, Upstreams: []core.Upstream{{ID: "ledger-0", Pool: "ledger"}},
	}
	f.Open()
	f.Run(2 * time.Minute)
	f.Reset()
	f.Run(20 * time.Second)
	return float64(f.Usage.Control().Bytes) / float64(nodes) / 20
}

func TestControlBytesStayWithinTheBudgetAtEveryFleetSize(t *testing.T) {
	is := is.New(t)
	for _, s := range []struct{ nodes, regions int }{{8, 1}, {68, 1}, {96, 6}} {
		is.True(controlBytes(s.nodes, s.regions) < capacity.BudgetBytes)
	}
}

func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	is := is.New(t)
	is.Equal(controlBytes(8, 2), controlBytes(8, 2))
}

func TestUnknownPartIsRejected(t *testing.T) {
	is := is.New(t)
	err := capacity.Measure([]string{"weather"}, 1, func(capacity.Row) {})
	is.Equal(err, error(capacity.UnknownPartError{Name: "weather"}))
}
