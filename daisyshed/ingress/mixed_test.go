package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

// troubled serves an upstream that answers as soon as the head of a request was read, and then resets
// the connection.
func troubled(t *testing.T, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go answerTroubled(c, answer)
		}
	}()
	return l.Addr().String()
}

func answerTroubled(c net.Conn, answer string) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ATTEMPT", r.Header.Get("Attempt-Id")))
	time.Sleep(time.Millisecond)
	// A reset discards what the other side has not read yet, so it is left to the unread upload.
	if r.ContentLength > 64<<10 {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// invalidAnswers are answers of upstreams in trouble that callers got as answers.
var invalidAnswers = map[string]string{
	"part":   "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n\r\npart",
	"status": "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\npart",
	"name":   "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Length : 4\r\nBad Name: x\r\n\r\npart",
}

// longUpload is more than the system's buffers take, so that its writer waits.
var longUpload = bytes.Repeat([]byte("b"), 6_000_000)

// A caller must not get an invalid answer, or a part of one, as an answer. What must run once gets 502,
// and what may be repeated another try.
func TestInvalidAnswerIsNotPassedOn(t *testing.T) {
	for name, answer := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := troubled(t, answer)
			_, sound := startWorker(t, hostedworker.Settings{Slots: 8})
			s, n := startNode(t, nodeOptions{retries: core.RetryBudget{Ratio: 1, Window: 10 * time.Second, Slack: 1000}})
			route := func(id core.RouteID, prefix string, policy core.RetryPolicy, service core.ServiceID) core.Route {
				return core.Route{
					ID: id, Host: "h", Prefix: prefix, RetryPolicy: policy, Timeout: nodeTimeout, Objective: nodeObjective,
					MaxRuns: 3, Split: []core.Share{{Service: service, Weight: 1}},
				}
			}
			n.update(core.DesiredState{
				Version:  2,
				Routes:   []core.Route{route("once", "/x/", core.Once, "troubled"), route("again", "/x/again/", core.Repeatable, "mixed")},
				Services: map[core.ServiceID]core.ServiceSpec{"troubled": {ID: "troubled"}, "mixed": {ID: "mixed"}},
			})
			n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{
				{ID: "e2", Service: "troubled", Address: address, Slots: 8, Born: 1},
				{ID: "e3", Service: "mixed", Address: address, Slots: 8, Born: 1},
				{ID: "e1", Service: "mixed", Address: sound, Slots: 8, Born: 1},
			}})
			for i := range 10 {
				// One request that breaks several connections off would be blocked.
				upload := fmt.Append(longUpload[:len(longUpload):len(longUpload)], i)
				is.Equal(postTo(t, s.URL, fmt.Sprintf("once-%d", i), upload), http.StatusBadGateway)
				status, body := postAgain(t, s.URL, fmt.Sprintf("again-%d", i), upload)
				is.Equal(status, http.StatusOK)
				is.Equal(body, hostedworker.Answer(fmt.Sprintf("again-%d", i), upload))
			}
		})
	}
}

// postAgain sends a request that may be repeated.
func postAgain(t *testing.T, url, attempt string, body []byte) (int, []byte) {
	r, err := http.NewRequest(http.MethodPost, url+"/x/again/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", attempt)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, got
}

// The same through another node, which passes the end of the connection on.
func TestPartOfAnAnswerThroughAPeerIsNotWhole(t *testing.T) {
	client := newRelayed(t, troubled(t, invalidAnswers["part"]))
	url, failures := startRelayed(t, client.Client)
	for i := range 20 {
		is := is.New(t)
		a := post(t, url, fmt.Sprintf("a-%d", i), longUpload)
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		is.Equal(a.StatusCode, http.StatusBadGateway)
		<-failures
		<-client.ended
	}
}
