package upstream

import (
	"net"
	"slices"
	"time"

	"daisyshed.dev/core"
)

const (
	// directWait is how long a direct connection may take to open before one through a
	// relay is tried too.
	directWait = 100 * time.Millisecond
	// relayWait is how long a relay may take before the next one is tried too.
	relayWait = 150 * time.Millisecond
	// relayTimeoutFactor is how many times longer than a direct connection one through a
	// relay may take, as both nodes open a connection.
	relayTimeoutFactor = 2
	// maxRelayFailures is how many relays may fail to reach an upstream before no more are
	// tried.
	maxRelayFailures = 2
	// maxIdleRelayed bounds the unused connections kept to one upstream if another one that goes
	// through a relay is to be kept. They take memory of both nodes.
	maxIdleRelayed = 4
	// rememberPath is how long a relay that reached an upstream is tried without waiting for a
	// direct connection.
	rememberPath = 2 * time.Second
)

// relayPath is the relay through which an upstream was reached.
type relayPath struct {
	relay core.NodeID
	until time.Time
}

// UseRelays sets the nodes through which connections are opened. Unused connections on other
// paths are closed. It does not block.
func (c *Client) UseRelays(u core.UseRelays) {
	c.mu.Lock()
	defer c.mu.Unlock()
	healed := c.relays.First && !u.First
	c.relays = core.UseRelays{Relays: slices.Clone(u.Relays), First: u.First}
	c.closeIdle(func(_ string, cn *conn) bool { return healed && cn.relay != "" || !c.allowed(cn) })
}

// full reports whether no more connections like this one are kept to an upstream. The caller
// holds c.mu.
func (c *Client) full(key string, cn *conn) bool {
	if cn.relay == "" {
		return len(c.idle[key]) >= maxIdleConns
	}
	return len(c.idle[key]) >= maxIdleRelayed
}

// allowed reports whether a connection may be kept for reuse. The caller holds c.mu.
func (c *Client) allowed(cn *conn) bool {
	if cn.relay == "" {
		return !c.relays.First
	}
	return slices.ContainsFunc(c.relays.Relays, func(r core.Relay) bool { return r.Node == cn.relay })
}

// closeIdle closes the unused connections that match. The caller holds c.mu.
func (c *Client) closeIdle(match func(key string, cn *conn) bool) {
	for key, list := range c.idle {
		c.idle[key] = slices.DeleteFunc(list, func(cn *conn) bool {
			if !match(key, cn) {
				return false
			}
			// The connection is discarded, so an error from closing it does not matter.
			_ = cn.Close()
			return true
		})
		if len(c.idle[key]) == 0 {
			delete(c.idle, key)
		}
	}
}

// closeSilent closes the unused direct connections to an upstream to which no new one opens
// in time.
func (c *Client) closeSilent(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle(func(k string, cn *conn) bool { return k == key && cn.relay == "" })
}

// closeRelayed closes the unused connections that go through relays.
func (c *Client) closeRelayed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle(func(_ string, cn *conn) bool { return cn.relay != "" })
}

// plan is how a connection is to be opened.
type plan struct {
	direct bool
	relays []core.Relay
	// together says that the first relay is tried without waiting for the direct connection.
	together bool
}

// plan returns how the connection for a request is to be opened.
func (c *Client) plan(r *Request) plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Direct || c.DialThrough == nil || len(c.relays.Relays) == 0 {
		return plan{direct: true}
	}
	p := plan{direct: !c.relays.First, relays: slices.Clone(c.relays.Relays), together: c.relays.First}
	if known, ok := c.known[r.poolKey()]; ok && time.Now().Before(known.until) {
		p.together = true
		i := slices.IndexFunc(p.relays, func(r core.Relay) bool { return r.Node == known.relay })
		if i > 0 {
			p.relays[0], p.relays[i] = p.relays[i], p.relays[0]
		}
	}
	return p
}

// remember records the path on which an upstream was reached.
func (c *Client) remember(key string, relay core.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if relay == "" {
		delete(c.known, key)
		return
	}
	if c.known == nil {
		c.known = map[string]relayPath{}
	}
	c.known[key] = relayPath{relay: relay, until: time.Now().Add(rememberPath)}
}

// opened is the outcome of an attempt to open a connection. relay is empty for a direct one.
type opened struct {
	conn  net.Conn
	relay core.NodeID
	err   error
}
