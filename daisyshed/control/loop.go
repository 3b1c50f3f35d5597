// Package control runs the decision core. One goroutine, the control goroutine,
// owns the core.Node, passes messages to it and dispatches its commands to
// components that execute them in goroutines of their own.
package control

import (
	"context"
	"time"

	"daisyshed.dev/core"
)

// Loop owns a core.Node and runs it. Its fields must be set before Run.
type Loop struct {
	Node     *core.Node
	Inbox    *Inbox
	Clock    func() core.Instant
	Executor Executor
	Observer Observer
}

// Observer receives the messages and commands of the control goroutine, for
// metrics. Its methods must not block.
type Observer interface {
	// RecordMessage is called before a message is passed to the node.
	RecordMessage(m core.Message)
	// RecordCommand is called before a command is dispatched.
	RecordCommand(c core.Command)
	// RecordUpdate reports how long the control goroutine took to handle one message.
	RecordUpdate(busy time.Duration)
}

// Run passes messages and timer ticks to the node until the node stops or ctx
// ends. It reports whether the node stopped, having completed its shutdown.
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

// setTimer sets timer to the time at which the node next needs a tick, if any.
func (l *Loop) setTimer(timer *time.Timer) {
	at, ok := l.Node.NextTick()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(max(at.Sub(l.Clock()), 0))
}

// update passes one message to the node, dispatches the resulting commands and
// reports whether the node stopped.
func (l *Loop) update(m core.Message) bool {
	l.Observer.RecordMessage(m)
	start := time.Now()
	defer func() { l.Observer.RecordUpdate(time.Since(start)) }()
	commands := l.Node.Update(l.Clock(), m)
	stopped := false
	for _, c := range commands {
		l.Observer.RecordCommand(c)
		if _, ok := c.(core.StopNode); ok {
			stopped = true
			continue
		}
		l.Executor.execute(l.Node, c)
	}
	return stopped
}
