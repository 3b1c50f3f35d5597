package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

func request(address string, body []byte) *upstream.Request {
	return &upstream.Request{
		Key: "e1", Address: address, Method: http.MethodPost, Target: "/x?y=1", Host: "h",
		Header: http.Header{"Attempt-Id": {"a"}}, Body: body,
		Matches: func(h http.Header) bool { return h.Get("Attempt-Id") == "a" },
	}
}

// serve accepts connections, handles each with f, and returns its address.
func serve(t *testing.T, f func(c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request with its body and reports whether that
// succeeded.
func readRequest(r *bufio.Reader) bool {
	q, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return err == nil
}

func TestBodiesOfAllSizesArriveWhole(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Attempt-Id", "a")
		_, _ = w.Write(body)
	}))
	defer s.Close()
	c := &upstream.Client{DialTimeout: time.Second}
	defer c.Close()
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 20000, 1 << 20} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		body := bytes.Repeat([]byte("x"), size)
		a, err := c.Do(ctx, request(s.Listener.Addr().String(), body))
		is.NoErr(err)
		got, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(len(got), size)
		a.Close()
		cancel()
	}
}

// An upstream that sends two responses to one request must not have the second
// taken for the response to the next request.
func TestConnectionWithExtraResponseIsNotReused(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok"
	connections := make(chan int, 8)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		connections <- 1
		for readRequest(r) {
			_, _ = c.Write([]byte(response + strings.ReplaceAll(response, "ok", "no")))
		}
	})
	c := &upstream.Client{DialTimeout: time.Second}
	for range 3 {
		a, err := c.Do(t.Context(), request(address, nil))
		is.NoErr(err)
		got, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(string(got), "ok")
		a.Close()
	}
	is.Equal(len(connections), 3)
}

// A late response to another request precedes the right one on the connection.
func TestLateResponseToOtherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\nno" +
				"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	c := &upstream.Client{DialTimeout: time.Second}
	a, err := c.Do(t.Context(), request(address, nil))
	is.NoErr(err)
	defer a.Close()
	got, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(got), "ok")
}

// A request whose connection breaks before the response must not be sent again.
func TestRequestOnBrokenConnectionIsNotResent(t *testing.T) {
	is := is.New(t)
	arrivals := make(chan int, 8)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			arrivals <- 1
		}
		_ = c.Close()
	})
	c := &upstream.Client{DialTimeout: time.Second}
	_, err := c.Do(t.Context(), request(address, nil))
	var broken *upstream.NoResponseError
	is.True(errors.As(err, &broken))
	time.Sleep(20 * time.Millisecond)
	is.Equal(len(arrivals), 1)
}

func TestUnreachableUpstreamGivesUnsentError(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = (&upstream.Client{DialTimeout: time.Second}).Do(t.Context(), request(address, nil))
	var unsent *upstream.UnsentError
	is.True(errors.As(err, &unsent))
}

// An upstream may respond before it has read a long body. The connection must
// not be reused, because the upstream still expects the rest of that body on
// it.
func TestEarlyResponseToLongBody(t *testing.T) {
	is := is.New(t)
	connections := make(chan int, 8)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		connections <- 1
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		}
		time.Sleep(time.Second)
	})
	c := &upstream.Client{DialTimeout: time.Second}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		a, err := c.Do(ctx, request(address, make([]byte, 16<<20)))
		is.NoErr(err)
		is.Equal(a.Status, http.StatusServiceUnavailable)
		a.Close()
		cancel()
	}
	is.Equal(len(connections), 2)
}

// A request that waits for its response ends when its context does.
func TestContextCancelsRequest(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		time.Sleep(3 * time.Second)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := (&upstream.Client{DialTimeout: time.Second}).Do(ctx, request(address, nil))
	is.True(err != nil)
	is.True(time.Since(began) < time.Second)
}

func TestEventReaderReturnsWholeEvents(t *testing.T) {
	is := is.New(t)
	e := upstream.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	first, id, err := e.Next()
	is.NoErr(err)
	is.Equal(id, "1")
	is.Equal(string(first), "id: 1\ndata: a\n\n")
	_, id, err = e.Next()
	is.NoErr(err)
	is.Equal(id, "2")
	_, _, err = e.Next()
	is.Equal(err, io.ErrUnexpectedEOF)
	_, _, err = upstream.NewEventReader(strings.NewReader("")).Next()
	is.Equal(err, io.EOF)
}

// A request whose context has ended is not sent, also not on a connection that is open
// already, and the error says so.
func TestCancelledRequestIsNotSentOnKeptConnection(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 1000)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests <- q.Header.Get("Attempt-Id")
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	c := &upstream.Client{DialTimeout: time.Second}
	defer c.Close()
	for range 100 {
		a, err := c.Do(t.Context(), request(address, nil))
		is.NoErr(err)
		_, err = io.ReadAll(a.Body)
		is.NoErr(err)
		a.Close()
		is.Equal(<-requests, "a")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		late := request(address, nil)
		late.Header.Set("Attempt-Id", "late")
		_, err = c.Do(ctx, late)
		var unsent *upstream.UnsentError
		is.True(errors.As(err, &unsent))
	}
	is.Equal(len(requests), 0)
}
