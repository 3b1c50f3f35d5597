package world

import (
	"time"

	"daisyshed.dev/core"
)

// Caller is one request for a generated answer and what its caller saw of it.
type Caller struct {
	Request core.CallerRequest
	// Output is the true length of the answer.
	Output core.Tokens
	// Retries is how often the caller comes back after a refusal or a lost
	// connection.
	Retries int
	// Patience is how long the caller waits before it hangs up; zero waits
	// for ever.
	Patience time.Duration

	// Arrived is when the caller first asked, FirstAt and LastAt when tokens
	// came, in the caller's own view.
	Arrived core.Instant
	// AskedAt is when the caller first asked or last came back after a
	// refusal.
	AskedAt  core.Instant
	FirstAt  core.Instant
	LastAt   core.Instant
	Received core.Tokens
	// Refused counts refusals, Reason is that of the last.
	Refused int
	Reason  core.RejectionReason
	// RefusedAfter is the longest time that the caller waited for a refusal.
	RefusedAfter time.Duration
	// Done is set once the whole answer has arrived, Answers counts ends of
	// answers, Cancelled is set if the caller hung up, and GivenUp once no
	// retry is left.
	Done      bool
	Answers   int
	Cancelled bool
	GivenUp   bool
	// EndedAt is when one of these three came true.
	EndedAt core.Instant
	// Faults lists what was wrong with the answer.
	Faults []string

	// Deserted counts connections that the caller left without its node
	// noticing, Parallel the tokens that such a node still sent after another
	// had begun to answer for longer than parallelBound.
	Deserted int
	Parallel int

	world *World
	node  *node
	// beganAt is when the node of the present connection sent its first token.
	beganAt    core.Instant
	connection *connection
	// Nodes to try, in order; the caller moves on when one is lost.
	nodes []core.NodeID
	next  int
}

// connection is one connection of a caller; what was sent on an earlier one
// does not arrive any more.
type connection struct {
	caller *Caller
	closed bool
	// sent is the offset of the last token that the node sent on it.
	sent core.Tokens
}

func (c *Caller) fault(what string) { c.Faults = append(c.Faults, what) }

// Ask lets a caller ask the first of the given nodes now, and the others in
// turn when it has to come back.
func (w *World) Ask(c *Caller, nodes ...core.NodeID) {
	c.world = w
	c.Arrived = w.Now
	c.AskedAt = w.Now
	c.nodes = nodes
	if c.Patience > 0 {
		w.After(c.Patience, c.hangUp)
	}
	c.connect()
}

func (c *Caller) connect() {
	w := c.world
	if c.ended() {
		return
	}
	if c.connection != nil {
		c.connection.closed = true
	}
	conn := &connection{caller: c}
	c.connection = conn
	id := c.nodes[c.next%len(c.nodes)]
	m := c.Request
	m.Resumed = c.next > 0
	m.ResumeAfter = c.Received
	w.After(w.CallerDelay, func() {
		n, ok := w.nodes[id]
		if conn.closed {
			return
		}
		if !ok || n.stopped {
			w.After(w.CallerDelay, conn.broken)
			return
		}
		n.whenAwake(func() { n.accept(conn, m) })
	})
}

// accept takes in a request on a connection of its caller. The newest
// connection of a request replaces an earlier one.
func (n *node) accept(conn *connection, m core.CallerRequest) {
	if conn.closed {
		return
	}
	if n.stopped {
		n.world.After(n.world.CallerDelay, conn.broken)
		return
	}
	c := conn.caller
	c.node = n
	c.beganAt = 0
	conn.sent = m.ResumeAfter
	n.callers[m.Request] = conn
	n.receive(m)
}

// ended reports whether the caller wants nothing more.
func (c *Caller) ended() bool { return c.Done || c.Cancelled || c.GivenUp }

