// Package control runs the decision core: one goroutine owns the core.Node,
// passes it messages and hands its commands to those who carry them out in
// goroutines of their own.
package control

import (
	"context"
	"time"

	"daisyshed.dev/core"
)

// Loop owns a core.Node. Its fields are set before Run.
type Loop struct {
	Node     *core.Node
	Inbox    *Inbox
	Clock    func() core.Instant
	Executor Executor
	Observer Observer
}

// Observer watches what passes through the control goroutine, for metrics. It
// must not block.
type Observer interface {
	Message(m core.Message)
	Command(c core.Command)
	// Updated says how long the control goroutine was busy with one message.
	Updated(busy time.Duration)
}

// Run passes messages to the node until it stops or ctx ends. It reports
// whether the node stopped by itself, having finished all it had.
func (l *Loop) Run(ctx context.Context) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var m core.Message
		select {
		case <-ctx.Done():
			return false
		case m = <-l.Inbox.messages:
		case <-timer.C:
			m = core.Tick{}
		}
		if l.update(m) {
			return true
		}
		l.setTimer(timer)
	}
}

func (l *Loop) setTimer(timer *time.Timer) {
	at, ok := l.Node.Wake()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(max(at.Sub(l.Clock()), 0))
}

// update passes one message to the node and reports whether it stopped.
func (l *Loop) update(m core.Message) bool {
	l.Observer.Message(m)
	start := time.Now()
	defer func() { l.Observer.Updated(time.Since(start)) }()
	commands := l.Node.Update(l.Clock(), m)
	stopped := false
	for _, c := range commands {
		l.Observer.Command(c)
		if _, ok := c.(core.StopNode); ok {
			stopped = true
			continue
		}
		l.Executor.carryOut(l.Node, c)
	}
	return stopped
}
