package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is MemoryMb of the settings, in bytes.
	memoryLimit = 134_000_000
	// linkRate bounds what all clients together send, in bytes a second, below LinkMbps.
	linkRate = 100e6
	// longID is the length of the ids of clients that leave. With it, a head has 19.6 KB.
	longID = 19500
	// bodyBytes is what uploading clients send of a body before they go on slowly.
	bodyBytes = 66000
	// leavers and uploaders are the numbers of clients. Three tenths leave at most, as give_up has it.
	leavers, uploaders = 110, 262
	// roundTime is how long a crowd stays at most, within the 5.5 s of give_up, and maxRounds how often
	// it comes to a machine.
	roundTime, maxRounds = 5 * time.Second, 4
	// killsWanted is how often the processes of a machine have to end, by the rule.
	killsWanted = 3
)

// crowd counts what the clients of a run did.
type crowd struct {
	uploads, left, sent      atomic.Int64
	answered, refused, ended atomic.Int64
}

// limiter bounds the bytes that all clients of the crowd send in a second.
type limiter struct {
	mu   sync.Mutex
	next time.Time
}

func (l *limiter) take(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	wait := l.next.Sub(now)
	l.next = l.next.Add(time.Duration(float64(n) / linkRate * float64(time.Second)))
	l.mu.Unlock()
	time.Sleep(wait)
}

// visit is one visit of a crowd to a machine.
type visit struct {
	*crowd
	limiter limiter
	address string
	host    string
	done    chan struct{}
}

func (v *visit) over() bool {
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}

func (v *visit) send(c net.Conn, text string) bool {
	v.limiter.take(len(text))
	if v.over() {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	n, err := c.Write([]byte(text))
	v.sent.Add(int64(n))
	return err == nil
}

// upload sends the first part of a body in a chunk, goes on with a byte at a time, and does not end it.
func (v *visit) upload(id string) {
	c, err := net.DialTimeout("tcp", v.address, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.Close()
	v.uploads.Add(1)
	head := "POST /puxa403/2f HTTP/1.1\r\nHost: " + v.host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
	if !v.send(c, head) || !v.send(c, fmt.Sprintf("%x\r\n%s\r\n", bodyBytes, strings.Repeat("x", bodyBytes))) {
		return
	}
	for range 27 {
		time.Sleep(100 * time.Millisecond)
		if !v.send(c, "1\r\nx\r\n") {
			return
		}
	}
}

// leave sends a whole request with a long id and leaves at once.
func (v *visit) leave(id string) {
	c, err := net.DialTimeout("tcp", v.address, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.Close()
	v.left.Add(1)
	v.send(c, "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: "+v.host+"\r\nAttempt-Id: "+id+"\r\nDeadline-Ms: 1500\r\n\r\n")
	time.Sleep(time.Millisecond)
}

// ordinary sends one request and returns its status; zero if it got no whole answer.
func ordinary(address, host, id string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	fmt.Fprintf(c, "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\n\r\n", host, id)
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

// play plays one visit and returns the highest resident memory of the machine's process. It ends the
// process, as the platform does, once that exceeds the limit.
func (s *site) play(n *node, trouble bool, length time.Duration, total *crowd) (peak, anonymous int64, killed bool) {
	v := &visit{crowd: total, address: n.front(), host: s.host, done: make(chan struct{})}
	var wait sync.WaitGroup
	client := func(do func(k int), pause time.Duration) {
		wait.Go(func() {
			for k := 0; !v.over(); k++ {
				do(k)
				time.Sleep(pause)
			}
		})
	}
	long := strings.Repeat("\xff", longID)
	started := time.Now()
	if trouble {
		for i := range uploaders {
			client(func(k int) { v.upload(fmt.Sprintf("up-%d-%d", i, k)) }, 0)
		}
		for i := range leavers {
			client(func(k int) { v.leave(fmt.Sprintf("%s-%d-%d", long, i, k)) }, 0)
		}
	}
	client(func(k int) {
		switch status := ordinary(v.address, s.host, fmt.Sprintf("ordinary-%s-%d-%d", n.name, started.UnixMilli(), k)); {
		case v.over():
		case status == http.StatusOK:
			total.answered.Add(1)
		case status != 0:
			total.refused.Add(1)
		default:
			total.ended.Add(1)
		}
	}, 50*time.Millisecond)
	for time.Since(started) < length && n.running() && !killed {
		rss, anon := n.memory("VmRSS"), n.memory("RssAnon")
		peak, anonymous = max(peak, rss), max(anonymous, anon)
		if killed = rss > memoryLimit; killed {
			n.kill()
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(v.done)
	wait.Wait()
	return peak, anonymous, killed
}

// memory has crowds visit two machines of three in turn, and counts how often their processes end.
func memory(s *site, trouble bool) int {
	total := &crowd{}
	kills, highest := map[string]int{}, int64(0)
	visited := s.nodes[:2]
	for round := range maxRounds {
		for _, n := range visited {
			if kills[n.name] == killsWanted {
				continue
			}
			began := time.Now()
			peak, anonymous, killed := s.play(n, trouble, roundTime, total)
			highest = max(highest, peak)
			s.logf("visit %d to %s: %.1f s, at most %.1f MB resident, %.1f MB of it anonymous; MemoryMb %d", round+1, n.name, time.Since(began).Seconds(), float64(peak)/1e6, float64(anonymous)/1e6, memoryLimit/1_000_000)
			if !killed && n.running() {
				continue
			}
			if !killed {
				s.logf("the process of %s has ended by itself: %v", n.name, n.exit)
			} else {
				s.logf("the process of %s exceeds MemoryMb and is killed", n.name)
			}
			kills[n.name]++
			time.Sleep(500 * time.Millisecond)
			if err := s.startNode(n); err != nil || !s.awaitReady(15*time.Second) {
				s.logf("%s is not ready again: %v", n.name, err)
				return 2
			}
		}
	}
	s.logf("clients sent %.0f MB: %d slow uploads, %d requests whose client left", float64(total.sent.Load())/1e6, total.uploads.Load(), total.left.Load())
	s.logf("ordinary requests at these machines: %d answered 200, %d refused, %d without a whole answer", total.answered.Load(), total.refused.Load(), total.ended.Load())
	for _, w := range s.workers {
		s.logf("worker %s ran %d requests", w.id, w.runs.Load())
	}
	broken := true
	for _, n := range visited {
		s.logf("processes of %s ended %d times", n.name, kills[n.name])
		broken = broken && kills[n.name] >= killsWanted
	}
	if broken {
		s.logf("BROKEN: on two of three machines in use, processes have ended three times, by memory over the limit")
		return 1
	}
	s.logf("HELD: at most %.1f MB", float64(highest)/1e6)
	return 0
}
