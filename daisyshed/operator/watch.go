package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/sse"
)

// watch sends the node's status as a server-sent event at once and whenever it
// changes.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(s.WatchEvery)
	defer ticker.Stop()
	last := ""
	for {
		if status, err := s.query(r.Context()); err == nil {
			now := withoutNoise(status)
			if now != last && s.sendStatus(w, status) != nil {
				return
			}
			last = now
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) sendStatus(w http.ResponseWriter, status core.Status) error {
	data, err := json.Marshal(status)
	if err != nil {
		return err
	}
	c := http.NewResponseController(w)
	// A writer without deadlines is bounded by its connection alone.
	_ = c.SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	if err := sse.Write(w, sse.Event{Name: "status", Data: string(data)}); err != nil {
		return err
	}
	return c.Flush()
}

// withoutNoise returns a status without what changes all the time.
func withoutNoise(s core.Status) string {
	s.ConfigAge = 0
	s.Checks = [9]uint64{}
	// A Status holds only texts, numbers and lists, which always marshal.
	data, _ := json.Marshal(s)
	return string(data)
}
