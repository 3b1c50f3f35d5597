package ingress

import (
	"sync"

	"daisyshed.dev/core"
)

// commandSlot holds the latest command for a request's goroutine. The core sends a further
// command only after it has given up the one before, so that a command which was not
// begun yet is replaced by the next one.
type commandSlot struct {
	// ready has a value while there may be a command.
	ready chan struct{}

	mu   sync.Mutex
	next core.ForwardCommand
}

func newCommandSlot() *commandSlot { return &commandSlot{ready: make(chan struct{}, 1)} }

// put stores a command without blocking, and returns the one that it replaces; nil if
// there is none.
func (s *commandSlot) put(c core.ForwardCommand) core.ForwardCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	replaced := s.next
	s.next = c
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return replaced
}

// take removes and returns the command; nil if there is none.
func (s *commandSlot) take() core.ForwardCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.next
	s.next = nil
	return c
}
