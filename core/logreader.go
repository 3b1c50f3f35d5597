package core

import "time"

// logReader reads one stream of the log. It has at most one read in flight:
// every ReadLog is answered by one LogRead or LogReadFailed.
type logReader struct {
	stream StreamID
	// cursor is the offset after which the next read starts.
	cursor    Offset
	inFlight  bool
	sentAt    Instant
	reachable bool
	// caughtUp is set once a read reached the stream's end.
	caughtUp  bool
	retention time.Duration
	clock     logClock
}

// poll starts a read unless one is in flight.
func (r *logReader) poll(n *Node) {
	if r.inFlight {
		return
	}
	r.inFlight = true
	r.sentAt = n.now
	n.do(ReadLog{Stream: r.stream, After: r.cursor})
}

// readSucceeded handles everything in an answer except its records.
func (r *logReader) readSucceeded(n *Node, m LogRead) {
	r.inFlight = false
	r.reachable = true
	r.retention = m.Retention
	r.clock = logClock{reading: m.Now, sentAt: r.sentAt, answeredAt: n.now, valid: true}
}

func (r *logReader) readFailed() {
	r.inFlight = false
	r.reachable = false
}

// logClock gives bounds on the log's clock between reads. The log read its
// clock between the sending of the request and the arrival of the answer.
type logClock struct {
	reading    int64
	sentAt     Instant
	answeredAt Instant
	valid      bool
}

// earliest returns a lower bound of the log's clock at now.
func (c logClock) earliest(now Instant) int64 { return c.reading + int64(now.Sub(c.answeredAt)) }

// latest returns an upper bound of the log's clock at now.
func (c logClock) latest(now Instant) int64 { return c.reading + int64(now.Sub(c.sentAt)) }
