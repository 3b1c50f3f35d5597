package fault

import (
	"sync"
	"time"
)

// Unavailable is the error of an operation that was rejected before it took
// effect.
type Unavailable struct{}

// Error implements error.
func (Unavailable) Error() string { return "service is down" }

// ReplyLost is the error of an operation that took effect but whose reply is
// lost.
type ReplyLost struct{}

// Error implements error.
func (ReplyLost) Error() string { return "reply lost after the operation took effect" }

// Gate applies the faults of a service that has no clock of its own: Down,
// Delay and LoseReplies. Its zero value has no faults.
type Gate struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	loseReplies int
}

// Inject sets a fault. It returns false if the gate does not support its
// kind.
func (g *Gate) Inject(f Fault) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch f.Kind {
	case Down:
		g.down = f.On
	case Delay:
		g.delay = f.Duration()
	case LoseReplies:
		g.loseReplies = f.Count
	default:
		return false
	}
	return true
}

// Enter returns Unavailable if an operation must be rejected. It is called
// before the operation takes effect.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return Unavailable{}
	}
	return nil
}

// Leave returns ReplyLost if an operation's reply must be dropped. It is
// called after the operation has taken effect.
func (g *Gate) Leave() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.loseReplies == 0 {
		return nil
	}
	g.loseReplies--
	return ReplyLost{}
}

// Delay returns how long the runtime waits before each operation.
func (g *Gate) Delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delay
}
