package upstream_test

import (
	"bufio"
	"bytes"
	"errors"
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

// Upstreams in trouble send heads that are not valid. net/http accepts these, and callers got the
// answer, or one whose end was found by another rule than the upstream's.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	const own = "Attempt-Id: a\r\n"
	const sound = "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		sent  string
		valid bool
	}{
		"status 000":                    {"HTTP/1.1 000 Trouble\r\n" + own + "Content-Length: 2\r\n\r\nok", false},
		"status 000 before an answer":   {"HTTP/1.1 000 Trouble\r\n" + own + "\r\n" + sound, false},
		"status 099 before an answer":   {"HTTP/1.1 099 Trouble\r\n" + own + "\r\n" + sound, false},
		"status 600":                    {"HTTP/1.1 600 Trouble\r\n" + own + "Content-Length: 2\r\n\r\nok", false},
		"status 999":                    {"HTTP/1.1 999 Trouble\r\n" + own + "Content-Length: 2\r\n\r\nok", false},
		"status 599":                    {"HTTP/1.1 599 Own\r\n" + own + "Content-Length: 2\r\n\r\nok", true},
		"upgrade":                       {"HTTP/1.1 101 Upgrade\r\n" + own + "\r\n" + sound, false},
		"version 3.7":                   {"HTTP/3.7 200 OK\r\n" + own + "Content-Length: 2\r\n\r\nok", false},
		"blank in a name":               {"HTTP/1.1 200 OK\r\n" + own + "Bad Name: x\r\nContent-Length: 2\r\n\r\nok", false},
		"blank before the colon":        {"HTTP/1.1 200 OK\r\n" + own + "X-Name : x\r\nContent-Length: 2\r\n\r\nok", false},
		"blank in the length's name":    {"HTTP/1.1 200 OK\r\n" + own + "Content-Length : 2\r\n\r\nok", false},
		"blank in the encoding's name":  {"HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"control byte in a name":        {"HTTP/1.1 200 OK\r\n" + own + "X-\x01Name: x\r\nContent-Length: 2\r\n\r\nok", false},
		"tab in a name":                 {"HTTP/1.1 200 OK\r\n" + own + "X\tName: x\r\nContent-Length: 2\r\n\r\nok", false},
		"blank in an interim head":      {"HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\n" + sound, false},
		"blank in a trailer":            {"HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n", false},
		"length and chunks":             {"HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"length and chunks, interim":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + own + "transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"trailer":                       {"HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: x\r\n\r\n", true},
		"interim head before an answer": {"HTTP/1.1 103 Hints\r\nX-Name: x\r\n\r\n" + sound, true},
		"uncommon name":                 {"HTTP/1.1 200 OK\r\n" + own + "x!#$%&'*+-.^_`|~9: x\r\nContent-Length: 2\r\n\r\nok", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				defer conn.Close()
				if readRequest(r) {
					_, _ = io.WriteString(conn, c.sent)
				}
			})
			client := &upstream.Client{DialTimeout: time.Second}
			defer client.Close()
			body, err := readAnswer(t, client, address, []byte("b"))
			if c.valid {
				is.NoErr(err)
				is.Equal(string(body), "ok")
				return
			}
			var unsent *upstream.UnsentError
			is.True(err != nil)
			is.True(!errors.As(err, &unsent))
		})
	}
}
