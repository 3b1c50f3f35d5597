package upstream_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

// earlyTries is how often an early answer is played: which of a socket's reader and writer gets the
// reset is up to the system.
const earlyTries = 100

// longUpload is more than the system's buffers take, so that its writer waits.
var longUpload = bytes.Repeat([]byte("x"), 8_000_000)

// earlyAnswer serves an upstream that answers after the first bytes of a request, while the rest is on
// its way, and ends the connection: by a reset, or by closing it with the rest unread.
func earlyAnswer(t *testing.T, answer string, reset bool) string {
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
		if _, err := r.Peek(1 << 10); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		time.Sleep(time.Millisecond)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// readAnswer sends a request and returns the body of its answer.
func readAnswer(t *testing.T, c *upstream.Client, address string, body []byte) ([]byte, error) {
	r := request(address, body)
	r.NewConnection = true
	a, err := c.Do(t.Context(), r)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return io.ReadAll(a.Body)
}

// An upstream answers a long upload at once without a length, sends a part of the answer and breaks
// the connection off. The system reported the reset to the writer, and the reader saw an orderly end: the
// part was taken for the whole answer.
func TestAnswerOfAnUndeliveredRequestIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		reset bool
	}{
		"reset":    {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n", true},
		"closed":   {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n", false},
		"HTTP/1.0": {"HTTP/1.0 200 OK\r\nAttempt-Id: a\r\n\r\n", true},
		"stream":   {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := earlyAnswer(t, c.head+"part", c.reset)
			client := &upstream.Client{DialTimeout: time.Second}
			defer client.Close()
			whole := 0
			for range earlyTries {
				if _, err := readAnswer(t, client, address, longUpload); err == nil {
					whole++
				}
			}
			is.Equal(whole, 0)
		})
	}
}

// An answer that ends with its connection is whole if the upstream has the request, and one with a
// length also if it comes early.
func TestAnswerWithoutLengthIsWholeOnceItsRequestIsDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
	delivered := serve(t, func(c net.Conn, r *bufio.Reader) {
		defer c.Close()
		if readRequest(r) {
			_, _ = io.WriteString(c, head+"\r\nwhole")
		}
	})
	early := serve(t, func(c net.Conn, r *bufio.Reader) {
		defer c.Close()
		if _, err := r.Peek(1 << 10); err == nil {
			_, _ = io.WriteString(c, head+"Content-Length: 5\r\n\r\nwhole")
			_, _ = io.Copy(io.Discard, r)
		}
	})
	client := &upstream.Client{DialTimeout: time.Second}
	defer client.Close()
	for name, address := range map[string]string{"delivered": delivered, "early with a length": early} {
		for _, size := range []int{0, 5 << 10, len(longUpload)} {
			if address == early && size == 0 {
				continue
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				for range 20 {
					body, err := readAnswer(t, client, address, longUpload[:size])
					is.NoErr(err)
					is.Equal(string(body), "whole")
				}
			})
		}
	}
}
