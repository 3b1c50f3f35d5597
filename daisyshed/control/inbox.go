package control

import "daisyshed.dev/core"

// Inbox is the bounded queue of messages from all other goroutines to the control
// goroutine.
type Inbox struct {
	messages chan core.Message
	closed   chan struct{}
}

// OpenInbox returns an Inbox that holds up to size messages. The clean-up
// function closes it: blocked and later sends return, and their messages may be
// lost.
func OpenInbox(size int) (*Inbox, func()) {
	i := &Inbox{messages: make(chan core.Message, size), closed: make(chan struct{})}
	return i, func() { close(i.closed) }
}

// Send enqueues m and blocks while the inbox is full. The control goroutine must
// not call it, since it could wait for itself.
func (i *Inbox) Send(m core.Message) {
	select {
	case i.messages <- m:
	case <-i.closed:
	}
}
