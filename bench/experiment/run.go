package experiment

import (
	"io"
	"time"

	"daisyshed.dev/bench/scenario"
	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
	"daisyshed.dev/wire/peer"
)

const (
	// loadFrom is when the first callers arrive. By then the configuration has
	// reached all nodes.
	loadFrom = 5 * time.Second
	// warmUp and coolDown are periods of load before and after the measured
	// window, so that its requests begin and end under load.
	warmUp   = 25 * time.Second
	coolDown = 15 * time.Second
	// drain is the time without arrivals at the end, in which all requests end.
	drain = 90 * time.Second
	// sampleEvery is the period at which the engines' lists of allocations are
	// sampled.
	sampleEvery = 250 * time.Millisecond
)

// Run is one scenario under one policy with one seed.
type Run struct {
	Scenario scenario.Scenario
	Policy   Policy
	Seed     uint64
	// Window is the length of the measured window.
	Window time.Duration
	// ObserveDecision, if set, is called for each decision.
	ObserveDecision func(core.Decision)

	world     *world.World
	arrivals  []scenario.Arrival
	measured  []scenario.Arrival
	decisions int
	// controlBytes counts the bytes of messages between nodes until the last
	// arrival.
	controlBytes uint64
	borrowed     borrowedUsage
}

// Result executes the run and returns its figures.
func (r *Run) Result() Result {
	r.open()
	from := loadFrom + warmUp
	end := from + r.Window + coolDown
	r.arrivals = r.Scenario.Arrivals(r.Seed, loadFrom, end)
	for _, a := range r.arrivals {
		if a.At >= from && a.At < from+r.Window {
			r.measured = append(r.measured, a)
		}
		r.world.After(a.At, func() { r.world.SendRequest(a.Caller, a.Nodes...) })
	}
	r.Scenario.Schedule(r.world, from, r.Window)
	r.borrowed.startSampling(r)
	r.world.Run(end)
	for _, n := range r.world.ControlBytes {
		r.controlBytes += n
	}
	r.world.Run(end + drain)
	return r.result(end + drain)
}

func (r *Run) open() {
	r.world = r.Scenario.World(r.Policy.Core, r.Seed)
	r.world.MeasureTime = true
	r.world.PeerSize = peerSize
	r.world.ObserveDecision = r.observe
	r.world.Open()
}

func (r *Run) observe(d core.Decision) {
	if d.Step == "place" || d.Step == "refuse" {
		r.decisions++
	}
	if r.ObserveDecision != nil {
		r.ObserveDecision(d)
	}
}

// peerSize returns the size of a message as the daemons frame it, without the
// overhead of the connection.
func peerSize(m core.PeerMessage) int {
	n, err := peer.WriteFrame(io.Discard, m)
	if err != nil {
		return 0
	}
	return n
}

// World returns the simulated world of the run. It is nil before Result is
// called.
func (r *Run) World() *world.World { return r.world }

// Measured returns the callers of the measured window. It is empty before
// Result is called.
func (r *Run) Measured() []scenario.Arrival { return r.measured }
