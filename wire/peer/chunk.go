package peer

import (
	"encoding/binary"
	"io"
	"syscall"
)

const (
	// MaxChunkBytes is the maximum number of bytes in one chunk.
	MaxChunkBytes = 16 << 10
	// ChunkHeaderBytes is the size of the header of a chunk.
	ChunkHeaderBytes = 2
	// A header is the number of bytes that follow, or one of these two, which no chunk follows.
	chunkEnd    = 0
	chunkBroken = 0xffff
)

// BrokenOffError reports that the relayed connection broke at the far end of the relay. It is
// distinct from a failure of the relay.
type BrokenOffError struct{}

// Error returns the message.
func (BrokenOffError) Error() string { return "peer: relayed connection broken off by the upstream" }

// Is reports whether target says that a connection was reset.
func (BrokenOffError) Is(target error) bool { return target == syscall.ECONNRESET }

// AppendChunk appends a chunk with the bytes p, at least one and at most MaxChunkBytes.
func AppendChunk(b, p []byte) []byte {
	return append(binary.BigEndian.AppendUint16(b, uint16(len(p))), p...)
}

// AppendChunkEnd appends the mark that no bytes follow: the connection was closed if
// whole is set, and broken otherwise.
func AppendChunkEnd(b []byte, whole bool) []byte {
	if whole {
		return binary.BigEndian.AppendUint16(b, chunkEnd)
	}
	return binary.BigEndian.AppendUint16(b, chunkBroken)
}

// ChunkReader reads the bytes of a relayed connection from chunks. Its exported field is set
// before the first use.
type ChunkReader struct {
	Source io.Reader

	// left is the number of bytes of the current chunk that have not been read.
	left int
	end  error
}

// Read returns io.EOF after the mark that the connection was closed, a [BrokenOffError] after
// the mark that it was broken, and io.ErrUnexpectedEOF if the source ends without a mark.
func (c *ChunkReader) Read(p []byte) (int, error) {
	if c.end != nil || len(p) == 0 {
		return 0, c.end
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.Source.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Partial reports whether a chunk has been read in part, or the last one whole.
func (c *ChunkReader) Partial() bool { return c.left > 0 || c.end != nil }

// readHeader reads the header of a chunk. It may read a part of it if the source fails, so
// that no read may follow then.
func (c *ChunkReader) readHeader() error {
	var header [ChunkHeaderBytes]byte
	_, err := io.ReadFull(c.Source, header[:])
	size := binary.BigEndian.Uint16(header[:])
	switch {
	case err == io.EOF:
		c.end = io.ErrUnexpectedEOF
	case err != nil:
		c.end = err
	case size == chunkEnd:
		c.end = io.EOF
	case size == chunkBroken:
		c.end = BrokenOffError{}
	case size > MaxChunkBytes:
		c.end = &FrameTooLargeError{Size: int(size), Limit: MaxChunkBytes}
	}
	c.left = int(size)
	return c.end
}
