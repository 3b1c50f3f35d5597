package caller

import (
	"net/http"
	"time"

	"daisyshed.dev/core"
)

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	s.generate(w, r, completionFormat, completionBody.promptText)
}

func (s *Server) handleChatCompletion(w http.ResponseWriter, r *http.Request) {
	s.generate(w, r, chatFormat, completionBody.chatText)
}

// generate checks a request for a generated answer, tokenises its prompt, and
// serves the request until it has ended.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, format answerFormat, promptOf func(completionBody) (string, *Problem)) {
	id, problem := readIdentity(r)
	if problem != nil {
		problem.write(w)
		return
	}
	w.Header().Set(requestIDHeader, id.callerID)
	body, problem := s.readCompletion(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	text, problem := promptOf(body)
	if problem != nil {
		problem.write(w)
		return
	}
	if id.resumed && !body.Stream {
		badHeader("only a streamed answer is resumed with Last-Event-ID").write(w)
		return
	}
	prompt := Tokenise(text)
	h := chunkHeader{id: id.callerID, format: format, profile: body.Model, created: time.Now(), promptTokens: prompt.Tokens}
	req := newRequest(id.requestID(body, text), text, id.resumeAfter, s.newAnswerWriter(w, h, body.Stream))
	s.serveRequest(r, req, core.CallerRequest{
		Request:     req.id,
		Profile:     body.Model,
		Customer:    body.User,
		Prompt:      prompt,
		MaxTokens:   body.MaxTokens,
		Resumed:     id.resumed,
		ResumeAfter: id.resumeAfter,
	})
}

func (s *Server) newAnswerWriter(w http.ResponseWriter, h chunkHeader, stream bool) answerWriter {
	if stream {
		return &eventStream{w: w, header: h, timeout: s.Limits.WriteTimeout}
	}
	return &bufferedAnswer{w: w, header: h, timeout: s.Limits.WriteTimeout}
}

// recordLatency records the request's latencies, if there is a LatencyRecorder and
// the whole answer was sent to the caller.
func (s *Server) recordLatency(req *request, m core.CallerRequest) {
	if s.LatencyRecorder != nil && req.close() {
		s.LatencyRecorder.RecordAnswer(req.timing.summary(m))
	}
}

// serveRequest sends a request to the core and waits until it has ended. If it ended
// without a complete answer and was not rejected by the core, CallerDisconnected is
// sent to the core before the request is removed from the table.
func (s *Server) serveRequest(r *http.Request, req *request, m core.CallerRequest) {
	if !s.requests.add(req, m.Resumed) {
		req.out.writeProblem(problemFromCore(core.InProgress, core.NotRun, 0))
		return
	}
	defer s.requests.remove(req)
	defer s.recordLatency(req, m)
	s.SendToCore(m)
	select {
	case p := <-req.rejected:
		if !req.close() {
			req.out.writeProblem(p)
		}
		return
	case <-req.finished:
	case <-req.aborted:
	case <-req.superseded:
	case <-r.Context().Done():
	}
	if !req.close() {
		s.SendToCore(core.CallerDisconnected{Request: req.id})
	}
}
