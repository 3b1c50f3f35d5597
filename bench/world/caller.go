package world

import (
	"time"

	"daisyshed.dev/core"
)

// Caller is a caller's request for a generated answer, with what the caller
// received for it.
type Caller struct {
	Request core.CallerRequest
	// Output is the actual length of the answer.
	Output core.Tokens
	// Retries is how many retries the caller has left after a rejection or a
	// lost connection.
	Retries int
	// CancelAfter is how long after its arrival the caller cancels the request;
	// zero means never.
	CancelAfter time.Duration

	// FirstAttemptAt is when the caller first sent the request.
	FirstAttemptAt core.Instant
	// LastAttemptAt equals FirstAttemptAt at first. Each rejection sets it to the
	// time at which the retry is due; retries after a lost connection do not change
	// it.
	LastAttemptAt core.Instant
	// FirstTokenAt and LastTokenAt are when the first and the last token reached
	// the caller, and Received is the number of tokens that did.
	FirstTokenAt core.Instant
	LastTokenAt  core.Instant
	Received     core.Tokens
	// Refused counts rejections, and Reason is the reason of the last one.
	Refused int
	Reason  core.RejectionReason
	// RefusedAfter is the longest time from LastAttemptAt to a rejection.
	RefusedAfter time.Duration
	// Done is set once the whole answer has arrived, Cancelled if the caller
	// cancelled, and GivenUp if the caller needed a retry and had none left.
	// Answers counts the ends of streams that the caller received.
	Done      bool
	Answers   int
	Cancelled bool
	GivenUp   bool
	// EndedAt is when Done, Cancelled or GivenUp was set.
	EndedAt core.Instant
	// Faults describes the errors found in the answer.
	Faults []string

	// Abandoned counts connections that the caller left without the node
	// noticing. ParallelTokens counts the tokens that such a node still sent
	// when another node had been answering for longer than parallelBound.
	Abandoned      int
	ParallelTokens int

	world *World
	node  *node
	// streamingSince is when the node of the current connection sent the first
	// token on it.
	streamingSince core.Instant
	connection     *connection
	// nodes are tried in order. The caller goes on to the next one after a lost
	// connection or a rejection, and starts again after the last. nodeIndex is
	// taken modulo their number.
	nodes     []core.NodeID
	nodeIndex int
}

// connection is a connection from a caller to a node. Tokens sent on a closed
// connection do not reach the caller.
type connection struct {
	caller *Caller
	closed bool
	// sent is the offset of the last token that the node sent.
	sent core.Tokens
}

// addFault records an error in the answer.
func (c *Caller) addFault(what string) { c.Faults = append(c.Faults, what) }

// SendRequest sends a caller's request to the first of the given nodes now.
// Retries go to the other nodes in turn.
func (w *World) SendRequest(c *Caller, nodes ...core.NodeID) {
	c.world = w
	c.FirstAttemptAt = w.Now
	c.LastAttemptAt = w.Now
	c.nodes = nodes
	if c.CancelAfter > 0 {
		w.After(c.CancelAfter, c.cancel)
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
	id := c.nodes[c.nodeIndex%len(c.nodes)]
	m := c.Request
	m.Resumed = c.nodeIndex > 0
	m.ResumeAfter = c.Received
	w.After(w.CallerDelay, func() {
		n, ok := w.nodes[id]
		if conn.closed {
			return
		}
		if !ok || n.stopped {
			w.After(w.CallerDelay, conn.handleLoss)
			return
		}
		n.whenNotFrozen(func() { n.accept(conn, m) })
	})
}

// accept handles a request that arrives on a connection. The newest connection
// of a request replaces an earlier one.
func (n *node) accept(conn *connection, m core.CallerRequest) {
	if conn.closed {
		return
	}
	if n.stopped {
		n.world.After(n.world.CallerDelay, conn.handleLoss)
		return
	}
	c := conn.caller
	c.node = n
	c.streamingSince = 0
	conn.sent = m.ResumeAfter
	n.callers[m.Request] = conn
	n.receive(m)
}

// ended reports whether the caller is done, has cancelled or has given up.
func (c *Caller) ended() bool { return c.Done || c.Cancelled || c.GivenUp }

// deliver sends a token to the caller and checks that it is the next one when it
// arrives.
func (conn *connection) deliver(offset core.Tokens, last bool) {
	c := conn.caller
	c.world.After(c.world.CallerDelay, func() {
		if conn.closed || c.Cancelled {
			return
		}
		if c.Done {
			c.addFault("a token came after the end")
			return
		}
		if offset != c.Received+1 {
			c.addFault("a token was lost or repeated")
		}
		c.Received = offset
		c.LastTokenAt = c.world.Now
		if c.FirstTokenAt == 0 {
			c.FirstTokenAt = c.world.Now
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
		c.addFault("the answer was cut short")
	}
}

// handleLoss closes a lost connection and makes the caller retry at the next
// node.
func (conn *connection) handleLoss() {
	c := conn.caller
	if conn.closed || c.ended() {
		return
	}
	conn.closed = true
	c.nodeIndex++
	c.retryAfter(reconnectDelay)
}

// reconnectDelay is how long a caller waits after a lost connection before it
// retries.
const reconnectDelay = 100 * time.Millisecond

// retryAfter connects again after a delay, or gives up if no retry is left.
func (c *Caller) retryAfter(after time.Duration) {
	if c.Retries <= 0 {
		c.GivenUp = true
		c.EndedAt = c.world.Now
		return
	}
	c.Retries--
	c.world.After(after, c.connect)
}

// parallelBound is how long an entry node whose caller has gone to another node
// may go on streaming without having learned of it.
const parallelBound = time.Second

// countParallelToken is called for each token that a node sends to a caller. It
// counts and reports the token if the caller has been answered by another node
// for longer than parallelBound.
func (n *node) countParallelToken(c *Caller) {
	now := n.world.Now
	if c.node == n {
		if c.streamingSince == 0 {
			c.streamingSince = now
		}
		return
	}
	if c.streamingSince != 0 && now.Sub(c.streamingSince) > parallelBound {
		c.ParallelTokens++
		n.world.reportParallelToken(n, c)
	}
}

// lossDetectionDelay is how long after a caller has abandoned a connection the
// node's writes to it begin to fail.
const lossDetectionDelay = 3 * time.Second

// AbandonConnection makes a caller reconnect to the next node. The previous node
// does not notice until lossDetectionDelay has passed. It returns false if the
// caller has ended, has not reached a node yet or has no other node to try.
func (w *World) AbandonConnection(c *Caller) bool {
	if c.ended() || c.node == nil || len(c.nodes) < 2 {
		return false
	}
	c.Abandoned++
	c.nodeIndex++
	n, conn := c.node, c.connection
	w.After(lossDetectionDelay, func() { n.whenNotFrozen(func() { n.handleCallerGone(conn) }) })
	c.connect()
	return true
}

// cancel ends the caller's request and closes its connection.
func (c *Caller) cancel() {
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
	c.world.After(c.world.CallerDelay, func() { n.handleCallerGone(conn) })
}

// handleCallerGone ends the stream of a caller whose connection is closed and
// notifies the core. It does nothing if a newer connection has replaced this one.
func (n *node) handleCallerGone(conn *connection) {
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

func (n *node) rejectRequest(m core.RejectRequest) {
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
		c.RefusedAfter = max(c.RefusedAfter, c.world.Now.Sub(c.LastAttemptAt))
		c.nodeIndex++
		c.LastAttemptAt = c.world.Now.Add(m.RetryAfter)
		c.retryAfter(m.RetryAfter)
	})
}
