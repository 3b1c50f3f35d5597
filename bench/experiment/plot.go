package experiment

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	barWidth   = 5
	groupWidth = 70
	plotHeight = 400
	sideMargin = 260
	labelAngle = math.Pi / 4
)

// Plot draws goodput and wasted prefill by scenario and policy, each as the
// mean over all seeds, and writes a PNG file.
func Plot(results []Result, file string) error {
	scenarios := distinctNames(results, func(r Result) string { return r.Scenario })
	policies := distinctNames(results, func(r Result) string { return r.Policy })
	goodput, err := bars("Goodput", results, scenarios, policies, func(r Result) float64 { return r.Goodput })
	if err != nil {
		return err
	}
	wasted, err := bars("Wasted prefill", results, scenarios, policies, func(r Result) float64 { return r.WastedPrefill })
	if err != nil {
		return err
	}
	return save(file, len(scenarios), goodput, wasted)
}

// distinctNames returns the distinct names in the order in which they first
// occur.
func distinctNames(results []Result, name func(Result) string) []string {
	var all []string
	for _, r := range results {
		if n := name(r); !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

func bars(title string, results []Result, scenarios, policies []string, value func(Result) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, policy := range policies {
		chart, err := plotter.NewBarChart(means(results, scenarios, policy, value), barWidth)
		if err != nil {
			return nil, err
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Color = color.Transparent
		chart.Offset = vg.Length(barWidth * (i - len(policies)/2))
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(scenarios...)
	p.X.Tick.Label.Rotation = -labelAngle
	p.X.Tick.Label.XAlign = draw.XLeft
	p.X.Max = float64(len(scenarios)) + 1
	return p, nil
}

func means(results []Result, scenarios []string, policy string, value func(Result) float64) plotter.Values {
	values := make(plotter.Values, len(scenarios))
	for i, s := range scenarios {
		sum, count := 0.0, 0
		for _, r := range results {
			if r.Scenario == s && r.Policy == policy {
				sum += value(r)
				count++
			}
		}
		values[i] = sum / float64(max(count, 1))
	}
	return values
}

// save draws the plots one above the other into a PNG file.
func save(file string, groups int, plots ...*plot.Plot) error {
	width := vg.Length(groups*groupWidth + sideMargin)
	canvas := vgimg.New(width, vg.Length(plotHeight*len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for i, p := range plots {
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f); err != nil {
		return err
	}
	return f.Close()
}
