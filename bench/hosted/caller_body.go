package hosted

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// maxAnswer bounds the part of an answer's body that a caller keeps, in bytes. The rest
	// is read and dropped.
	maxAnswer = 64 << 10
	// fastBody is the length up to which a caller reads a body as fast as it arrives, in
	// bytes. After that it pauses for slowRead before each read of at most slowReadSize
	// bytes, so that a body without end does not occupy the machine.
	fastBody     = 4 << 20
	slowRead     = 5 * time.Millisecond
	slowReadSize = 32 << 10
)

// readBody reads a body to its end and returns its first maxAnswer bytes, which is more
// than any upstream's answer has.
func readBody(r io.Reader) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	if err != nil || len(start) < maxAnswer {
		return start, err
	}
	buffer := make([]byte, slowReadSize)
	for read := len(start); ; {
		n, err := r.Read(buffer)
		switch {
		case err == io.EOF:
			return start, nil
		case err != nil:
			return start, err
		}
		if read += n; read > fastBody {
			time.Sleep(slowRead)
		}
	}
}

// endingOf returns how an attempt ended whose answer broke off with an error.
func endingOf(err error) ending {
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return left
	}
	return cut
}

// brokenOff reports whether an error is that of a connection that ended, and not that of
// bytes that are no answer.
func brokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
