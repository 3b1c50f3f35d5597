package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

// A second copy of a response arrives while its connection is kept unused, whatever ends the
// response. The next request must not be sent on that connection.
func TestConnectionIsNotUsedAfterALateCopy(t *testing.T) {
	const head = "Attempt-Id: a\r\n"
	for name, c := range map[string]struct{ method, response string }{
		"length":          {http.MethodPost, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok"},
		"chunks":          {http.MethodPost, "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"trailer":         {http.MethodPost, "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"},
		"HEAD":            {http.MethodHead, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\n"},
		"no content":      {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + head + "\r\n"},
		"not modified":    {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + head + "Content-Length: 2\r\n\r\n"},
		"interim before":  {http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n"},
		"a byte too many": {http.MethodPost, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections, copied := make(chan int, 8), make(chan bool, 8)
			address := serve(t, func(c0 net.Conn, r *bufio.Reader) {
				connections <- 1
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c0, c.response)
					time.Sleep(5 * time.Millisecond)
					late := c.response
					if name == "a byte too many" {
						late = "x"
					}
					_, _ = io.WriteString(c0, late)
					copied <- true
				}
			})
			client := &upstream.Client{DialTimeout: time.Second}
			defer client.Close()
			for range 3 {
				r := request(address, nil)
				r.Method = c.method
				a, err := client.Do(t.Context(), r)
				is.NoErr(err)
				_, err = io.ReadAll(a.Body)
				is.NoErr(err)
				a.Close()
				<-copied
				time.Sleep(2 * time.Millisecond)
			}
			is.Equal(len(connections), 3)
		})
	}
}

// The connection closes after the late copy of another response, before the response to a request
// that was sent. The request may have run, and must not pass for unsent.
func TestLateCopyInPlaceOfTheResponseProvesNothing(t *testing.T) {
	const other = "HTTP/1.1 503 Busy\r\nAttempt-Id: other\r\nNot-Executed: 1\r\n"
	for name, copied := range map[string]string{
		"copy":          other + "Content-Length: 0\r\n\r\n",
		"two copies":    other + "Content-Length: 0\r\n\r\n" + other + "Content-Length: 0\r\n\r\n",
		"closing copy":  other + "Connection: close\r\nContent-Length: 0\r\n\r\n",
		"unframed copy": other + "\r\nHTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"cut copy":      other + "Content-Length: 9\r\n\r\nx",
		"no attempt":    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrivals := make(chan int, 8)
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				defer c.Close()
				if readRequest(r) {
					arrivals <- 1
					_, _ = io.WriteString(c, copied)
				}
			})
			client := &upstream.Client{DialTimeout: time.Second}
			defer client.Close()
			_, err := client.Do(t.Context(), request(address, nil))
			var lost *upstream.NoResponseError
			is.True(errors.As(err, &lost))
			is.Equal(len(arrivals), 1)
		})
	}
}

// A request is cancelled without an answer. What the system has not delivered of it by then must
// never arrive: a partition may end many seconds later, when another node gives orders.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	address := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, err := r.ReadByte()
			ended <- err
		}
	})
	client := &upstream.Client{DialTimeout: time.Second}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, request(address, nil))
	is.True(err != nil)
	// After an orderly close the system would go on to deliver what it holds.
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
