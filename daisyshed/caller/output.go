package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/sse"
)

// eventStream writes an answer as server-sent events.
type eventStream struct {
	w          http.ResponseWriter
	header     chunkHeader
	timeout    time.Duration
	headerSent bool
}

func (s *eventStream) writeToken(offset core.Tokens, text string, last bool) error {
	data, err := json.Marshal(s.header.tokenChunk(offset, text, last))
	if err != nil {
		return err
	}
	s.prepareWrite()
	event := sse.Event{ID: strconv.Itoa(int(offset)), Data: string(data)}
	if err := sse.Write(s.w, event); err != nil {
		return err
	}
	if last {
		return s.writeEnd()
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *eventStream) writeEnd() error {
	s.prepareWrite()
	if err := sse.Write(s.w, sse.Event{Data: "[DONE]"}); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// prepareWrite sets the deadline of the next write. On its first call it also
// sends the response headers.
func (s *eventStream) prepareWrite() {
	setWriteDeadline(s.w, s.timeout)
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventStream) writeProblem(p Problem) {
	if !s.headerSent {
		p.write(s.w)
		return
	}
	s.prepareWrite()
	// The error is ignored: a caller that disconnected needs no answer.
	_ = sse.Write(s.w, sse.Event{Name: "error", Data: string(p.JSON())})
}

// bufferedAnswer collects an answer and writes it after its last token.
type bufferedAnswer struct {
	w       http.ResponseWriter
	header  chunkHeader
	timeout time.Duration
	text    strings.Builder
}

func (a *bufferedAnswer) writeToken(offset core.Tokens, text string, last bool) error {
	a.text.WriteString(text)
	if !last {
		return nil
	}
	setWriteDeadline(a.w, a.timeout)
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(a.header.completeAnswer(a.text.String(), offset))
}

// writeEnd is never called: only a streamed answer can be resumed.
func (a *bufferedAnswer) writeEnd() error { return nil }

func (a *bufferedAnswer) writeProblem(p Problem) { p.write(a.w) }
