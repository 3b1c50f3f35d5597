package peer

import (
	"fmt"
	"sync"
	"time"

	"daisyshed.dev/core"
	"github.com/hashicorp/yamux"
)

const (
	// probePause is the least time between two probes of a link that is in use.
	probePause = 250 * time.Millisecond
	// minLinkRate is the least rate, in bytes a second, at which a sound link carries what was
	// sent before a probe.
	minLinkRate = 256 << 10
)

// SilentError reports a connection on which the other node has answered nothing for After.
type SilentError struct {
	To    core.NodeID
	After time.Duration
}

// Error returns the message with the receiver and the time.
func (e *SilentError) Error() string {
	return fmt.Sprintf("peer: connection to %s is silent for %s", e.To, e.After)
}

// prober finds out whether the other end of a session still answers. Messages go in one
// direction, and writes to a connection that carries nothing succeed until buffers are full.
type prober struct {
	session *yamux.Session
	// timeout is how long an answer may take, in addition to the time for what was sent before.
	timeout time.Duration
	// silent is called once if the other end does not answer.
	silent func(after time.Duration)

	mu      sync.Mutex
	probing bool
	// unproven is how many bytes were sent since the last probe that was answered began.
	unproven   int
	answeredAt time.Time
}

// sent records that bytes were sent, and probes the session unless it was probed just now.
func (p *prober) sent(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unproven += n
	if !p.probing && time.Since(p.answeredAt) >= probePause {
		p.start()
	}
}

// check probes the session unless a probe is under way.
func (p *prober) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probing {
		p.start()
	}
}

// start starts a probe. The caller holds p.mu.
func (p *prober) start() {
	p.probing = true
	go p.probe(p.unproven)
}

// probe sends pings until one is answered or the session counts as silent. A ping waits behind
// what was sent before it.
func (p *prober) probe(unproven int) {
	began := time.Now()
	answered := make(chan error, 1)
	go func() { answered <- p.ping() }()
	timer := time.NewTimer(p.timeout + time.Duration(unproven)*time.Second/minLinkRate)
	defer timer.Stop()
	select {
	case err := <-answered:
		if err != nil {
			// The session is closed.
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.probing, p.answeredAt = false, time.Now()
		p.unproven -= unproven
	case <-timer.C:
		p.silent(time.Since(began))
	}
}

// ping sends pings until one is answered or the session is closed. yamux waits for an answer
// for a time that does not depend on what was sent before.
func (p *prober) ping() error {
	for {
		_, err := p.session.Ping()
		if err == nil || p.session.IsClosed() {
			return err
		}
	}
}
