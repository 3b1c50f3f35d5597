package caller

import (
	"sync"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
)

// requests holds the requests whose callers are connected to this node.
type requests struct {
	mu   sync.Mutex
	byID map[core.RequestID]*request
}

// enter adds a request and reports whether it may go on. A caller that
// resumes takes over from its own earlier connection, which is ended first;
// any other repetition of a request in progress may not go on.
func (s *requests) enter(r *request, resumed bool) bool {
	for {
		older := s.insert(r)
		if older == nil {
			return true
		}
		if !resumed {
			return false
		}
		older.takeOver()
		<-older.left
	}
}

// insert adds r unless a request of the same id is there, which it returns.
func (s *requests) insert(r *request) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	if older := s.byID[r.id]; older != nil {
		return older
	}
	if s.byID == nil {
		s.byID = map[core.RequestID]*request{}
	}
	s.byID[r.id] = r
	return nil
}

// leave removes r. The core must have heard of its end before, so that a
// caller who resumes is not mistaken for the one who left.
func (s *requests) leave(r *request) {
	s.mu.Lock()
	delete(s.byID, r.id)
	s.mu.Unlock()
	close(r.left)
}

func (s *requests) get(id core.RequestID) (*request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byID[id]
	return r, ok
}

func (s *requests) refuse(id core.RequestID, p Problem) {
	if r, ok := s.get(id); ok {
		r.refuse(p)
	}
}

// Answer returns the answer to a request, for the engine client.
func (s *Server) Answer(id core.RequestID) (engine.Answer, bool) {
	r, ok := s.requests.get(id)
	if !ok {
		return nil, false
	}
	return r, true
}
