package tcp_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
)

// admitted is a server whose connections are bounded.
type admitted struct {
	t       *testing.T
	address string

	mu      sync.Mutex
	refused []error
}

// serveAdmitted serves h, which may be nil, under the bounds that set makes.
func serveAdmitted(t *testing.T, set func(*tcp.Admission), h http.HandlerFunc) *admitted {
	l := listen(t, 64)
	s := &admitted{t: t, address: l.Addr().String()}
	a := &tcp.Admission{OnRefused: func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = append(s.refused, err)
	}}
	set(a)
	tcp.Admit(l, a)
	server := &http.Server{
		MaxHeaderBytes: 1 << 20, ReadHeaderTimeout: 5 * time.Second, ConnContext: tcp.WithConn, ConnState: tcp.TrackState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := tcp.BeginRequest(r); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if h != nil {
				h(w, r)
			}
		}),
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// connect opens a connection and sends text on it.
func (s *admitted) connect(text string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	// A write error means that the request was refused before all was read.
	_, _ = io.WriteString(c, text)
	return c
}

// status returns the status of the answer on a connection; zero if it ends without one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// served sends a request, again while it is rejected: the server notices the end of the one before some
// time after its answer was sent. It returns the last status.
func (s *admitted) served(text string) (last int) {
	for range 20 {
		if last = status(s.connect(text)); last == http.StatusOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

func (s *admitted) errors() []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

const getHead = "GET / HTTP/1.1\r\nHost: h\r\n"

// shortFields returns at least size bytes of short fields.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// A head over the limit gets an answer that its client can read, although it is still sending.
func TestHeadOverTheLimitIsAnswered(t *testing.T) {
	is := is.New(t)
	s := serveAdmitted(t, func(a *tcp.Admission) { a.SetHeadBytes(16 << 10) }, nil)
	is.Equal(status(s.connect(getHead+shortFields(15<<10)+"\r\n")), http.StatusOK)
	is.Equal(status(s.connect(getHead+shortFields(200<<10))), http.StatusRequestHeaderFieldsTooLarge)
	var tooLong *tcp.HeadTooLongError
	is.Equal(len(s.errors()), 1)
	is.True(errors.As(s.errors()[0], &tooLong))
}

// A head is held until its request has been served. One that does not fit beside it is rejected as not
// run, and a small one is served.
func TestHeadsOfRequestsInProgressCount(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	s := serveAdmitted(t, func(a *tcp.Admission) { a.SetHeadMemory(300 << 10) }, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-end
		}
	})
	large := shortFields(12<<10) + "\r\n"
	slow := s.connect("GET /slow HTTP/1.1\r\nHost: h\r\n" + large)
	<-begun
	is.Equal(status(s.connect(getHead+large)), http.StatusServiceUnavailable)
	is.Equal(status(s.connect(getHead+"\r\n")), http.StatusOK)
	close(end)
	is.Equal(status(slow), http.StatusOK)
	is.Equal(s.served(getHead+large), http.StatusOK)
}

// The head of a request that was read together with the one before counts as well.
func TestHeadOfAPipelinedRequestCounts(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}, 2), make(chan struct{})
	s := serveAdmitted(t, func(a *tcp.Admission) { a.SetHeadMemory(100 << 10) }, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			begun <- struct{}{}
			<-end
		}
	})
	defer close(end)
	large := shortFields(3<<10) + "\r\n"
	s.connect(getHead + "\r\n" + "GET /slow HTTP/1.1\r\nHost: h\r\n" + large)
	<-begun
	is.Equal(status(s.connect("GET /slow HTTP/1.1\r\nHost: h\r\n"+shortFields(6<<10)+"\r\n")), http.StatusServiceUnavailable)
}

// Clients that send a part of a request, and nothing more, give way to those that send one.
func TestSilentClientsGiveWay(t *testing.T) {
	part := getHead + shortFields(12<<10)
	for name, c := range map[string]struct {
		set  func(*tcp.Admission)
		sent string
	}{
		"memory":           {func(a *tcp.Admission) { a.SetHeadMemory(1 << 20) }, part},
		"heads":            {func(a *tcp.Admission) { a.SetConns(4) }, part},
		"bodies":           {func(a *tcp.Admission) { a.SetConns(4) }, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"},
		"silent":           {func(a *tcp.Admission) { a.SetConns(4) }, ""},
		"answers not read": {func(a *tcp.Admission) { a.SetConns(4) }, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := serveAdmitted(t, c.set, func(w http.ResponseWriter, r *http.Request) {
				received := tcp.ReceiveBody(r)
				_, _ = io.Copy(io.Discard, r.Body)
				received()
				if r.URL.Path == "/long" {
					_, _ = w.Write(make([]byte, 64<<20))
				}
			})
			for range 4 {
				s.connect(c.sent)
			}
			// Longer than any client may be silent.
			time.Sleep(2200 * time.Millisecond)
			for range 8 {
				is.Equal(s.served(part+"\r\n"), http.StatusOK)
			}
			is.True(slices.ContainsFunc(s.errors(), func(err error) bool {
				var silent *tcp.SilentError
				return errors.As(err, &silent)
			}))
		})
	}
}

// Requests that are being served do not give way, however many connections wait.
func TestRequestsInProgressStay(t *testing.T) {
	is := is.New(t)
	s := serveAdmitted(t, func(a *tcp.Admission) { a.SetConns(2) }, func(http.ResponseWriter, *http.Request) { time.Sleep(3 * time.Second) })
	first, second := s.connect(getHead+"\r\n"), s.connect(getHead+"\r\n")
	time.Sleep(50 * time.Millisecond)
	third := s.connect(getHead + "\r\n")
	for _, c := range []net.Conn{first, second, third} {
		is.Equal(status(c), http.StatusOK)
	}
	is.Equal(len(s.errors()), 0)
}
