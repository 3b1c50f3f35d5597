package ingress

import (
	"time"

	"daisyshed.dev/core"
)

// refuseRun reports whether a run must not begin, and notifies the core: because the
// request must run once and may have run, or because the run that it was to take over from
// goes on.
func (x *exchange) refuseRun(c core.RunForward) bool {
	s := step{kind: core.RunStep, engine: c.Engine, send: c.Send}
	switch {
	case c.Once && len(x.unproven) > 0:
		x.reportSecondRun(c)
		x.reportStepFailed(s, SecondRunError{}, 0)
		return true
	case c.TakesOver && c.GoneOn != x.goneOn:
		x.server.Log.Info().Str("Event", "RunNotNeeded").Str("Request", x.forward.Attempt).Str("Engine", string(c.Engine)).Send()
		if c.Lease != "" {
			// The core has passed the lease on to this run.
			x.server.Execute(core.ReleaseLease{Engine: c.Engine, Address: c.Address, Lease: c.Lease})
		}
		x.reportStepRefused(s, core.NothingSent, 0)
		return true
	}
	return false
}

// keepOnly makes a run that has begun to answer the only one, and cancels the other if two
// overlap.
func (x *exchange) keepOnly(r *run) {
	if x.replacement == nil {
		return
	}
	other := x.replacement
	if r == other {
		other = x.current
	}
	other.cancel()
	x.overlap.Stop()
	x.current, x.replacement = r, nil
}

// removeEnded removes a run that has ended, and cancels what is left of it. If another one
// overlaps with it, that is the only one now.
func (x *exchange) removeEnded(r *run) {
	r.cancel()
	switch r {
	case x.replacement:
		x.replacement = nil
	case x.current:
		x.current, x.replacement = x.replacement, nil
	default:
		return
	}
	x.overlap.Stop()
}

// endOverlap ends a run that was to take over from a silent one and has no event in time.
// The silent one may still be sound.
func (x *exchange) endOverlap() {
	r := x.replacement
	if r == nil {
		return
	}
	x.removeEnded(r)
	x.reportStepFailed(r.step(), TakeoverTimeoutError{}, 0)
}

// restartStallTimer waits for the next event of the present run from now on.
func (x *exchange) restartStallTimer(r *run) {
	if r.StallAfter > 0 {
		x.setStallTimer(time.Now().Add(r.StallAfter))
		return
	}
	x.stall.Stop()
}

// setStallTimer has the present run reported as silent at an instant.
func (x *exchange) setStallTimer(at time.Time) {
	x.stallAt = at
	x.stall.Reset(time.Until(at))
}

// reportStalled notifies the core that the present run is silent. The run goes on. It is
// reported again after each StallAfter, because there may have been no room for another run.
func (x *exchange) reportStalled() {
	r := x.current
	if r == nil || !r.started || r.StallAfter == 0 {
		return
	}
	if !r.stalled {
		x.server.Log.Info().Str("Event", "StreamStalled").Str("Request", x.forward.Attempt).Str("Engine", string(r.Engine)).
			Int("Events", x.eventCount).Dur("PauseMs", time.Since(x.lastEventAt)).Send()
	}
	r.stalled = true
	x.server.SendToCore(core.ForwardStalled{ID: x.forward.ID, Send: r.Send, Engine: r.Engine})
	x.setStallTimer(time.Now().Add(r.StallAfter))
}

// reportStarted notifies the core that the first bytes of a run's answer go to the caller.
func (x *exchange) reportStarted(r *run) {
	x.goneOn++
	x.server.SendToCore(core.ForwardResponseStarted{ID: x.forward.ID, Send: r.Send, Engine: r.Engine, OpenFor: time.Since(r.openedAt)})
}

// reportEvent notifies the core of the first event of a run, and of the first one after
// a silence.
func (x *exchange) reportEvent(r *run) {
	switch {
	case !r.started:
		r.started = true
		x.reportStarted(r)
	case r.stalled:
		r.stalled = false
		x.goneOn++
		x.server.SendToCore(core.ForwardContinued{ID: x.forward.ID, Send: r.Send, Engine: r.Engine})
	}
}
