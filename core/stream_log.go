package core

import (
	"slices"
	"time"
)

const (
	// streamLoggers is how many of the nodes that read the upstreams append the origins of streams
	// to the store on behalf of all.
	streamLoggers = 3
	// streamLogEvery is the least time between two notifications of these, and streamAppendEvery
	// between two appends. A failed append is repeated after streamAppendRetry, up to
	// streamAppendTimeout after the origins came.
	streamLogEvery      = 100 * time.Millisecond
	streamAppendEvery   = 100 * time.Millisecond
	streamAppendRetry   = 300 * time.Millisecond
	streamAppendTimeout = 5 * time.Second
	// maxStreamAppend is how many streams are appended at once.
	maxStreamAppend = 1 << 14
)

// StreamOrigins names the streams that a version of a service has begun.
type StreamOrigins struct {
	ServiceVersion
	Streams []StreamKey
}

// AppendStreams appends origins of streams to a log in the store. When all nodes have died at
// once, it is the only record of which version began a stream.
type AppendStreams struct{ Origins []StreamOrigins }

// StreamsAppended answers AppendStreams.
type StreamsAppended struct{ Failed bool }

// ReadStreams reads the log of the origins of streams from where the last read has ended.
type ReadStreams struct{ Started Instant }

// StreamsRead answers ReadStreams with all origins up to the end of the log. If Failed is set, the
// end was not reached.
type StreamsRead struct {
	Started Instant
	Origins []StreamOrigins
	Failed  bool
}

func (AppendStreams) isCommand()   {}
func (StreamsAppended) isMessage() {}
func (ReadStreams) isCommand()     {}
func (StreamsRead) isMessage()     {}

// pendingStream is a stream that is to be appended.
type pendingStream struct {
	stream StreamKey
	origin ServiceVersion
	since  Instant
}

// streamLog appends the origins of streams to the store, on nodes that do so for all, and reads
// them there, on nodes that need one.
type streamLog struct {
	// outbox are streams of which the loggers have not been notified.
	outbox         map[ServiceVersion][]StreamKey
	flushScheduled bool
	flushedAt      Instant
	// pending are the streams to append, and appending those of the append in flight.
	pending, appending []pendingStream
	appendScheduled    bool
	appendedAt         Instant
	fresh              freshness
	// reading is when the read in flight was started; zero if there is none.
	reading Instant
}

func (l *streamLog) start() { l.outbox = map[ServiceVersion][]StreamKey{} }

// loggers returns the nodes that append the origins of streams on behalf of all.
func (n *Node) loggers() []NodeID {
	ids := slices.Clone(n.acceptingNodes())
	byScore(ids, feedReaderKey)
	return ids[:min(streamLoggers, len(ids))]
}

// report notifies the loggers soon of a stream.
func (l *streamLog) report(n *Node, origin ServiceVersion, stream StreamKey) {
	l.outbox[origin] = append(l.outbox[origin], stream)
	if !l.flushScheduled {
		l.flushScheduled = true
		n.afterFunc(n.untilNext(l.flushedAt, streamLogEvery), func(n *Node) { l.flush(n) })
	}
}

// flush notifies the loggers.
func (l *streamLog) flush(n *Node) {
	l.flushScheduled, l.flushedAt = false, n.now
	for _, o := range sortedVersions(l.outbox) {
		for _, id := range n.loggers() {
			n.send(id, StreamsBegun{Service: o.Service, Version: o.Version, Streams: l.outbox[o], Log: true})
		}
	}
	clear(l.outbox)
}

// add queues streams to be appended. The oldest are dropped beyond maxStreams.
func (l *streamLog) add(n *Node, origin ServiceVersion, streams []StreamKey) {
	for _, stream := range streams {
		l.pending = append(l.pending, pendingStream{stream: stream, origin: origin, since: n.now})
	}
	if excess := len(l.pending) - maxStreams; excess > 0 {
		l.drop(n, excess)
	}
	l.scheduleAppend(n, n.untilNext(l.appendedAt, streamAppendEvery))
}

// drop drops the oldest streams that wait to be appended.
func (l *streamLog) drop(n *Node, count int) {
	l.pending = slices.Delete(l.pending, 0, count)
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "streams-not-logged", Tokens: Tokens(count)}})
}

func (l *streamLog) scheduleAppend(n *Node, after time.Duration) {
	if l.appendScheduled || l.appending != nil || len(l.pending) == 0 {
		return
	}
	l.appendScheduled = true
	n.afterFunc(after, func(n *Node) {
		l.appendScheduled = false
		l.append(n)
	})
}

// append starts an append of the streams that wait.
func (l *streamLog) append(n *Node) {
	expired := 0
	for expired < len(l.pending) && n.now.Sub(l.pending[expired].since) > streamAppendTimeout {
		expired++
	}
	if expired > 0 {
		l.drop(n, expired)
	}
	count := min(len(l.pending), maxStreamAppend)
	if count == 0 {
		return
	}
	l.appendedAt = n.now
	l.appending, l.pending = slices.Clone(l.pending[:count]), slices.Delete(l.pending, 0, count)
	byOrigin := map[ServiceVersion][]StreamKey{}
	for _, p := range l.appending {
		byOrigin[p.origin] = append(byOrigin[p.origin], p.stream)
	}
	var c AppendStreams
	for _, o := range sortedVersions(byOrigin) {
		c.Origins = append(c.Origins, StreamOrigins{ServiceVersion: o, Streams: byOrigin[o]})
	}
	n.do(c)
}

// handleAppended handles the end of an append. A failed one may have taken effect; its streams are
// appended again, as the first origin that is read counts.
func (l *streamLog) handleAppended(n *Node, m StreamsAppended) {
	after := n.untilNext(l.appendedAt, streamAppendEvery)
	if m.Failed {
		after = streamAppendRetry
		l.pending = append(l.appending, l.pending...)
	}
	l.appending = nil
	l.scheduleAppend(n, after)
}

// readAfter calls then once this node has read all origins that the log held at an instant, or
// with read unset if that failed or timeout has passed.
func (l *streamLog) readAfter(n *Node, at Instant, timeout time.Duration, then func(n *Node, read bool)) {
	if l.fresh.await(n, at, timeout, then) {
		l.read(n)
	}
}

// read starts a read if one is waited for and none is in flight.
func (l *streamLog) read(n *Node) {
	if l.reading == 0 && len(l.fresh.waiting) > 0 {
		l.reading = n.now
		n.do(ReadStreams{Started: n.now})
	}
}

// handleStreamsRead keeps the origins that a read has returned.
func (s *forwards) handleStreamsRead(n *Node, m StreamsRead) {
	v := &s.versions
	for _, o := range m.Origins {
		for _, stream := range o.Streams {
			v.keepLogged(n, stream, o.ServiceVersion)
		}
	}
	v.log.reading = 0
	v.log.fresh.readEnded(n, m.Started, !m.Failed)
	v.log.read(n)
}
