package hostedworker_test

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

	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

const (
	events  = 6
	silence = 400 * time.Millisecond
	// prompt bounds the time until something that happens at once is seen on a busy machine.
	prompt = 5 * time.Second
	// without is how long a test waits for what must not come.
	without = 100 * time.Millisecond
)

// startWorker starts a worker of a stage and returns it with its address and the records
// of its runs.
func startWorker(t *testing.T, stage string) (w *hostedworker.Worker, address string, runs chan hostedworker.Run, ends chan hostedworker.RunEnd) {
	runs, ends = make(chan hostedworker.Run, 16), make(chan hostedworker.RunEnd, 16)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = l.Addr().String()
	// The port is free for the worker then.
	_ = l.Close()
	s := hostedworker.Settings{
		ID: "w1", Stage: stage, Slots: 4, Work: 30 * time.Millisecond, Events: events, Memory: 1000,
		OnRunEnd: func(e hostedworker.RunEnd) { ends <- e },
	}
	w, stop, err := hostedworker.Start(s, address, func(r hostedworker.Run) { runs <- r })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return w, address, runs, ends
}

// send sends a request on a connection of its own.
func send(t *testing.T, address, path, attempt, stage string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: w\r\nAttempt-Id: %s\r\nServing-Stage: %s\r\nContent-Length: 1\r\n\r\nx", path, attempt, stage); err != nil {
		t.Fatal(err)
	}
	return c
}

// readAnswer reads an answer to its end.
func readAnswer(c net.Conn) (status int, body []byte, err error) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	body, err = io.ReadAll(a.Body)
	return a.StatusCode, body, err
}

// A silent worker pauses all its streams at the same moment, and loses nothing of them.
func TestSilentWorkerGoesOnWithStreams(t *testing.T) {
	is := is.New(t)
	w, address, _, ends := startWorker(t, hostedworker.Decode)
	first, second := send(t, address, "/resume/1", "a", ""), send(t, address, "/resume/1", "b", "")
	w.Silence(silence)
	begin := time.Now()
	for attempt, c := range map[string]net.Conn{"a": first, "b": second} {
		status, body, err := readAnswer(c)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		var want []byte
		for i := range events {
			want = append(want, hostedworker.Event(attempt, hostedworker.DefaultVersion, i+1)...)
		}
		is.Equal(string(body), string(want))
		is.True(time.Since(begin) > silence-without) // the stream ended before the silence
	}
	end := <-ends
	is.True(end.At.After(begin.Add(silence - without)))
	is.True(!end.Cancelled)
}

func TestSilentWorkerAnswersLate(t *testing.T) {
	is := is.New(t)
	w, address, _, _ := startWorker(t, "")
	w.Silence(silence)
	begin := time.Now()
	status, body, err := readAnswer(send(t, address, "/pay/1", "a", ""))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, hostedworker.Answer("a", []byte("x")))
	is.True(time.Since(begin) >= silence-without)
}

// A silent worker is sound: it notices a closed connection and renews its entry.
func TestSilentWorkerStaysSound(t *testing.T) {
	for _, stage := range []string{"", hostedworker.Decode} {
		t.Run("stage "+stage, func(t *testing.T) {
			is := is.New(t)
			w, address, runs, ends := startWorker(t, stage)
			w.Silence(time.Minute)
			begin := time.Now()
			w.Entry()
			c := send(t, address, "/read/1", "a", "")
			run := <-runs
			_ = c.Close()
			end := <-ends
			is.True(time.Since(begin) < prompt)
			is.Equal(end.Number, run.Number)
			is.Equal(end.Attempt, "a")
			is.Equal(end.Worker, "w1")
			is.True(end.Cancelled)
		})
	}
}

// A frozen worker neither renews its entry nor notices a closed connection.
func TestFrozenWorkerHoldsHeartbeats(t *testing.T) {
	is := is.New(t)
	w, _, _, _ := startWorker(t, "")
	begin := time.Now()
	w.Freeze(silence)
	w.Entry()
	is.True(time.Since(begin) >= silence-without)
}

// endlessBytes are the faults that send bytes without end, each with the start of what it
// sends and the text that would end it.
var endlessBytes = []struct {
	name       string
	fault      hostedworker.Fault
	start, end string
}{
	{"status line", hostedworker.EndlessStatusLine, "HTTP/1.1 200 xx", "\n"},
	{"header line", hostedworker.EndlessHeaderLine, "HTTP/1.1 200 OK\r\nAttempt-Note: xx", "x\r\n"},
	{"headers", hostedworker.EndlessHeaders, "HTTP/1.1 200 OK\r\nAttempt-Note: x\r\n", "\r\n\r\n"},
	{"failure", hostedworker.EndlessFailure, "HTTP/1.1 500 ", "\r\n0\r\n"},
	{"success", hostedworker.EndlessSuccess, "HTTP/1.1 200 OK\r\n", "\r\n0\r\n"},
	{"event", hostedworker.EndlessEvent, "HTTP/1.1 200 OK\r\n", "\n\n"},
}

// Bytes without end go on until the connection is closed, and break the answer of their
// run only.
func TestEndlessBytes(t *testing.T) {
	for _, kind := range endlessBytes {
		t.Run(kind.name, func(t *testing.T) {
			is := is.New(t)
			w, address, runs, ends := startWorker(t, hostedworker.Decode)
			w.SetFault(kind.fault, 1)
			c := send(t, address, "/resume/1", "a", "")
			got := readEndless(t, c)
			is.True(bytes.HasPrefix(got, []byte(kind.start)))
			is.True(!bytes.Contains(got, []byte(kind.end)))
			is.True((<-runs).Broken)
			select {
			case <-ends:
				t.Fatal("the run ended while its caller still read")
			case <-time.After(without):
			}
			_ = c.Close()
			is.Equal((<-ends).Attempt, "a")
			w.SetFault(hostedworker.NoFault, 0)
			status, _, err := readAnswer(send(t, address, "/resume/1", "b", ""))
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.True(!(<-runs).Broken)
		})
	}
}

// readEndless reads the start of bytes without end.
func readEndless(t *testing.T, c net.Conn) []byte {
	got := make([]byte, 4<<20)
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	return got
}

// Prefills and control calls get bytes without end as well.
func TestEndlessBytesOfPrefillsAndCalls(t *testing.T) {
	is := is.New(t)
	w, address, runs, _ := startWorker(t, hostedworker.Prefill)
	w.SetFault(hostedworker.EndlessHeaderLine, 1)
	for _, c := range []net.Conn{send(t, address, "/resume/1", "a", hostedworker.Prefill), send(t, address, "/-/hold-take", "", "")} {
		is.True(strings.HasPrefix(string(readEndless(t, c)), "HTTP/1.1 200 OK\r\nAttempt-Note: xx"))
	}
	is.Equal(len(runs), 0)
}

// Of the other faults, those that keep an answer from its caller are recorded with the run.
func TestRunRecordsThatItsAnswerIsBroken(t *testing.T) {
	for fault, want := range map[hostedworker.Fault]bool{
		hostedworker.NoFault: false, hostedworker.LoseReply: true, hostedworker.CutShort: true, hostedworker.Hang: true,
		hostedworker.Fail: false, hostedworker.RejectAfterRun: false, hostedworker.RespondTwice: false,
	} {
		is := is.New(t)
		w, address, runs, ends := startWorker(t, "")
		w.SetFault(fault, 1)
		c := send(t, address, "/pay/1", "a", "")
		is.Equal((<-runs).Broken, want)
		if fault == hostedworker.Hang {
			_ = c.Close()
		}
		<-ends
	}
}
