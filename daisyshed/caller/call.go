package caller

import (
	"net/http"
	"strconv"
	"time"

	"daisyshed.dev/core"
)

// handleCall serves a call to a plain service.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	m, problem := s.readCall(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	answers, done := s.calls.Wait(m.Call)
	defer done()
	s.SendToCore(m)
	timeout := time.NewTimer(s.Limits.CallTimeout)
	defer timeout.Stop()
	select {
	case answer := <-answers:
		writeCall(w, answer)
	case <-timeout.C:
		newProblem(http.StatusGatewayTimeout, NoAnswer, core.Unknown, details[core.NoReason], 0).write(w)
	case <-r.Context().Done():
	}
}

// readCall builds the core's message from a request. If the request is
// rejected, it returns the problem to send to the caller.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request) (core.ServiceCall, *Problem) {
	m := core.ServiceCall{
		Call:     s.nextCall(),
		Profile:  core.ProfileID(r.PathValue("profile")),
		Customer: core.CustomerID(r.Header.Get(customerHeader)),
		Key:      core.IdempotencyKey(r.Header.Get(keyHeader)),
	}
	if m.Key != "" && !printable(string(m.Key)) {
		return m, badHeader(keyHeader + " must be of 1 to 200 printable characters")
	}
	if epoch := r.Header.Get(epochHeader); epoch != "" {
		minted, err := strconv.ParseInt(epoch, 10, 64)
		if err != nil || minted <= 0 {
			return m, badHeader(epochHeader + " must be the Epoch of an address answer")
		}
		m.KeyMinted = minted
	}
	switch value := r.Header.Get(firstHeader); value {
	case "":
	case "true":
		m.First = true
	default:
		return m, badHeader(firstHeader + " must be true or absent")
	}
	body, problem := s.readBody(w, r)
	m.Body = body
	return m, problem
}

func writeCall(w http.ResponseWriter, a core.AnswerCall) {
	if a.Outcome != core.Ran || a.Reason != core.NoReason {
		problemFromCore(a.Reason, a.Outcome, a.RetryAfter).write(w)
		return
	}
	setWriteDeadline(w, answerTimeout)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcomeHeader, a.Outcome.String())
	w.WriteHeader(serviceStatus(a.Status))
	// The error is ignored: a caller that disconnected needs no answer.
	_, _ = w.Write(a.Body)
}

// serviceStatus returns a service's status if it is a valid final HTTP status,
// and 200 otherwise.
func serviceStatus(status int) int {
	if status < http.StatusOK || status > 599 {
		return http.StatusOK
	}
	return status
}
