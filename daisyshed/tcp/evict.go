package tcp

import "time"

// candidate is a connection that may be closed for another one's sake, and since when its client is
// silent.
type candidate struct {
	conn  *slotConn
	since time.Time
}

// longestSilent returns the connection whose client has been silent for longest, of those that match
// and may be closed; its conn is nil if there is none.
func (l *limitedListener) longestSilent(match func(*slotConn) bool) candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found candidate
	now := time.Now()
	for c := range l.open {
		if since, ok := c.silentSince(now, match); ok && (found.conn == nil || since.Before(found.since)) {
			found = candidate{c, since}
		}
	}
	return found
}

// closeSilent has the server close the connection whose client has been silent for longest, if there
// is one, and reports whether there is.
func (l *limitedListener) closeSilent(match func(*slotConn) bool) bool {
	found := l.longestSilent(match)
	return found.conn != nil && found.conn.evict(found.since)
}

// anyConn matches all connections, and holdsHead those that hold memory of a head beyond smallHead. The
// caller holds the connection's mutex.
func anyConn(*slotConn) bool     { return true }
func holdsHead(c *slotConn) bool { return c.headBytes > smallHead }

// silentSince returns since when the connection's client is silent; false if it is not, or its request
// is being served, or the connection does not match or is being closed.
func (c *slotConn) silentSince(now time.Time, match func(*slotConn) bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !match(c) {
		return time.Time{}, false
	}
	return c.silent(now)
}

// silent is silentSince for a caller that holds c.mu.
func (c *slotConn) silent(now time.Time) (time.Time, bool) {
	a := c.listener.admission
	switch {
	case c.interrupted || c.evicted || c.refused || c.closed.Load():
		return time.Time{}, false
	case c.phase == awaiting && !c.idleSince.IsZero():
		return c.idleSince, true
	case a == nil:
		return time.Time{}, false
	case c.phase == awaiting:
		return c.acceptedAt, now.Sub(c.acceptedAt) >= newSilence
	case c.phase == receivingHead || c.phase == receivingBody:
		if now.Sub(c.partBegan) >= a.maxPartTime() {
			return c.partBegan, true
		}
		return c.lastRead, now.Sub(c.lastRead) >= partSilence
	case !c.writeBegan.IsZero():
		return c.writeBegan, now.Sub(c.writeBegan) >= unreadSilence
	default:
		return time.Time{}, false
	}
}

// evict ends the connection, unless its client has gone on since. What is received of a request counts
// as not read, and an answer that is being written breaks off. A request that has arrived although none
// has been read is served.
func (c *slotConn) evict(since time.Time) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if still, ok := c.silent(now); !ok || !still.Equal(since) {
		return false
	}
	if c.phase != awaiting {
		c.evictLocked()
	} else if c.interruptLocked(); !c.idleSince.IsZero() {
		return true
	}
	c.listener.admission.report(&SilentError{Silent: now.Sub(since)})
	return true
}

// evictLocked ends a connection on which a part of a request was received. The caller holds c.mu.
func (c *slotConn) evictLocked() {
	c.evicted = true
	c.releaseHead()
	// If a deadline cannot be set, the connection is closed already.
	if c.phase == serving {
		_ = c.Conn.SetWriteDeadline(past)
	} else {
		_ = c.Conn.SetReadDeadline(past)
	}
}
