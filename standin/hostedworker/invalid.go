package hostedworker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// earlyUpload is the length of a body, in bytes, above which EarlyPart affects a request: more than
	// the connections on the way take while the worker does not read.
	earlyUpload = 512 << 10
	// earlyPause is the time between the part of the answer and the reset.
	earlyPause = time.Millisecond
	// trouble is the body of a worker in trouble.
	trouble = "trouble"
)

// sendInvalid sends an answer whose head is not valid.
func sendInvalid(rw http.ResponseWriter, fault Fault, attempt string) {
	fields := "Server-Seal: trouble\r\n"
	if attempt != "" {
		fields += "Attempt-Id: " + attempt + "\r\n"
	}
	switch fault {
	case InvalidStatus:
		sendRaw(rw, fmt.Sprintf("HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(trouble), trouble))
	case InvalidName:
		sendRaw(rw, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(trouble), trouble))
	}
}

// sendRaw writes text to the connection itself and closes the connection.
func sendRaw(rw http.ResponseWriter, text string) {
	if conn := hijack(rw); conn != nil {
		defer conn.Close()
		// A write error means that the caller has disconnected.
		_, _ = io.WriteString(conn, text)
	}
}

// sendEarlyPart sends a part of an answer without a length before the request has been read, and resets
// the connection.
func sendEarlyPart(rw http.ResponseWriter, attempt string) {
	conn := hijack(rw)
	if conn == nil {
		return
	}
	defer conn.Close()
	// A write error means that the caller has disconnected.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: trouble\r\n\r\n%s", attempt, trouble)
	// The system resets a connection that is closed before all has been read from it.
	time.Sleep(earlyPause)
}

// hijack returns the connection of a request; nil if there is none.
func hijack(rw http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return nil
	}
	return conn
}
