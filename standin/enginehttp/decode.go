package enginehttp

import (
	"encoding/json"
	"fmt"
	"net/http"

	"daisyshed.dev/standin/engine"
	wire "daisyshed.dev/wire/engine"
)

// decode serves wire.DecodePath. It responds with the tokens of an answer as
// server-sent events. If the engine ends the stream early with an error code, the
// last event is of type error; if it gives no reason, the connection is closed.
func (s *Server) decode(w http.ResponseWriter, r *http.Request) {
	var body wire.DecodeRequest
	if !readBody(w, r, &body) {
		return
	}
	c := s.loop.newCall()
	command := s.submitAndWait(r, submission{engine.Decode{Ticket: c.ticket, Request: body}, c})
	if rejected, ok := command.(engine.Refused); ok {
		writeError(w, rejected.Code, rejected.Detail)
		return
	}
	if _, ok := command.(engine.StreamOpened); !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	s.stream(w, r, c)
}

// stream writes the tokens of an answer until the last one, an error or the
// client's disconnect.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, c *call) {
	control := http.NewResponseController(w)
	for {
		_ = control.Flush()
		switch command := s.nextReply(r, c).(type) {
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

// writeEvent writes one server-sent event: the header lines, then body as JSON.
func writeEvent(w http.ResponseWriter, header string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%sdata: %s\n\n", header, data)
}
