package caller

import (
	"net/http"
	"time"

	"daisyshed.dev/core"
)

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	s.generate(w, r, completionForm, completionBody.promptText)
}

func (s *Server) chatCompletion(w http.ResponseWriter, r *http.Request) {
	s.generate(w, r, chatForm, completionBody.chatText)
}

// generate serves a request for a generated answer until it has ended.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, f form, textOf func(completionBody) (string, *Problem)) {
	id, problem := readIdentity(r)
	if problem != nil {
		problem.write(w)
		return
	}
	w.Header().Set(requestIDHeader, id.name)
	body, problem := s.readCompletion(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	text, problem := textOf(body)
	if problem != nil {
		problem.write(w)
		return
	}
	if id.resumed && !body.Stream {
		badHeader("only a streamed answer is resumed with Last-Event-ID").write(w)
		return
	}
	prompt := Tokenise(text)
	h := heading{name: id.name, form: f, profile: body.Model, created: time.Now(), prompt: prompt.Tokens}
	req := newRequest(id.requestID(body, text), text, id.after, s.output(w, h, body.Stream))
	s.serve(r, req, core.CallerRequest{
		Request:     req.id,
		Profile:     body.Model,
		Customer:    body.User,
		Prompt:      prompt,
		MaxTokens:   body.MaxTokens,
		Resumed:     id.resumed,
		ResumeAfter: id.after,
	})
}

func (s *Server) output(w http.ResponseWriter, h heading, stream bool) output {
	if stream {
		return &eventStream{w: w, heading: h, timeout: s.Limits.WriteTimeout}
	}
	return &wholeAnswer{w: w, heading: h, timeout: s.Limits.WriteTimeout}
}

// measure tells the meter of an answer that its caller was sent whole.
func (s *Server) measure(req *request, m core.CallerRequest) {
	if s.Meter != nil && req.close() {
		s.Meter.Answered(req.pace.answered(m))
	}
}

// serve passes a request to the core and waits for its end.
func (s *Server) serve(r *http.Request, req *request, m core.CallerRequest) {
	if !s.requests.enter(req, m.Resumed) {
		req.out.problem(refusal(core.InProgress, core.NotRun, 0))
		return
	}
	defer s.requests.leave(req)
	defer s.measure(req, m)
	s.Send(m)
	select {
	case p := <-req.refused:
		if !req.close() {
			req.out.problem(p)
		}
		return
	case <-req.finished:
	case <-req.broken:
	case <-req.taken:
	case <-r.Context().Done():
	}
	if !req.close() {
		s.Send(core.CallerDisconnected{Request: req.id})
	}
}
