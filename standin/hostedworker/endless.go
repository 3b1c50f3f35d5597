package hostedworker

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// endlessBlock is the size of the writes that send bytes without end.
const endlessBlock = 64 << 10

// manyHeadersBytes is the size of a head with many header fields. It is near the limit of most clients.
const manyHeadersBytes = 48 << 10

// setManyHeaders sets header fields with short names.
func setManyHeaders(h http.Header) {
	for i, size := 0, 0; size < manyHeadersBytes; i++ {
		name := fmt.Sprintf("X%x", i)
		h[name] = []string{""}
		size += len(name) + len(": \r\n")
	}
}

// sendEndless sends bytes without end, as fast as the caller reads them, until the
// connection is closed.
func sendEndless(rw http.ResponseWriter, fault Fault) {
	filler := bytes.Repeat([]byte("x"), endlessBlock)
	switch fault {
	case EndlessStatusLine:
		sendEndlessHead(rw, "HTTP/1.1 200 ", filler)
	case EndlessHeaderLine:
		sendEndlessHead(rw, "HTTP/1.1 200 OK\r\nAttempt-Note: ", filler)
	case EndlessHeaders:
		sendEndlessHead(rw, "HTTP/1.1 200 OK\r\n", bytes.Repeat([]byte("Attempt-Note: x\r\n"), endlessBlock/17))
	case EndlessFailure:
		rw.WriteHeader(http.StatusInternalServerError)
		writeUntilClosed(rw, filler)
	case EndlessEvent:
		rw.Header().Set("Content-Type", "text/event-stream")
		// A write error shows in the next write.
		_, _ = rw.Write([]byte("id: 1\ndata: "))
		writeUntilClosed(rw, filler)
	default:
		writeUntilClosed(rw, filler)
	}
}

// sendEndlessHead writes the start of a response's head to the connection itself, and then
// the block again and again.
func sendEndlessHead(rw http.ResponseWriter, start string, block []byte) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	// A write error shows in the next write.
	_, _ = io.WriteString(conn, start)
	writeUntilClosed(conn, block)
}

// writeUntilClosed writes the block again and again until that fails.
func writeUntilClosed(to io.Writer, block []byte) {
	for {
		if _, err := to.Write(block); err != nil {
			return
		}
	}
}
