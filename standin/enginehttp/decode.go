package enginehttp

import (
	"encoding/json"
	"fmt"
	"net/http"

	"daisyshed.dev/standin/engine"
	wire "daisyshed.dev/wire/engine"
)

// decode answers with the stream of an answer as server-sent events. A stream
// that the engine ends early closes with an event of type error.
func (s *Server) decode(w http.ResponseWriter, r *http.Request) {
	var body wire.DecodeRequest
	if !read(w, r, &body) {
		return
	}
	c := s.loop.newCall()
	command := s.await(r, submission{engine.Decode{Ticket: c.ticket, Request: body}, c})
	if refused, ok := command.(engine.Refused); ok {
		refuse(w, refused.Code, refused.Detail)
		return
	}
	if _, ok := command.(engine.Opened); !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	s.stream(w, r, c)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, c *call) {
	control := http.NewResponseController(w)
	for {
		_ = control.Flush()
		switch command := s.next(r, c).(type) {
		case engine.Token:
			writeEvent(w, fmt.Sprintf("id: %d\n", command.Offset), command.Event)
			if command.Event.Last {
				return
			}
		case engine.Refused:
			writeEvent(w, "event: error\n", wire.ErrorBody{Code: command.Code, Detail: command.Detail})
			return
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvent(w http.ResponseWriter, header string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%sdata: %s\n\n", header, data)
}
