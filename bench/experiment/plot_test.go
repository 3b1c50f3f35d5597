package experiment_test

import (
	"os"
	"path/filepath"
	"testing"

	"daisyshed.dev/bench/experiment"
	"github.com/matryer/is"
)

func TestPlotWritesAPNG(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "out", "plot.png")
	is.NoErr(experiment.Plot([]experiment.Result{
		{Scenario: "a", Policy: "random", Goodput: 0.5, WastedPrefill: 0.2},
		{Scenario: "a", Policy: "daisyshed", Goodput: 0.9},
	}, file))
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(data[1:4]), "PNG")
}
