package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

const (
	// heapGrowth is how many bytes the heap may grow by while an upstream writes without
	// end.
	heapGrowth = 32 << 20
	// endlessTimeout bounds a request to an upstream that writes without end. It is much
	// longer than reading up to a limit takes.
	endlessTimeout = 3 * time.Second
	// response is a complete response to request.
	response = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok"
)

// serveEndless returns the address of an upstream that answers each request with first and
// then repeats the rest, as fast as it can, until its connection is closed. It signals
// closed then.
func serveEndless(t *testing.T, first, repeated string) (address string, closed chan struct{}) {
	closed = make(chan struct{}, 8)
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		defer c.Close()
		if !readRequest(r) {
			return
		}
		_, err := io.WriteString(c, first)
		for err == nil {
			_, err = c.Write(block)
		}
		closed <- struct{}{}
	}), closed
}

// growthOfHeap returns a function that returns by how many bytes the heap has grown at most
// since, sampled every few milliseconds.
func growthOfHeap(t *testing.T) func() uint64 {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var highest atomic.Uint64
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			highest.Store(max(highest.Load(), now.HeapAlloc))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() uint64 {
		cancel()
		<-done
		return highest.Load() - min(highest.Load(), before.HeapAlloc)
	}
}

// A head without end must not fill the memory of the node: it would be killed with all its
// requests.
func TestEndlessHeadEndsTheRequestAlone(t *testing.T) {
	for name, endless := range map[string]struct{ first, repeated string }{
		"status line":         {"HTTP/1.1 200 ", "x"},
		"no status line":      {"", "x"},
		"header line":         {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header name":         {"HTTP/1.1 200 OK\r\n", "x"},
		"headers":             {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued header":    {"HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"},
		"interim header line": {"HTTP/1.1 103 Early Hints\r\nA: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := serveEndless(t, endless.first, endless.repeated)
			sound := serve(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					_, _ = io.WriteString(c, response)
				}
			})
			limits := make(chan error, 8)
			c := &upstream.Client{DialTimeout: time.Second, OnLimit: func(key string, err error) {
				is.Equal(key, "e1")
				limits <- err
			}}
			defer c.Close()
			growth := growthOfHeap(t)
			failed := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			go func() {
				_, err := c.Do(ctx, request(address, nil))
				failed <- err
			}()
			a, err := c.Do(ctx, request(sound, nil))
			is.NoErr(err)
			body, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			a.Close()

			err = <-failed
			if n := growth(); n > heapGrowth {
				t.Errorf("the heap grew by %d MB", n>>20)
			}
			is.NoErr(ctx.Err()) // ended by the limit, not by the context
			var noResponse *upstream.NoResponseError
			is.True(errors.As(err, &noResponse))
			var tooLong *upstream.TooLongError
			is.True(errors.As(err, &tooLong))
			is.Equal(tooLong.Part, upstream.Head)
			is.True(errors.As(<-limits, &tooLong))
			select {
			case <-closed:
			case <-ctx.Done():
				t.Error("the connection is still open")
			}
		})
	}
}

// Interim responses without end are not a response.
func TestEndlessInterimResponsesEndTheRequest(t *testing.T) {
	is := is.New(t)
	address, closed := serveEndless(t, "", "HTTP/1.1 103 Early Hints\r\n\r\n")
	c := &upstream.Client{DialTimeout: time.Second}
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	_, err := c.Do(ctx, request(address, nil))
	is.NoErr(ctx.Err())
	var mismatched upstream.MismatchedResponseError
	is.True(errors.As(err, &mismatched))
	<-closed
}

// A response to another request is skipped to find the right one, but not without end.
func TestEndlessLateResponseIsNotSkipped(t *testing.T) {
	for name, endless := range map[string]struct{ first, repeated string }{
		"long":    {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunked": {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nwxyz\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := serveEndless(t, endless.first, endless.repeated)
			var limits atomic.Int32
			c := &upstream.Client{DialTimeout: time.Second, OnLimit: func(string, error) { limits.Add(1) }}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			_, err := c.Do(ctx, request(address, nil))
			is.NoErr(ctx.Err())
			var tooLong *upstream.TooLongError
			is.True(errors.As(err, &tooLong))
			is.Equal(tooLong.Part, upstream.LateBody)
			is.Equal(limits.Load(), int32(1))
			<-closed
		})
	}
}

// A body or an event without end must end its reading with an error that operators see.
func TestEndlessBodyIsReportedAsTooLong(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		repeated string
		read     func(a *upstream.Response) error
		part     upstream.Part
	}{
		"body": {"4\r\nwxyz\r\n", func(a *upstream.Response) error {
			body, err := a.ReadAll(1 << 20)
			if len(body) > 0 {
				return nil
			}
			return err
		}, upstream.Body},
		"line of an event": {"4\r\nwxyz\r\n", readEvent, upstream.Event},
		"event":            {"4\r\n:yz\n\r\n", readEvent, upstream.Event},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := serveEndless(t, stream, test.repeated)
			limits := make(chan error, 8)
			c := &upstream.Client{DialTimeout: time.Second, OnLimit: func(key string, err error) {
				is.Equal(key, "e1")
				limits <- err
			}}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			a, err := c.Do(ctx, request(address, nil))
			is.NoErr(err)
			err = test.read(a)
			a.Close()
			is.NoErr(ctx.Err())
			var tooLong *upstream.TooLongError
			is.True(errors.As(err, &tooLong))
			is.Equal(tooLong.Part, test.part)
			is.Equal(len(limits), 1)
			is.Equal(<-limits, err)
			<-closed
		})
	}
}

func readEvent(a *upstream.Response) error {
	_, _, err := upstream.NewEventReader(a.Body).Next()
	return err
}

// Lines of a chunked body and its trailers are bounded too.
func TestEndlessChunkLineEndsTheBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, first := range map[string]string{
		"chunk size": head, "chunk extension": head + "4;", "trailer": head + "0\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := serveEndless(t, first, "0")
			growth := growthOfHeap(t)
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			a, err := (&upstream.Client{DialTimeout: time.Second}).Do(ctx, request(address, nil))
			is.NoErr(err)
			_, err = io.ReadAll(a.Body)
			a.Close()
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(growth() < heapGrowth)
			<-closed
		})
	}
}

// An error quotes what an upstream sent. It goes into logs and decisions, which must not
// grow by a whole head for each request.
func TestErrorForMalformedHeadIsShort(t *testing.T) {
	for name, head := range map[string]string{
		"status line": strings.Repeat("x", 60<<10) + "\r\n\r\n",
		"header":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 60<<10) + "\r\n\r\n",
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", 60<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					_, _ = io.WriteString(c, head)
				}
				_ = c.Close()
			})
			_, err := (&upstream.Client{DialTimeout: time.Second}).Do(t.Context(), request(address, nil))
			var malformed *upstream.MalformedHeadError
			is.True(errors.As(err, &malformed))
			if n := len(err.Error()); n > 512 {
				t.Errorf("the text has %d bytes", n)
			}
		})
	}
}

// A sound upstream sends interim responses before its answer. They must not count as
// responses that belong to other requests.
func TestInterimResponsesDoNotHideTheAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	client := &upstream.Client{DialTimeout: time.Second}
	response, err := client.Do(t.Context(), &upstream.Request{Key: "e1", Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"})
	is.NoErr(err)
	response.Close()
}
