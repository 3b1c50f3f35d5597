package service_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// A service that sends headers without end must not fill the memory of the node.
func TestEndlessHeadersOfAServiceAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var sent int
		m, _, _ := callService(t, func(_ *http.Request, conn net.Conn) {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: ")
			for block := strings.Repeat("x", 4096); err == nil; sent += len(block) {
				_, err = io.WriteString(conn, block)
			}
		})
		failed, ok := m.(core.ServiceFailed)
		is.True(ok)
		is.True(!failed.NotRun)
		is.True(strings.Contains(failed.Reason, "headers exceeded"))
		is.True(sent < 1<<20)
	})
}
