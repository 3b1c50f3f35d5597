// Package caller is the HTTP interface towards callers.
package caller

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
)

// The headers of daisyshed's own.
const (
	outcomeHeader   = "Daisyshed-Outcome"
	customerHeader  = "Daisyshed-Customer"
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	epochHeader     = "Idempotency-Epoch"
	firstHeader     = "Idempotency-First"
)

// MaxID bounds the bytes of a request id or an idempotency key.
const MaxID = 200

// Limits bounds what callers may ask of one node.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// Requests bounds the requests and calls in progress.
	Requests int64
	// ReadTimeout bounds the reading of a body.
	ReadTimeout time.Duration
	// WriteTimeout bounds the writing of one event or answer.
	WriteTimeout time.Duration
	// CallTimeout bounds the wait for the answer to a plain call.
	CallTimeout time.Duration
}

// Server answers callers. Its fields are set before the first request.
type Server struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Limits      Limits
	Send        func(core.Message)
	// Meter may be nil.
	Meter Meter

	requests  requests
	calls     control.Waiters[core.AnswerCall]
	addresses control.Waiters[core.AnswerAddresses]
	busy      atomic.Int64
	lastCall  atomic.Uint64
}

// Handler returns the routes that callers use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.bounded(s.completion))
	mux.HandleFunc("POST /v1/chat/completions", s.bounded(s.chatCompletion))
	mux.HandleFunc("POST /v1/calls/{profile}", s.bounded(s.call))
	mux.HandleFunc("GET /v1/addresses", s.bounded(s.addressList))
	mux.HandleFunc("/v1/completions", notAllowed)
	mux.HandleFunc("/v1/chat/completions", notAllowed)
	mux.HandleFunc("/v1/calls/{profile}", notAllowed)
	mux.HandleFunc("/v1/addresses", notAllowed)
	mux.HandleFunc("/", noSuchPath)
	return mux
}

func notAllowed(w http.ResponseWriter, r *http.Request) {
	rejected(http.StatusMethodNotAllowed, MethodNotAllowed, r.Method+" is not allowed here").write(w)
}

func noSuchPath(w http.ResponseWriter, _ *http.Request) {
	rejected(http.StatusNotFound, NoSuchPath, "there is nothing at this path").write(w)
}

// bounded refuses requests beyond the limit of those in progress.
func (s *Server) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer s.busy.Add(-1)
		if s.busy.Add(1) > s.Limits.Requests {
			rejected(http.StatusServiceUnavailable, TooManyRequests, "this node serves as many requests as it may").write(w)
			return
		}
		next(w, r)
	}
}

// nextCall returns an id that no other call of this process start has.
func (s *Server) nextCall() core.CallID {
	incarnation := strconv.FormatUint(uint64(s.Incarnation), 36)
	n := strconv.FormatUint(s.lastCall.Add(1), 36)
	return core.CallID(string(s.Node) + "-" + incarnation + "-" + n)
}

// RejectRequest ends a request. It does not block.
func (s *Server) RejectRequest(c core.RejectRequest) {
	s.requests.refuse(c.Request, refusal(c.Reason, c.Outcome, c.RetryAfter))
}

// AnswerCall ends a plain call. It does not block.
func (s *Server) AnswerCall(c core.AnswerCall) { s.calls.Answer(c.Call, c) }

// AnswerAddresses answers a query for addresses. It does not block.
func (s *Server) AnswerAddresses(c core.AnswerAddresses) { s.addresses.Answer(c.Query, c) }
