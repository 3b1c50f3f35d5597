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
	w       http.ResponseWriter
	heading heading
	timeout time.Duration
	began   bool
}

func (s *eventStream) token(offset core.Tokens, text string, last bool) error {
	data, err := json.Marshal(s.heading.part(offset, text, last))
	if err != nil {
		return err
	}
	s.begin()
	event := sse.Event{ID: strconv.Itoa(int(offset)), Data: string(data)}
	if err := sse.Write(s.w, event); err != nil {
		return err
	}
	if last {
		return s.end()
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *eventStream) end() error {
	s.begin()
	if err := sse.Write(s.w, sse.Event{Data: "[DONE]"}); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// begin sends the head of the stream, once, and bounds the next write.
func (s *eventStream) begin() {
	extend(s.w, s.timeout)
	if s.began {
		return
	}
	s.began = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventStream) problem(p Problem) {
	if !s.began {
		p.write(s.w)
		return
	}
	s.begin()
	// A caller that left needs no answer.
	_ = sse.Write(s.w, sse.Event{Name: "error", Data: string(p.JSON())})
}

// wholeAnswer collects an answer and writes it at its end.
type wholeAnswer struct {
	w       http.ResponseWriter
	heading heading
	timeout time.Duration
	text    strings.Builder
}

func (a *wholeAnswer) token(offset core.Tokens, text string, last bool) error {
	a.text.WriteString(text)
	if !last {
		return nil
	}
	extend(a.w, a.timeout)
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(a.heading.whole(a.text.String(), offset))
}

// end is not reached: only a streamed answer is resumed at its end.
func (a *wholeAnswer) end() error { return nil }

func (a *wholeAnswer) problem(p Problem) { p.write(a.w) }
