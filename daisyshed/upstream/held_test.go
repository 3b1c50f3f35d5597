package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

// serveResponses answers each request with response, and counts connections and requests.
func serveResponses(t *testing.T) (address string, connections, requests chan net.Conn) {
	connections, requests = make(chan net.Conn, 16), make(chan net.Conn, 16)
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		connections <- c
		for readRequest(r) {
			requests <- c
			_, _ = io.WriteString(c, response)
		}
	}), connections, requests
}

// Requests on a held connection use that one, which is kept for others afterwards.
func TestHeldConnectionCarriesItsRequests(t *testing.T) {
	is := is.New(t)
	address, connections, requests := serveResponses(t)
	c := &upstream.Client{DialTimeout: time.Second}
	defer c.Close()
	h, err := c.Hold(t.Context(), request(address, nil))
	is.NoErr(err)
	for range 3 {
		a, err := h.Do(t.Context(), request(address, nil))
		is.NoErr(err)
		is.True(!h.Open())
		_, err = io.ReadAll(a.Body)
		is.NoErr(err)
		a.Close()
		is.True(h.Open())
		is.True(h.OpenFor() > 0)
	}
	h.Close()
	a, err := c.Do(t.Context(), request(address, nil))
	is.NoErr(err)
	a.Close()
	is.Equal(len(connections), 1)
	is.Equal(len(requests), 4)
}

// The upstream at the other end of a held connection has ended. The request must not go to the
// process that has its address now.
func TestRequestIsNotSentElsewhereIfItsHeldConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	address, connections, requests := serveResponses(t)
	c := &upstream.Client{DialTimeout: time.Second}
	defer c.Close()
	h, err := c.Hold(t.Context(), request(address, nil))
	is.NoErr(err)
	defer h.Close()
	is.NoErr((<-connections).Close())
	time.Sleep(20 * time.Millisecond)
	_, err = h.Do(t.Context(), request(address, nil))
	var unsent *upstream.UnsentError
	is.True(errors.As(err, &unsent))
	is.Equal(len(connections), 0)
	is.Equal(len(requests), 0)
}

// A hold ends while a request is in progress on its connection. The connection is kept afterwards.
func TestHoldThatEndsDuringARequestKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	address, connections, _ := serveResponses(t)
	c := &upstream.Client{DialTimeout: time.Second}
	defer c.Close()
	h, err := c.Hold(t.Context(), request(address, nil))
	is.NoErr(err)
	a, err := h.Do(t.Context(), request(address, nil))
	is.NoErr(err)
	h.Close()
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	a.Close()
	is.Equal(c.CloseExpired(), 1)
	is.Equal(len(connections), 1)
}
