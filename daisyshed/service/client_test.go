package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/service"
	"daisyshed.dev/wire/http1"
	"github.com/matryer/is"
)

// serveFunc plays the role of a service: it answers one request on conn.
type serveFunc func(r *http.Request, conn net.Conn)

// callService sends one call to a service. It returns the result, the number of
// connections opened and the request that the service received. If serve is nil,
// connecting fails.
func callService(t *testing.T, serve serveFunc) (core.Message, int, *http.Request) {
	t.Helper()
	messages := make(chan core.Message, 8)
	dials := 0
	var seen *http.Request
	client := &service.Client{HTTP: service.NewHTTPClient(), SendToCore: func(m core.Message) { messages <- m }}
	client.HTTP.Transport.(*http1.Transport).Base.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		dials++
		if serve == nil {
			return nil, io.ErrClosedPipe
		}
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			seen = r
			serve(r, far)
		}()
		return near, nil
	}
	client.Call("s1", core.CallService{Ticket: 4, Engine: "s1", Body: []byte(`{"A":1}`), Key: "k", Timeout: time.Second})
	m := <-messages
	synctest.Wait()
	return m, dials, seen
}

func TestServiceAnswerIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, dials, seen := callService(t, func(r *http.Request, conn net.Conn) {
			body, err := io.ReadAll(r.Body)
			is.NoErr(err)
			is.Equal(string(body), `{"A":1}`)
			_, err = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}")
			is.NoErr(err)
		})
		is.Equal(m, core.ServiceAnswered{Ticket: 4, Engine: "s1", Status: 201, Body: []byte("{}")})
		is.Equal(dials, 1)
		is.Equal(seen.Header.Get("Idempotency-Key"), "k")
	})
}

func TestFailedConnectionIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _, _ := callService(t, nil)
		is.True(m.(core.ServiceFailed).NotRun)
	})
}

func TestBrokenConnectionMayHaveRunAndIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, dials, _ := callService(t, func(*http.Request, net.Conn) {})
		is.True(!m.(core.ServiceFailed).NotRun)
		is.Equal(dials, 1)
	})
}

func TestServiceTimeoutMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		m, dials, _ := callService(t, func(_ *http.Request, conn net.Conn) {
			// The client gives up, which ends the read.
			_, _ = io.Copy(io.Discard, conn)
		})
		is.True(!m.(core.ServiceFailed).NotRun)
		is.Equal(dials, 1)
		is.Equal(time.Since(start), time.Second)
	})
}

func TestRedirectIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, dials, _ := callService(t, func(r *http.Request, conn net.Conn) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(conn, "HTTP/1.1 302 Found\r\nLocation: http://s2/\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
		})
		is.Equal(m.(core.ServiceAnswered).Status, 302)
		is.Equal(dials, 1)
	})
}

func TestUnknownAddressIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		messages := make(chan core.Message)
		client := &service.Client{HTTP: service.NewHTTPClient(), SendToCore: func(m core.Message) { messages <- m }}
		client.Call("", core.CallService{Ticket: 4, Engine: "s1", Timeout: time.Second})
		is.True((<-messages).(core.ServiceFailed).NotRun)
	})
}
