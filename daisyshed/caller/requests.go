package caller

import (
	"sync"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
)

// requestTable holds the requests whose callers are connected to this node.
type requestTable struct {
	mu   sync.Mutex
	byID map[core.RequestID]*request
}

// add adds a request and reports whether it may be served. A resumed request
// supersedes the one on the caller's earlier connection, and is added after that
// one is removed. Any other duplicate of a request in progress is not added.
func (s *requestTable) add(r *request, resumed bool) bool {
	for {
		existing := s.insertIfAbsent(r)
		if existing == nil {
			return true
		}
		if !resumed {
			return false
		}
		existing.supersede()
		<-existing.removed
	}
}

// insertIfAbsent adds r, unless there is already a request with the same id, which
// it then returns.
func (s *requestTable) insertIfAbsent(r *request) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.byID[r.id]; existing != nil {
		return existing
	}
	if s.byID == nil {
		s.byID = map[core.RequestID]*request{}
	}
	s.byID[r.id] = r
	return nil
}

// remove removes r. If there is a CallerDisconnected for r, it must have been sent
// to the core before. Otherwise the core would apply it to the resumed request,
// which has the same id.
func (s *requestTable) remove(r *request) {
	s.mu.Lock()
	delete(s.byID, r.id)
	s.mu.Unlock()
	close(r.removed)
}

func (s *requestTable) get(id core.RequestID) (*request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byID[id]
	return r, ok
}

func (s *requestTable) reject(id core.RequestID, p Problem) {
	if r, ok := s.get(id); ok {
		r.reject(p)
	}
}

// Answer implements engine.AnswerLookup: it returns the request with this id, to
// which the engine client sends the tokens of its answer.
func (s *Server) Answer(id core.RequestID) (engine.AnswerSink, bool) {
	r, ok := s.requests.get(id)
	if !ok {
		return nil, false
	}
	return r, true
}
