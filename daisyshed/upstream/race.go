package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
)

// race opens one connection on the first path that works. The others are closed and never
// carry a request.
type race struct {
	client *Client
	r      *Request
	plan   plan
	// ctx ends the attempts through relays. They are not cancelled if the request ends first,
	// so that the path is known to the next one.
	ctx    context.Context
	cancel context.CancelFunc

	results chan opened
	// pending counts the attempts under way, and next is the index of the next relay.
	pending, next int
	// unreached counts the relays that could not reach the upstream, and expired is set once
	// no more is to be waited for relays.
	unreached int
	expired   bool
	failed    ConnectError
	timer     *time.Timer
}

// open opens a connection to the upstream of a request.
func (c *Client) open(ctx context.Context, r *Request) (opened, error) {
	p := c.plan(r)
	x := &race{client: c, r: r, plan: p, results: make(chan opened, 1+len(p.relays)), timer: time.NewTimer(directWait)}
	defer x.timer.Stop()
	x.ctx, x.cancel = context.WithCancel(context.WithoutCancel(ctx))
	o, err := x.run(ctx)
	go x.closeOthers(o.conn != nil)
	return o, err
}

// run returns the first connection that opens, or the errors of all attempts.
func (x *race) run(ctx context.Context) (opened, error) {
	if x.plan.direct {
		x.pending++
		go x.openDirect()
	}
	if x.plan.together {
		x.startRelay()
	}
	expire := time.NewTimer(x.timeout())
	defer expire.Stop()
	for !x.over() {
		select {
		case o := <-x.results:
			x.pending--
			if o.err == nil {
				x.client.remember(x.r.poolKey(), o.relay)
				return o, nil
			}
			x.fail(o)
		case <-x.timer.C:
			x.startRelay()
		case <-expire.C:
			x.expired = true
		case <-ctx.Done():
			return opened{}, ctx.Err()
		}
	}
	if len(x.plan.relays) == 0 {
		return opened{}, x.failed.Direct
	}
	if len(x.failed.Unwrap()) == 0 {
		x.failed.Relayed = []error{context.DeadlineExceeded}
	}
	return opened{}, &x.failed
}

// timeout returns how long the race may take. A node that is not known to be partitioned does
// not wait for relays any longer than for a direct connection.
func (x *race) timeout() time.Duration {
	if x.plan.direct {
		return x.client.DialTimeout
	}
	return relayTimeoutFactor * x.client.DialTimeout
}

// over reports whether no connection is to be expected any more.
func (x *race) over() bool {
	if x.plan.direct && x.failed.Direct == nil {
		return false
	}
	return x.pending == 0 || x.expired || x.unreached >= maxRelayFailures
}

// fail records a failed attempt and starts the next one.
func (x *race) fail(o opened) {
	if o.relay == "" {
		x.failed.Direct = o.err
		if x.next == 0 {
			x.startRelay()
		}
		return
	}
	x.failed.Relayed = append(x.failed.Relayed, o.err)
	if outcome(o) == core.RelayFailed {
		x.unreached++
	}
	x.startRelay()
}

// startRelay tries the next relay, if there is one.
func (x *race) startRelay() {
	if x.next == len(x.plan.relays) || x.unreached >= maxRelayFailures {
		return
	}
	relay := x.plan.relays[x.next]
	x.next++
	x.pending++
	x.timer.Reset(relayWait)
	go x.openThrough(relay)
}

// openDirect opens a direct connection. It is not cancelled if another one opens first, or the
// request ends, because the outcome matters to the core.
func (x *race) openDirect() {
	conn, err := x.client.dial(x.r.Address)
	o := opened{conn: conn, err: err}
	// The outcome is reported before the connection is used: later reports must not precede it.
	x.client.observe(x.r.Key, o)
	x.results <- o
	if outcome(o) == core.ConnectTimedOut {
		x.client.closeSilent(x.r.poolKey())
	}
}

func (x *race) openThrough(relay core.Relay) {
	ctx, cancel := context.WithTimeout(x.ctx, relayTimeoutFactor*x.client.DialTimeout)
	defer cancel()
	conn, err := x.client.dialThrough(ctx, relay, x.r.Key)
	o := opened{conn: conn, relay: relay.Node, err: err}
	if !errors.Is(err, context.Canceled) {
		x.client.observe(x.r.Key, o)
	}
	x.results <- o
}

// closeOthers closes the connections that open after the race has ended. A relay that opens
// one after the request has ended is remembered.
func (x *race) closeOthers(won bool) {
	if won {
		x.cancel()
	}
	for ; x.pending > 0; x.pending-- {
		o := <-x.results
		if o.err != nil {
			continue
		}
		if !won {
			x.client.remember(x.r.poolKey(), o.relay)
		}
		// The connection is not used, so an error from closing it does not matter.
		_ = o.conn.Close()
	}
	x.cancel()
}

// dial opens a direct connection.
func (c *Client) dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1, LocalAddr: c.LocalAddr}
	return d.Dial("tcp", address)
}

// dialThrough opens a connection through a relay. If as many are open as may be, it closes the
// unused ones and tries once more.
func (c *Client) dialThrough(ctx context.Context, relay core.Relay, key string) (net.Conn, error) {
	conn, err := c.DialThrough(ctx, relay, core.EngineID(key))
	var tooMany *peer.TooManyRelayedError
	if !errors.As(err, &tooMany) {
		return conn, err
	}
	c.closeRelayed()
	return c.DialThrough(ctx, relay, core.EngineID(key))
}

// outcome returns how an attempt ended.
func outcome(o opened) core.ConnectOutcome {
	var relayed *peer.RelayError
	var network net.Error
	switch {
	case o.err == nil:
		return core.Connected
	case errors.As(o.err, &relayed):
		return relayed.Outcome
	case o.relay != "":
		return core.RelayUnanswered
	case errors.As(o.err, &network) && network.Timeout():
		return core.ConnectTimedOut
	case errors.Is(o.err, syscall.ECONNRESET):
		// It was open: one that is refused gives ECONNREFUSED.
		return core.ConnectBroken
	default:
		return core.ConnectFailed
	}
}

// ConnectError reports that a connection could be opened on no path.
type ConnectError struct {
	// Direct is the error of the direct connection; nil if none was tried.
	Direct error
	// Relayed are the errors of the relays.
	Relayed []error
}

// Error returns the messages of all errors.
func (e *ConnectError) Error() string { return errors.Join(e.Unwrap()...).Error() }

// Unwrap returns all errors.
func (e *ConnectError) Unwrap() []error {
	if e.Direct == nil {
		return e.Relayed
	}
	return append([]error{e.Direct}, e.Relayed...)
}

// PathFailed reports whether only relays were tried and none has said that it cannot reach
// the upstream, so that nothing is known of it.
func (e *ConnectError) PathFailed() bool {
	return e.Direct == nil && !slices.ContainsFunc(e.Relayed, func(err error) bool {
		var relayed *peer.RelayError
		return errors.As(err, &relayed) && relayed.Outcome == core.RelayFailed
	})
}
