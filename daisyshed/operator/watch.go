package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/sse"
)

// watch sends the node's status as a server-sent event, once at the start and then
// whenever it has changed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(s.WatchInterval)
	defer ticker.Stop()
	lastKey := ""
	for {
		if status, err := s.query(r.Context()); err == nil {
			key := changeKey(status)
			if key != lastKey && s.sendStatus(w, status) != nil {
				return
			}
			lastKey = key
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// sendStatus writes the status as one event, within WriteTimeout.
func (s *Server) sendStatus(w http.ResponseWriter, status core.Status) error {
	data, err := json.Marshal(status)
	if err != nil {
		return err
	}
	c := http.NewResponseController(w)
	// If w does not support deadlines, only its connection bounds the write.
	_ = c.SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	if err := sse.Write(w, sse.Event{Name: "status", Data: string(data)}); err != nil {
		return err
	}
	return c.Flush()
}

// changeKey encodes a status without the fields that change all the time, so that
// two statuses can be compared.
func changeKey(s core.Status) string {
	s.ConfigAge = 0
	s.Checks = [9]uint64{}
	// Marshalling a Status cannot fail: it holds only strings, numbers and lists.
	data, _ := json.Marshal(s)
	return string(data)
}
