package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"daisyshed.dev/standin/hostedsite"
)

const (
	// crowd is how many connections clients outside the operators' control open to one machine,
	// and headBytes how long a head each of them sends, without its end.
	crowd     = 600
	headBytes = 60 << 10
	// crowdTime is how long they wait after that, and rounds how often they come.
	crowdTime = 4 * time.Second
	rounds    = 3
	// machines is how many machines they come to.
	machines = 2
)

// playHeads has a crowd of clients send heads over the limit to two of three machines, three times.
func playHeads(r *recorder, trouble bool) (int, error) {
	s, err := openSite(r, 3, 3, 2*time.Second, 600*time.Millisecond)
	if err != nil {
		return cantRun, err
	}
	defer s.close()
	if !s.allReady(15 * time.Second) {
		return cantRun, errors.New("the machines are not ready")
	}
	lost := 0
	for round := range rounds {
		var wait sync.WaitGroup
		for _, n := range s.nodes[:machines] {
			wait.Add(1)
			go func() {
				defer wait.Done()
				playCrowd(r, n, trouble)
			}()
		}
		wait.Wait()
		if !s.allReady(15 * time.Second) {
			return cantRun, errors.New("the machines are not ready again")
		}
		for _, n := range s.nodes {
			if status, err := ordinary(n, fmt.Sprintf("calm-%d-%s", round, n.name())); err != nil || status != http.StatusOK {
				lost++
				r.printf("client: ordinary request to %s after round %d: status %d, %v", n.name(), round+1, status, err)
			} else {
				r.printf("client: ordinary request to %s after round %d: status %d", n.name(), round+1, status)
			}
		}
	}
	ended := 0
	for _, n := range s.nodes {
		n.mu.Lock()
		r.printf("platform: %s: %d processes over their memory, %d ended by themselves otherwise, peak %.1f MB", n.name(), n.overLimit, n.exits, float64(n.peak)/1e6)
		if n.overLimit+n.exits >= 3 {
			ended++
		}
		n.mu.Unlock()
	}
	r.printf("machines on which processes ended by themselves three times: %d of %d; ordinary requests without an answer: %d", ended, len(s.nodes), lost)
	if ended >= 2 {
		return broken, nil
	}
	return held, nil
}

// playCrowd opens the crowd's connections to a machine. With trouble, each sends a head without an
// end; otherwise a whole request inside the limits.
func playCrowd(r *recorder, n *node, trouble bool) {
	var wait sync.WaitGroup
	var opened, failed, bytes, answered atomic.Int64
	for i := range crowd {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := net.DialTimeout("tcp", n.front(), 2*time.Second)
			if err != nil {
				failed.Add(1)
				return
			}
			defer c.Close()
			opened.Add(1)
			_ = c.SetDeadline(time.Now().Add(crowdTime))
			if !trouble {
				fmt.Fprintf(c, "GET /%s/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%s-%d\r\nDeadline-Ms: 3000\r\n\r\n", hostedsite.Idempotent, host, n.name(), i)
				if a, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					_ = a.Body.Close()
					answered.Add(1)
				}
				time.Sleep(crowdTime / 2)
				return
			}
			sent, _ := c.Write([]byte(longHead(i)))
			bytes.Add(int64(sent))
			// It waits for an answer, or the end of the connection.
			_, _ = c.Read(make([]byte, 512))
		}()
	}
	wait.Wait()
	r.printf("crowd at %s: %d connections, %d refused, %d kB of heads, %d whole requests answered", n.name(), opened.Load(), failed.Load(), bytes.Load()>>10, answered.Load())
}

// longHead returns a head of headBytes in short fields, without its end.
func longHead(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET /%s/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: head-%d\r\n", hostedsite.Idempotent, host, i)
	for j := 0; b.Len() < headBytes; j++ {
		fmt.Fprintf(&b, "%x:\r\n", j)
	}
	return b.String()
}

// ordinary sends one request inside the limits.
func ordinary(n *node, attempt string) (int, error) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+n.front()+"/"+hostedsite.Idempotent+"/1", nil)
	if err != nil {
		return 0, err
	}
	r.Host = host
	hostedsite.SetAttemptHeaders(r.Header, attempt, 2*time.Second)
	a, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	return a.StatusCode, nil
}
