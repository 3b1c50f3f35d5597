package tcp

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

const (
	// smallHead is the parsed size, in bytes, up to which a head is always admitted. Heads of most
	// requests are smaller.
	smallHead = 8 << 10
	// headSlack is how many bytes a head may have beyond the limit, as in net/http: the limit may be
	// meant without the request line.
	headSlack = 4 << 10
	// newSilence is for how long a new client may send nothing before its connection may be closed for
	// another one's sake. Callers send their requests at once; the time is for the network.
	newSilence = 50 * time.Millisecond
	// partSilence is for how long a client may send nothing of a request that it has begun before its
	// connection may be closed for another one's sake, and defaultPartTime how long the whole head, or
	// the whole body, may take if no limit is set.
	partSilence     = 200 * time.Millisecond
	defaultPartTime = 5 * time.Second
	// unreadSilence is how long a write to a client may block before its connection may be closed to
	// admit another one.
	unreadSilence = 2 * time.Second
)

// Admission bounds what the connections of a listener hold: their number, and the heads of requests in
// parsed form, from a head's first byte until the request's handler has returned. For a new connection
// or head, those connections are closed first whose clients have sent nothing for longest. Its zero
// value sets no bound. It is safe for concurrent use.
type Admission struct {
	// OnRefused is called when a request is rejected or a client's connection closed because of a bound:
	// with a *[HeadTooLongError], *[HeadsFullError] or *[SilentError]. It must not block, and may be nil.
	OnRefused func(error)

	conns, headMemory, headText, partTime atomic.Int64
	// held is what all heads take, each beyond smallHead.
	held atomic.Int64
}

// SetConns sets how many connections may be open at a time, beside the limit of the listener; zero
// sets no bound.
func (a *Admission) SetConns(n int) { a.conns.Store(int64(n)) }

// SetHeadMemory limits the total parsed size of all heads, in bytes, not counting smallHead for each
// connection; zero sets no limit. A head is always admitted if no other one uses the memory.
func (a *Admission) SetHeadMemory(n int64) { a.headMemory.Store(n) }

// SetHeadBytes sets how many bytes the text of a head may have; zero sets no bound.
func (a *Admission) SetHeadBytes(n int64) { a.headText.Store(n) }

// SetPartTime sets how long a client may take for a head, or for a body, before its connection may be
// closed for another one's sake; zero sets a default.
func (a *Admission) SetPartTime(d time.Duration) { a.partTime.Store(int64(d)) }

// Held returns how many bytes all heads take beyond those that each connection may hold.
func (a *Admission) Held() int64 { return a.held.Load() }

func (a *Admission) maxPartTime() time.Duration {
	if d := time.Duration(a.partTime.Load()); d > 0 {
		return d
	}
	return defaultPartTime
}

// tooLong reports whether a head of so many bytes is too long, and the limit.
func (a *Admission) tooLong(text int64) (limit int64, tooLong bool) {
	limit = a.headText.Load()
	return limit, limit > 0 && text > limit+headSlack
}

// resize changes what a head takes, and reports whether there is memory for it. There is if no other
// head holds any.
func (a *Admission) resize(from, to int64) bool {
	from, to = max(from-smallHead, 0), max(to-smallHead, 0)
	for {
		held, limit := a.held.Load(), a.headMemory.Load()
		if to > from && limit > 0 && held > from && held-from+to > limit {
			return false
		}
		if a.held.CompareAndSwap(held, held-from+to) {
			return true
		}
	}
}

func (a *Admission) report(err error) {
	if a.OnRefused != nil {
		a.OnRefused(err)
	}
}

// HeadTooLongError reports a request whose head has more than Limit bytes.
type HeadTooLongError struct{ Limit int64 }

// Error returns the message with the limit.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("tcp: head of a request exceeds %d bytes", e.Limit)
}

// HeadsFullError reports a head that takes Bytes bytes in parsed form, for which there is no memory
// beside the Held bytes of others.
type HeadsFullError struct{ Bytes, Held int64 }

// Error returns the message with the sizes.
func (e *HeadsFullError) Error() string {
	return fmt.Sprintf("tcp: no memory for a head of %d bytes in parsed form beside %d bytes", e.Bytes, e.Held)
}

// SilentError reports a connection that was closed for another one's sake: its client had sent nothing,
// not the whole of its request, or had left its answer unread, for the time Silent.
type SilentError struct{ Silent time.Duration }

// Error returns the message with the time.
func (e *SilentError) Error() string {
	return fmt.Sprintf("tcp: connection closed for another one after its client was silent for %s", e.Silent)
}

// Admit bounds the connections of a listener of this package by a. It is called before the listener
// accepts, for an HTTP server whose handlers call [BeginRequest] and whose ConnState is [TrackState].
func Admit(l net.Listener, a *Admission) {
	if limited, ok := l.(*limitedListener); ok {
		limited.admission = a
	}
}
