package upstream

import (
	"context"
	"errors"
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

// Probe opens a connection, closes it and reports the outcome. It does not block.
func (c *Client) Probe(p core.ProbeUpstream) {
	go func() {
		o := c.openProbe(p)
		if o.err == nil {
			// The connection is not used, so an error from closing it does not matter.
			_ = o.conn.Close()
		}
		if o.relay == "" {
			c.mu.Lock()
			c.directFailing = o.err != nil
			c.mu.Unlock()
		}
		c.report(string(p.Engine), o)
	}()
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

// observe reports how an attempt ended, unless that tells the core nothing new.
func (c *Client) observe(key string, o opened) {
	if !localError(o.err) && c.isNews(observedPath{key: key, relay: o.relay}, outcome(o)) {
		c.report(key, o)
	}
}

func (c *Client) report(key string, o opened) {
	if c.OnConnection != nil {
		c.OnConnection(core.ConnectionObserved{Engine: core.EngineID(key), Relay: o.relay, Outcome: outcome(o)})
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
// success is news only after a failure, of any upstream.
func (c *Client) isNews(path observedPath, outcome core.ConnectOutcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if path.relay == "" && outcome == core.Connected {
		news := c.directFailing
		c.directFailing = false
		return news
	}
	pause := failurePause
	if outcome == core.Connected {
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
		c.directFailing = true
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
