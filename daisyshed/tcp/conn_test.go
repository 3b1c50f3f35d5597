package tcp_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
)

// A caller leaves in the middle of an answer. net/http closes the connection after the
// write that fails, and that is not a close of this process's own accord.
func TestCloseAfterFailedWriteIsNotClosedHere(t *testing.T) {
	is := is.New(t)
	l := listen(t, 4)
	closedHere := make(chan bool, 1)
	s := &http.Server{ReadHeaderTimeout: time.Second, ConnContext: tcp.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chunk := make([]byte, 64<<10)
		for {
			if _, err := w.Write(chunk); err != nil {
				<-r.Context().Done()
				closedHere <- tcp.ClosedHere(r.Context())
				return
			}
		}
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, c, 1<<20)
	is.NoErr(err)
	is.NoErr(c.Close())
	is.True(!<-closedHere)
}
