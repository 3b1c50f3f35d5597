package ingress

import (
	"sync"

	"daisyshed.dev/core"
)

// commandSlot holds the commands that a request's goroutine has not begun yet. The core
// sends a further command only after it has given up the step before, so that such a step is
// replaced by the next one. A run goes on beside a command that does not end it: the core
// may take it for a silent one, and it is begun first.
type commandSlot struct {
	// ready has a value while there may be a command.
	ready chan struct{}

	mu   sync.Mutex
	next []core.ForwardCommand
}

func newCommandSlot() *commandSlot { return &commandSlot{ready: make(chan struct{}, 1)} }

// put stores a command without blocking, and returns those that it replaces.
func (s *commandSlot) put(c core.ForwardCommand) []core.ForwardCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept, replaced []core.ForwardCommand
	for _, earlier := range s.next {
		if _, run := earlier.(core.RunForward); run && !endsRuns(c) {
			kept = append(kept, earlier)
		} else {
			replaced = append(replaced, earlier)
		}
	}
	s.next = append(kept, c)
	s.signal()
	return replaced
}

// take removes and returns the first command; nil if there is none.
func (s *commandSlot) take() core.ForwardCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.next) == 0 {
		return nil
	}
	c := s.next[0]
	s.next = s.next[1:]
	if len(s.next) > 0 {
		s.signal()
	}
	return c
}

func (s *commandSlot) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
