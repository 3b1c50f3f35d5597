// Package caller serves the HTTP API for callers.
package caller

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
)

// The request and response headers that have a meaning to daisyshed, besides the
// standard ones.
const (
	outcomeHeader   = "Daisyshed-Outcome"
	customerHeader  = "Daisyshed-Customer"
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	epochHeader     = "Idempotency-Epoch"
	firstHeader     = "Idempotency-First"
)

// MaxIDBytes is the maximum length in bytes of a request id or an idempotency key.
const MaxIDBytes = 200

// Limits are the bounds on requests from callers to one node.
type Limits struct {
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// Requests is the maximum number of requests in flight, of all endpoints.
	Requests int64
	// ReadTimeout is the time within which a body must arrive.
	ReadTimeout time.Duration
	// WriteTimeout is the time within which one event or a whole answer must be
	// written.
	WriteTimeout time.Duration
	// CallTimeout is how long to wait for the answer to a call to a plain service.
	CallTimeout time.Duration
}

// Server serves callers. Its exported fields must be set before the first request
// and not changed afterwards.
type Server struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Limits      Limits
	// SendToCore passes a message to the core.
	SendToCore func(core.Message)
	// LatencyRecorder receives the latencies of complete answers. It may be nil.
	LatencyRecorder LatencyRecorder

	requests  requestTable
	calls     control.PendingAnswers[core.AnswerCall]
	addresses control.PendingAnswers[core.AnswerAddresses]
	inFlight  atomic.Int64
	lastCall  atomic.Uint64
}

// Handler returns the handler for all endpoints of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.limitInFlight(s.handleCompletion))
	mux.HandleFunc("POST /v1/chat/completions", s.limitInFlight(s.handleChatCompletion))
	mux.HandleFunc("POST /v1/calls/{profile}", s.limitInFlight(s.handleCall))
	mux.HandleFunc("GET /v1/addresses", s.limitInFlight(s.handleAddresses))
	mux.HandleFunc("/v1/completions", methodNotAllowed)
	mux.HandleFunc("/v1/chat/completions", methodNotAllowed)
	mux.HandleFunc("/v1/calls/{profile}", methodNotAllowed)
	mux.HandleFunc("/v1/addresses", methodNotAllowed)
	mux.HandleFunc("/", unknownPath)
	return mux
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	notRunProblem(http.StatusMethodNotAllowed, MethodNotAllowed, r.Method+" is not allowed here").write(w)
}

func unknownPath(w http.ResponseWriter, _ *http.Request) {
	notRunProblem(http.StatusNotFound, NoSuchPath, "there is nothing at this path").write(w)
}

// limitInFlight rejects requests while Limits.Requests others are in flight.
func (s *Server) limitInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer s.inFlight.Add(-1)
		if s.inFlight.Add(1) > s.Limits.Requests {
			notRunProblem(http.StatusServiceUnavailable, TooManyRequests, "this node serves as many requests as it may").write(w)
			return
		}
		next(w, r)
	}
}

// nextCall returns a new call id. It includes the node and its incarnation, so
// that it differs from the ids of other nodes and of earlier process starts.
func (s *Server) nextCall() core.CallID {
	incarnation := strconv.FormatUint(uint64(s.Incarnation), 36)
	n := strconv.FormatUint(s.lastCall.Add(1), 36)
	return core.CallID(string(s.Node) + "-" + incarnation + "-" + n)
}

// RejectRequest ends a request with a problem. It does not block.
func (s *Server) RejectRequest(c core.RejectRequest) {
	s.requests.reject(c.Request, problemFromCore(c.Reason, c.Outcome, c.RetryAfter))
}

// AnswerCall delivers the answer to a call to a plain service. It does not block.
func (s *Server) AnswerCall(c core.AnswerCall) { s.calls.Answer(c.Call, c) }

// AnswerAddresses delivers the answer to an address query. It does not block.
func (s *Server) AnswerAddresses(c core.AnswerAddresses) { s.addresses.Answer(c.Query, c) }