// deliver brings one token to the caller.
func (conn *connection) deliver(offset core.Tokens, last bool) {
	c := conn.caller
	c.world.After(c.world.CallerDelay, func() {
		if conn.closed || c.Cancelled {
			return
		}
		if c.Done {
			c.fault("a token came after the end")
			return
		}
		if offset != c.Received+1 {
			c.fault("a token was lost or repeated")
		}
		c.Received = offset
		c.LastAt = c.world.Now
		if c.FirstAt == 0 {
			c.FirstAt = c.world.Now
		}
		if last {
			c.finish()
		}
	})
}

func (c *Caller) finish() {
	c.Answers++
	c.Done = true
	c.EndedAt = c.world.Now
	if c.Received != c.Output {
		c.fault("the answer was cut short")
	}
}

// broken tells the caller that its connection was lost; it asks elsewhere.
func (conn *connection) broken() {
	c := conn.caller
	if conn.closed || c.ended() {
		return
	}
	conn.closed = true
	c.next++
	c.comeBack(reconnectAfter)
}

// reconnectAfter is how soon a caller asks again after a lost connection.
const reconnectAfter = 100 * time.Millisecond

func (c *Caller) comeBack(after time.Duration) {
	if c.Retries <= 0 {
		c.GivenUp = true
		c.EndedAt = c.world.Now
		return
	}
	c.Retries--
	c.world.After(after, c.connect)
}

// parallelBound is how long an entry that was deserted may go on unawares.
const parallelBound = time.Second

// noteParallel notes that a node sends a token to a caller, which may have
// gone to another node.
func (n *node) noteParallel(c *Caller) {
	now := n.world.Now
	if c.node == n {
		if c.beganAt == 0 {
			c.beganAt = now
		}
		return
	}
	if c.beganAt != 0 && now.Sub(c.beganAt) > parallelBound {
		c.Parallel++
		n.world.parallel(n, c)
	}
}

// lossNoticedAfter is when a node's writes to a connection that is no more
// begin to fail.
const lossNoticedAfter = 3 * time.Second

// Desert lets a caller lose its connection without its node noticing, and ask
// another node.
func (w *World) Desert(c *Caller) bool {
	if c.ended() || c.node == nil || len(c.nodes) < 2 {
		return false
	}
	c.Deserted++
	c.next++
	n, conn := c.node, c.connection
	w.After(lossNoticedAfter, func() { n.whenAwake(func() { n.callerGone(conn) }) })
	c.connect()
	return true
}

// hangUp lets the caller cancel.
func (c *Caller) hangUp() {
	if c.ended() {
		return
	}
	c.Cancelled = true
	c.EndedAt = c.world.Now
	c.connection.closed = true
	n := c.node
	if n == nil {
		return
	}
	conn := c.connection
	c.world.After(c.world.CallerDelay, func() { n.callerGone(conn) })
}

func (n *node) callerGone(conn *connection) {
	request := conn.caller.Request.Request
	if n.callers[request] != conn {
		return
	}
	n.disconnect(conn)
	delete(n.streams, request)
	n.receive(core.CallerDisconnected{Request: request})
}

func (n *node) disconnect(conn *connection) {
	request := conn.caller.Request.Request
	if n.callers[request] == conn {
		delete(n.callers, request)
	}
}

func (n *node) refuseCaller(m core.RejectRequest) {
	conn, ok := n.callers[m.Request]
	if !ok {
		return
	}
	c := conn.caller
	n.disconnect(conn)
	delete(n.streams, m.Request)
	n.world.After(n.world.CallerDelay, func() {
		if conn.closed || c.ended() {
			return
		}
		conn.closed = true
		c.Refused++
		c.Reason = m.Reason
		c.RefusedAfter = max(c.RefusedAfter, c.world.Now.Sub(c.AskedAt))
		c.next++
		c.AskedAt = c.world.Now.Add(m.RetryAfter)
		c.comeBack(m.RetryAfter)
	})
}
