// Package fault describes the faults that tests inject into the stand-ins.
package fault

import "time"

// Path is the path at which each program of command standin accepts a Fault by
// POST.
const Path = "/fault"

// Fault injects or ends a fault. Kind is one of the kinds below and determines
// which other field is read; the zero value of that field ends the fault. Crash
// reads none and takes effect once.
type Fault struct {
	Kind   string
	On     bool
	Millis int64
	Count  int
	Rate   float64
}

// The kinds of fault.
const (
	// Delay postpones every operation by Millis.
	Delay = "Delay"
	// Stall stops transfers while On.
	Stall = "Stall"
	// Freeze stops the whole engine for Millis. Requests wait meanwhile.
	Freeze = "Freeze"
	// Crash loses all allocations, the prefix cache and every operation in
	// progress.
	Crash = "Crash"
	// LoseReplies drops the next Count replies after their operations have
	// taken effect.
	LoseReplies = "LoseReplies"
	// EventGaps loses cache events with probability Rate.
	EventGaps = "EventGaps"
	// IgnoreFencing accepts orders with an old fencing token while On.
	IgnoreFencing = "IgnoreFencing"
	// Drain rejects new requests while On.
	Drain = "Drain"
	// Down rejects every operation before it takes effect while On.
	Down = "Down"
)

// Duration returns Millis as a duration.
func (f Fault) Duration() time.Duration {
	return time.Duration(f.Millis) * time.Millisecond
}
