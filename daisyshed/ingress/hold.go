package ingress

import (
	"context"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
)

const (
	// holdTimeout bounds the time to open a connection that is held for a request.
	holdTimeout = time.Second
	// reportTimeout bounds the time in which an upstream says on a held connection which
	// incarnation it is. A healthy one responds at once.
	reportTimeout = 200 * time.Millisecond
)

// heldConnection is the connection that is held for a request.
type heldConnection struct {
	number core.HoldNumber
	*upstream.Held
}

// hold opens a connection for a request, asks the upstream on it which incarnation it is, and
// sends the outcome to the core.
func (x *exchange) hold(c core.HoldConnection) {
	held, born, err := x.openHeld(c)
	if err != nil {
		x.server.SendToCore(core.ConnectionNotHeld{ID: c.ID, Hold: c.Hold, Reason: err.Error()})
		return
	}
	openFor := held.OpenFor()
	x.keepHeld(&heldConnection{number: c.Hold, Held: held})
	x.server.SendToCore(core.ConnectionHeld{ID: c.ID, Hold: c.Hold, OpenFor: openFor, Born: born})
}

// openHeld returns an open connection, and what the upstream has said on it. An upstream may
// close its connections after it has said something; the next one is not asked again.
func (x *exchange) openHeld(c core.HoldConnection) (*upstream.Held, core.Option[int64], error) {
	ctx, cancel := context.WithTimeout(x.ctx, holdTimeout)
	defer cancel()
	r := &upstream.Request{
		Key: string(c.Engine), Address: c.Address, NewConnection: c.NewConnection, ParseIdleTimeout: platform.IdleTimeout,
		Series: callSeries,
	}
	held, err := x.server.Upstreams.Hold(ctx, r)
	if err != nil {
		return nil, core.None[int64](), err
	}
	born, err := x.askBorn(ctx, held, c)
	if err != nil {
		held.Close()
		return nil, core.None[int64](), err
	}
	if held.Open() {
		return held, born, nil
	}
	held.Close()
	r.NewConnection = true
	held, err = x.server.Upstreams.Hold(ctx, r)
	return held, core.None[int64](), err
}

// askBorn asks an upstream which incarnation it is. Upstreams that give no report, or do not
// say it there, are no failure.
func (x *exchange) askBorn(ctx context.Context, held *upstream.Held, c core.HoldConnection) (core.Option[int64], error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	call := platform.ReportCall(c.Engine)
	response, err := held.Do(ctx, callRequest(c.Engine, c.Address, call))
	if err != nil {
		return core.None[int64](), err
	}
	defer response.Close()
	body, err := response.ReadAll(maxBufferedBytes)
	if err != nil {
		return core.None[int64](), err
	}
	return platform.DecodeBorn(body), nil
}

// keepHeld makes a connection the one that is held for the request, and releases the one
// before, or the connection itself if the request has ended or a later one is held.
func (x *exchange) keepHeld(h *heldConnection) {
	x.mu.Lock()
	defer x.mu.Unlock()
	release := x.held
	if x.holdsEnded || x.held != nil && x.held.number > h.number {
		release = h
	} else {
		x.held = h
	}
	if release != nil {
		release.Close()
	}
}

// heldFor returns the held connection on which a run must be sent; nil if it is not held.
func (x *exchange) heldFor(number core.HoldNumber) *upstream.Held {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.held == nil || x.held.number != number {
		return nil
	}
	return x.held.Held
}

// releaseHeld releases the connection that is held for the request, which has ended.
func (x *exchange) releaseHeld() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.held != nil {
		x.held.Close()
	}
	x.held, x.holdsEnded = nil, true
}
