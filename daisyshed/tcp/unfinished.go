package tcp

import (
	"fmt"
	"sync/atomic"
)

// smallMessage is how many bytes of a message a connection may hold whatever the others hold: as many
// as its read buffer. Heads of most messages take less, also in parsed form.
const smallMessage = 4 << 10

// Unfinished bounds the sum of the bytes that connections hold of messages whose end has not been
// received, or that are in use as a whole. A bound for each message is not enough: a process has thousands of connections, and a
// faulty sender may never end a message on any of them. Its zero value refuses nothing. It is safe for
// concurrent use.
type Unfinished struct{ limit, held atomic.Int64 }

// SetLimit sets how many bytes may be held in all; zero sets no limit.
func (u *Unfinished) SetLimit(n int64) { u.limit.Store(n) }

// Held returns how many bytes are held.
func (u *Unfinished) Held() int64 { return u.held.Load() }

// UnfinishedError reports that a message of at least Bytes bytes exceeds the limit beside the Held bytes
// of unfinished messages.
type UnfinishedError struct{ Bytes, Held int64 }

// Error returns the message with the sizes.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("tcp: no memory for %d bytes of an unfinished message beside %d bytes", e.Bytes, e.Held)
}

// Reservation is what one message holds. The zero value belongs to no Unfinished, and refuses nothing.
// Its methods may be called by one goroutine at a time.
type Reservation struct {
	of   *Unfinished
	held int64
}

// Small reports whether the message is one that a connection may hold whatever the others hold.
func (r *Reservation) Small() bool { return r.held <= smallMessage }

// Next returns an empty reservation of the same Unfinished.
func (r *Reservation) Next() Reservation { return Reservation{of: r.of} }

// Reserve returns an empty reservation of u, which may be nil.
func (u *Unfinished) Reserve() Reservation { return Reservation{of: u} }

// Grow adds n bytes to what the message holds. It returns an *[UnfinishedError], and adds nothing, if
// too many bytes are held in all and the message is not a small one.
func (r *Reservation) Grow(n int64) error {
	if r.of == nil {
		return nil
	}
	for {
		held, limit := r.of.held.Load(), r.of.limit.Load()
		if limit > 0 && held+n > limit && r.held+n > smallMessage {
			return &UnfinishedError{Bytes: r.held + n, Held: held}
		}
		if r.of.held.CompareAndSwap(held, held+n) {
			r.held += n
			return nil
		}
	}
}

// Release frees the reservation once the message has ended or is not read any further.
func (r *Reservation) Release() {
	if r.of != nil {
		r.of.held.Add(-r.held)
	}
	r.held = 0
}
