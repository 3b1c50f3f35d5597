package fault

import (
	"sync"
	"time"
)

// Unavailable says that an operation was refused before it took effect.
type Unavailable struct{}

func (Unavailable) Error() string { return "service is down" }

// ReplyLost says that an operation took effect but its reply is lost.
type ReplyLost struct{}

func (ReplyLost) Error() string { return "reply lost after the operation took effect" }

// Gate applies the faults of a service that has no clock of its own: Down,
// Delay and LoseReplies. Its zero value has no faults.
type Gate struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	loseReplies int
}

// Inject sets a fault. It returns false if the gate does not know its kind.
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

// Enter returns Unavailable if the operation may not take effect.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return Unavailable{}
	}
	return nil
}

// Leave returns ReplyLost if the operation's reply is to be lost.
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
