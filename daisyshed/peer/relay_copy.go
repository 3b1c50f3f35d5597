package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"daisyshed.dev/wire/http1"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// writeCheckInterval is how often a write to an upstream that does not read is interrupted to
// find out whether the other node has reset the stream.
const writeCheckInterval = 25 * time.Millisecond

// settleTime is how long after the last bytes of the other node more may come, if it is still sending a
// request.
const settleTime = 50 * time.Millisecond

// relayCopy copies the bytes between an upstream and a stream.
type relayCopy struct {
	upstream net.Conn
	stream   *yamux.Stream
	chunks   wire.ChunkReader
	// idle ends both directions when it fires.
	idle      *time.Timer
	idleAfter time.Duration
	aborted   atomic.Bool
	// requestedAt is how long after began bytes came from the other node last; zero if none have.
	// writing is set during a write to the upstream, and refused once one has failed.
	began            time.Time
	requestedAt      atomic.Int64
	writing, refused atomic.Bool
}

// relayedBytes are the bytes sent to and received from an upstream, and whether the connection to it
// broke.
type relayedBytes struct {
	sent, received int64
	brokenOff      bool
}

// copyRelayed copies bytes both ways until the other node closes the stream, or no bytes are
// sent for idleAfter. It closes the upstream's connection.
func copyRelayed(upstream net.Conn, stream *yamux.Stream, r *bufio.Reader, idleAfter time.Duration) relayedBytes {
	c := &relayCopy{upstream: upstream, stream: stream, chunks: wire.ChunkReader{Source: r}, idleAfter: idleAfter, began: time.Now()}
	c.idle = time.AfterFunc(idleAfter, c.abort)
	defer c.idle.Stop()
	done := make(chan relayedBytes, 1)
	go func() { done <- c.fromUpstream() }()
	sent := c.toUpstream()
	// This ends the other direction, which may wait for either side. Neither is used again.
	_ = upstream.Close()
	_ = stream.SetWriteDeadline(past)
	b := <-done
	b.sent = sent
	return b
}

// abort ends both directions.
func (c *relayCopy) abort() {
	c.aborted.Store(true)
	// Neither side is used again. Setting the deadlines of a stream cannot fail.
	_ = c.upstream.Close()
	_ = c.stream.SetDeadline(past)
}

// toUpstream copies to the upstream until the stream ends, and returns the bytes copied. Once
// the upstream takes no more, the rest is discarded; its answer may still be on the way. So it may
// be once the other node has closed its side.
func (c *relayCopy) toUpstream() int64 {
	buffer := make([]byte, wire.MaxChunkBytes)
	sent, takes := int64(0), true
	for {
		n, err := c.chunks.Read(buffer)
		if n > 0 {
			c.requestedAt.Store(int64(time.Since(c.began)))
		}
		if n > 0 && takes {
			c.idle.Reset(c.idleAfter)
			c.writing.Store(true)
			var w int
			w, takes = c.write(buffer[:n])
			sent += int64(w)
			c.refused.Store(!takes)
			c.writing.Store(false)
		}
		if err == io.EOF && !c.aborted.Load() {
			c.closeWrite()
			return sent
		}
		if err != nil || c.aborted.Load() {
			return sent
		}
	}
}

// closeWrite closes the relay's side of the upstream's connection and waits until the stream ends.
func (c *relayCopy) closeWrite() {
	if half, ok := c.upstream.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	// What ends the stream does not matter.
	_, _ = io.Copy(io.Discard, c.chunks.Source)
}

// write writes to the upstream, and reports whether the upstream takes more.
func (c *relayCopy) write(p []byte) (int, bool) {
	written := 0
	for written < len(p) {
		if err := c.upstream.SetWriteDeadline(time.Now().Add(writeCheckInterval)); err != nil {
			return written, false
		}
		n, err := c.upstream.Write(p[written:])
		written += n
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || c.isReset()) {
			return written, false
		}
	}
	return written, true
}

// isReset reports whether the stream was reset by the other node or has ended with its session.
// Bytes that were received but not read do not hide that.
func (c *relayCopy) isReset() bool {
	if c.stream.Session().IsClosed() {
		return true
	}
	// Setting the deadline of a stream cannot fail. A read into nothing takes no bytes.
	_ = c.stream.SetReadDeadline(past)
	_, err := c.stream.Read(nil)
	_ = c.stream.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, yamux.ErrTimeout)
}

// delivered reports whether the upstream, which has closed its side, had received all that the other
// node sends. Otherwise the end of its answer may be that of a connection that it broke off: a reset is
// reported to only one of the socket's reader and its writer.
func (c *relayCopy) delivered() bool {
	latest := c.requestedAt.Load()
	if latest == 0 {
		return true
	}
	time.Sleep(time.Duration(latest) + settleTime - time.Since(c.began))
	return c.requestedAt.Load() == latest && !c.writing.Load() && !c.refused.Load() && !http1.Unacknowledged(c.upstream)
}

// fromUpstream copies from the upstream until it closes or breaks the connection, marks the
// end as one of both, and returns what was received.
func (c *relayCopy) fromUpstream() (b relayedBytes) {
	buffer := make([]byte, wire.MaxChunkBytes)
	chunk := make([]byte, 0, wire.ChunkHeaderBytes+wire.MaxChunkBytes)
	for {
		n, err := c.upstream.Read(buffer)
		if n > 0 {
			c.idle.Reset(c.idleAfter)
			b.received += int64(n)
			if _, err := c.stream.Write(wire.AppendChunk(chunk[:0], buffer[:n])); err != nil {
				// Without the end of the stream, the other node would wait for what is lost.
				c.abort()
				return b
			}
		}
		if err != nil {
			// If the write fails, the other node sees that the stream ends without a mark.
			_, _ = c.stream.Write(wire.AppendChunkEnd(chunk[:0], err == io.EOF && c.delivered()))
			b.brokenOff = err != io.EOF && !errors.Is(err, net.ErrClosed)
			return b
		}
	}
}
