package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

// A caller sends its next request before it has the answer to the one before. Each answer must be
// that of its own request, and none may follow an answer that was cut: it would pass for the rest.
func TestPipelinedRequestsGetTheirOwnAnswers(t *testing.T) {
	for name, cut := range map[string]bool{"whole": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stage, want := "", []string{string(hostedworker.Answer("a", nil)), string(hostedworker.Answer("b", nil))}
			if cut {
				stage, want = hostedworker.Decode, nil
			}
			_, address := startWorker(t, hostedworker.Settings{Slots: 2, Stage: stage, Events: 100, Work: time.Millisecond})
			s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
				switch m := m.(type) {
				case core.Forward:
					return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: address, Patience: time.Second}}
				case core.ForwardResponseStarted:
					if cut {
						return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.UpstreamFailed}}
					}
				}
				return nil
			})
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			const request = "POST /x/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nAttempt-Id: "
			_, err = io.WriteString(c, request+"a\r\n\r\n"+request+"b\r\n\r\n")
			is.NoErr(err)
			var got []string
			for r := bufio.NewReader(c); ; {
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(a.Body)
				if err != nil {
					break
				}
				if got = append(got, string(body)); len(got) == 2 {
					break
				}
			}
			is.Equal(got, want)
		})
	}
}
