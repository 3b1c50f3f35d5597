package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/wire/http1"
	"github.com/matryer/is"
)

// serve accepts connections, reads the head of a request on each, with its body if whole is set, sends
// the answer and closes the connection.
func serve(t *testing.T, answer string, whole bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				if !whole {
					// The rest of the upload does not fit the system's buffers, so that its writer waits.
					_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
				}
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if whole {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(time.Millisecond)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// send sends a request with a body and returns the body of the answer.
func send(url string, body []byte) (string, error) {
	client := &http.Client{Transport: &http1.Transport{Base: &http.Transport{DisableKeepAlives: true}}}
	a, err := client.Post(url, "text/plain", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	return string(got), err
}

// Calls over net/http's transport took an invalid head for an answer.
func TestTransportRejectsInvalidHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000": "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"status 600": "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"blank":      "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok",
		"length":     "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"trailer":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := send(serve(t, answer, true), []byte("b"))
			is.True(err != nil)
		})
	}
}

// A call whose answer ended with the connection while the request was being written took a part of an
// answer for the whole.
func TestTransportTakesNoPartForAnAnswer(t *testing.T) {
	is := is.New(t)
	url := serve(t, "HTTP/1.1 200 OK\r\n\r\npart", false)
	whole := 0
	for range 100 {
		if _, err := send(url, bytes.Repeat([]byte("x"), 8_000_000)); err == nil {
			whole++
		}
	}
	is.Equal(whole, 0)
}

// Answers that are whole stay whole.
func TestTransportPassesWholeAnswers(t *testing.T) {
	is := is.New(t)
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 200 OK\r\n\r\nok"} {
		url := serve(t, answer, true)
		for _, size := range []int{0, 10, 900_000} {
			got, err := send(url, bytes.Repeat([]byte("x"), size))
			is.NoErr(err)
			is.Equal(got, "ok")
		}
	}
}
