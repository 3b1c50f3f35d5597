package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
)

const (
	// failurePause is the least time between two reports of the same failure, and
	// successPause between two that the same relay reaches the same upstream.
	failurePause = 200 * time.Millisecond
	successPause = time.Second
	// answerTimeout is how long the upstream may take to close a probe's connection.
	answerTimeout = 200 * time.Millisecond
)

// observedPath is a path to an upstream.
type observedPath struct {
	key   string
	relay core.NodeID
}

// observation is the last report on a path.
type observation struct {
	outcome core.ConnectOutcome
	at      time.Time
}

// pathState is what is known of direct connections.
type pathState int

const (
	// working means that the last report was a success.
	working pathState = iota
	// notOpening means that it was of a connection that did not open, and notAnswering of one
	// that opened.
	notOpening
	notAnswering
)

// Probe opens a connection, has the upstream close it and reports the outcome. It does not block.
func (c *Client) Probe(p core.ProbeUpstream) {
	go func() {
		o := c.openProbe(p)
		result := outcome(o)
		if result == core.Connected {
			result = c.awaitClose(o.conn)
		}
		if o.relay == "" {
			c.mu.Lock()
			c.direct = stateAfter(result)
			c.mu.Unlock()
		}
		c.report(string(p.Engine), o.relay, result)
	}()
}

// awaitClose closes this side of a connection and waits until the other side does.
func (c *Client) awaitClose(cn net.Conn) core.ConnectOutcome {
	// The connection carries nothing else, so an error from closing it does not matter.
	defer cn.Close()
	half, ok := cn.(interface{ CloseWrite() error })
	if !ok || cn.SetDeadline(time.Now().Add(answerTimeout)) != nil {
		return core.Unanswered
	}
	// A connection that has been reset cannot be closed on one side; the read returns the reset.
	_ = half.CloseWrite()
	switch n, err := cn.Read(make([]byte, 1)); {
	case n > 0 || errors.Is(err, io.EOF):
		return core.Answered
	case errors.Is(err, syscall.ECONNRESET):
		return core.ConnectBroken
	default:
		return core.Unanswered
	}
}

func stateAfter(outcome core.ConnectOutcome) pathState {
	switch outcome {
	case core.Connected, core.Answered:
		return working
	case core.Unanswered, core.ConnectBroken:
		return notAnswering
	default:
		return notOpening
	}
}

func (c *Client) openProbe(p core.ProbeUpstream) opened {
	if p.Relay.Node == "" {
		conn, err := c.dial(p.Address)
		return opened{conn: conn, err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeoutFactor*c.DialTimeout)
	defer cancel()
	conn, err := c.dialThrough(ctx, p.Relay, string(p.Engine))
	return opened{conn: conn, relay: p.Relay.Node, err: err}
}

// observe reports how an attempt ended, unless the core knows that already.
func (c *Client) observe(key string, o opened) {
	if !localError(o.err) && c.isNews(observedPath{key: key, relay: o.relay}, outcome(o)) {
		c.report(key, o.relay, outcome(o))
	}
}

// observeAnswer reports that the first response was received on a direct connection, unless the core
// knows that already. Later responses prove nothing about new connections.
func (c *Client) observeAnswer(key string, cn *conn) {
	first := !cn.answered
	cn.answered = true
	if first && cn.relay == "" && c.isNews(observedPath{key: key}, core.Answered) {
		c.report(key, "", core.Answered)
	}
}

func (c *Client) report(key string, relay core.NodeID, outcome core.ConnectOutcome) {
	if c.OnConnection != nil {
		c.OnConnection(core.ConnectionObserved{Engine: core.EngineID(key), Relay: relay, Outcome: outcome})
	}
}

// localError reports whether this node lacks what a connection takes, which says nothing of
// any path.
func localError(err error) bool {
	var tooMany *peer.TooManyRelayedError
	if errors.As(err, &tooMany) {
		return true
	}
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// isNews reports whether an outcome is to be reported, and records that it is. A direct
// success is news only after a failure, of any upstream; a connection that opens only after one
// that did not.
func (c *Client) isNews(path observedPath, outcome core.ConnectOutcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	success := stateAfter(outcome) == working
	if path.relay == "" && success {
		news := c.direct == notOpening || c.direct == notAnswering && outcome == core.Answered
		if news {
			c.direct = working
		}
		return news
	}
	pause := failurePause
	if success {
		pause = successPause
	}
	last, ok := c.observed[path]
	if ok && last.outcome == outcome && time.Since(last.at) < pause {
		return false
	}
	if c.observed == nil {
		c.observed = map[observedPath]observation{}
	}
	c.observed[path] = observation{outcome: outcome, at: time.Now()}
	if path.relay == "" {
		c.direct = max(c.direct, stateAfter(outcome))
	}
	return true
}

// forgetPaths forgets what is too old to matter. The caller holds c.mu.
func (c *Client) forgetPaths() {
	now := time.Now()
	for key, known := range c.known {
		if now.After(known.until) {
			delete(c.known, key)
		}
	}
	for path, o := range c.observed {
		if now.Sub(o.at) > successPause {
			delete(c.observed, path)
		}
	}
}
