package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedsite"
)

// Client is what each client of a crowd does on its connection.
type Client interface{ client() }

// Client implementations.
type (
	// UnfinishedHead sends a head of Bytes bytes without its end, and then nothing. With Fields, it
	// consists of short fields, otherwise of a single long one.
	UnfinishedHead struct {
		Bytes  int
		Fields bool
	}
	// EndlessHead sends a head without end.
	EndlessHead struct{ Fields bool }
	// EmptyLines sends empty lines without end in place of a request.
	EmptyLines struct{}
	// WholeHeads sends requests one after another, each with a head of Bytes bytes of short fields, and
	// reads the answers.
	WholeHeads struct{ Bytes int }
	// SlowBody sends a head of Bytes bytes of short fields, and no byte of the body that it announces.
	SlowBody struct{ Bytes int }
	// Trailers sends requests one after another whose body is followed by trailers of short fields.
	Trailers struct{}
	// Unread sends requests one after another and reads no answer.
	Unread struct{ Bytes int }
	// Silent sends nothing.
	Silent struct{}
)

func (UnfinishedHead) client() {}
func (EndlessHead) client()    {}
func (EmptyLines) client()     {}
func (WholeHeads) client()     {}
func (SlowBody) client()       {}
func (Trailers) client()       {}
func (Unread) client()         {}
func (Silent) client()         {}

// patience is the deadline that clients name.
const patience = 4 * time.Second

// block is the size of the writes of clients that send without end.
const block = 16 << 10

// Crowd is a number of clients of one kind that connect to a port at once.
type Crowd struct {
	Clients int
	Client  Client
	Port    Port
}

// Play has crowds connect for a time, and calls beside when half of it has passed. A client whose
// connection ends connects again. Play returns once all clients have ended.
func (s *Site) Play(length time.Duration, beside func(), crowds ...Crowd) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wait sync.WaitGroup
	for _, c := range crowds {
		for i := range c.Clients {
			wait.Go(func() { s.playClient(ctx, c, i) })
		}
	}
	select {
	case <-time.After(length / 2):
		beside()
	case <-ctx.Done():
	}
	wait.Wait()
}

// reconnectPause is the pause of a client whose connection has ended.
const reconnectPause = 20 * time.Millisecond

// playClient plays a client until ctx ends.
func (s *Site) playClient(ctx context.Context, c Crowd, i int) {
	for ctx.Err() == nil {
		s.connect(ctx, c, i)
		time.Sleep(reconnectPause)
	}
}

// connect plays one connection of a client until it or ctx ends.
func (s *Site) connect(ctx context.Context, crowd Crowd, i int) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", s.Address(crowd.Port))
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	play(c, crowd.Client, i)
}

// play does what a client does on one connection. Errors end it: they mean that the connection has
// ended.
func play(c net.Conn, client Client, i int) {
	switch client := client.(type) {
	case UnfinishedHead:
		head := requestLine(i) + "X-Long: " + strings.Repeat("x", client.Bytes)
		if client.Fields {
			head = requestLine(i) + fields(client.Bytes)
		}
		send(c, head[:client.Bytes])
		drain(c)
	case EndlessHead:
		more := strings.Repeat("x", block)
		if client.Fields {
			more = fields(block)
		}
		send(c, requestLine(i)+"X-Long: x")
		repeat(func() bool { return send(c, more) })
	case EmptyLines:
		lines := strings.Repeat("\r\n", block/2)
		repeat(func() bool { return send(c, lines) })
	case WholeHeads:
		request, r := headOf(i, client.Bytes, "")+"\r\n", bufio.NewReader(c)
		repeat(func() bool { return send(c, request) && readAnswer(r) })
	case SlowBody:
		send(c, headOf(i, client.Bytes, "Content-Length: 1000\r\n")+"\r\n")
		drain(c)
	case Trailers:
		request := requestLine(i) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + fields(3<<10) + "\r\n"
		r := bufio.NewReader(c)
		repeat(func() bool { return send(c, request) && readAnswer(r) })
	case Unread:
		request := headOf(i, client.Bytes, "") + "\r\n"
		repeat(func() bool { return send(c, request) })
	case Silent:
		drain(c)
	}
}

// requestLine returns the request line and the fields that each request has.
func requestLine(i int) string {
	return fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: %s\r\n", hostedsite.Idempotent, host) + hostedsite.AttemptFields(fmt.Sprintf("crowd-%d", i), patience)
}

// headOf returns a head of at most size bytes without the empty line at its end.
func headOf(i, size int, more string) string {
	start := requestLine(i) + more
	if !strings.Contains(more, "Content-Length") {
		start += "Content-Length: 0\r\n"
	}
	return start + fields(size-len(start)-len("\r\n"))
}

// fields returns at most size bytes of short fields with different names.
func fields(size int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		field := fmt.Sprintf("%x:\r\n", i)
		if b.Len()+len(field) > size {
			return b.String()
		}
		b.WriteString(field)
	}
}

// repeat calls step until it returns false.
func repeat(step func() bool) {
	for more := true; more; {
		more = step()
	}
}

// send writes text and reports whether that succeeded.
func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// readAnswer reads a whole answer and reports whether the connection stays open.
func readAnswer(r *bufio.Reader) bool {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && !a.Close
}

// drain reads until the connection ends.
func drain(c net.Conn) {
	// How it ends does not matter.
	_, _ = io.Copy(io.Discard, c)
}

// Ordinary sends a request inside the limits with a head of size bytes of short fields, or a common
// one if size is zero, as callers do: a rejected one comes again on a new connection. It returns the
// last status; zero if there was no answer.
func (s *Site) Ordinary(size int) int {
	status := 0
	for range ordinaryTries {
		if status = s.ordinary(size); status == http.StatusOK {
			break
		}
		time.Sleep(ordinaryPause)
	}
	return status
}

// ordinaryTries is how often an ordinary caller tries, and ordinaryPause its pause.
const (
	ordinaryTries = 4
	ordinaryPause = 250 * time.Millisecond
)

// ordinary sends a request once.
func (s *Site) ordinary(size int) int {
	c, err := net.DialTimeout("tcp", s.Address(CallerPort), 2*time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	// The deadline is that of the caller. Setting it cannot fail on an open connection.
	_ = c.SetDeadline(time.Now().Add(patience))
	if !send(c, headOf(-1, size, "")+"\r\n") {
		return 0
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}
