// Package fault describes the faults that tests inject into the stand-ins.
package fault

import "time"

// Path takes a Fault by POST on every stand-in.
const Path = "/fault"

// Fault is one fault to inject, or to end when its On, Count, Rate or Millis
// is zero. Kind is one of the kinds below and says which fields are read.
type Fault struct {
	Kind   string
	On     bool
	Millis int64
	Count  int
	Rate   float64
}

// The kinds of fault.
const (
	// Delay adds Millis to every operation.
	Delay = "Delay"
	// Stall stops transfers while On.
	Stall = "Stall"
	// Freeze stops the whole process for Millis; requests wait.
	Freeze = "Freeze"
	// Crash loses all memory and every operation in progress.
	Crash = "Crash"
	// LoseReplies drops the next Count answers after their operation has
	// taken effect.
	LoseReplies = "LoseReplies"
	// EventGaps loses cache events with probability Rate.
	EventGaps = "EventGaps"
	// IgnoreFencing accepts orders with an old fencing number while On.
	IgnoreFencing = "IgnoreFencing"
	// Drain takes no new work while On.
	Drain = "Drain"
	// Down refuses every operation before it takes effect while On.
	Down = "Down"
)

// Duration returns Millis as a duration.
func (f Fault) Duration() time.Duration {
	return time.Duration(f.Millis) * time.Millisecond
}
