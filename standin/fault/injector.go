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

// Injector applies the faults of a service that has no clock of its own: Down,
// Delay and LoseReplies. Its zero value has no faults.
type Injector struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	loseReplies int
}

// Inject sets a fault. It returns false if the injector does not support its
// kind.
func (i *Injector) Inject(f Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch f.Kind {
	case Down:
		i.down = f.On
	case Delay:
		i.delay = f.Duration()
	case LoseReplies:
		i.loseReplies = f.Count
	default:
		return false
	}
	return true
}

// BeforeOperation returns Unavailable if an operation must be rejected. It is called
// before the operation takes effect.
func (i *Injector) BeforeOperation() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return Unavailable{}
	}
	return nil
}

// AfterOperation returns ReplyLost if an operation's reply must be dropped. It is
// called after the operation has taken effect.
func (i *Injector) AfterOperation() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.loseReplies == 0 {
		return nil
	}
	i.loseReplies--
	return ReplyLost{}
}

// Delay returns how long the caller must wait before each operation, as the
// injector does not wait itself.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}
