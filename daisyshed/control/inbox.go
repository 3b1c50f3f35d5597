package control

import "daisyshed.dev/core"

// Inbox passes messages from traffic goroutines to the control goroutine.
type Inbox struct {
	messages chan core.Message
	closed   chan struct{}
}

// OpenInbox returns an Inbox that holds size messages. The clean-up function
// ends all waiting and later sends without delivering them.
func OpenInbox(size int) (*Inbox, func()) {
	i := &Inbox{messages: make(chan core.Message, size), closed: make(chan struct{})}
	return i, func() { close(i.closed) }
}

// Send delivers m, and waits while the inbox is full. The control goroutine
// itself must not call it.
func (i *Inbox) Send(m core.Message) {
	select {
	case i.messages <- m:
	case <-i.closed:
	}
}
