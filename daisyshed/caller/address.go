package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"daisyshed.dev/core"
)

// AddressList is the response body of GET /v1/addresses.
type AddressList struct {
	Addresses []core.NodeAddress
	// LifetimeMs is how long the caller may cache the answer.
	LifetimeMs int64
	// Epoch is the value that callers send as Idempotency-Epoch with the keys
	// that they create while they use this answer. It is empty if this node does
	// not know it.
	Epoch string
}

// addressTimeout is the upper bound on the wait for the core's answer.
const addressTimeout = 5 * time.Second

// handleAddresses serves the list of nodes that a caller should use.
func (s *Server) handleAddresses(w http.ResponseWriter, r *http.Request) {
	query := core.AddressQuery{Query: s.nextCall(), Domain: core.DomainID(r.URL.Query().Get("domain"))}
	answers, done := s.addresses.Wait(query.Query)
	defer done()
	s.SendToCore(query)
	timeout := time.NewTimer(addressTimeout)
	defer timeout.Stop()
	select {
	case answer := <-answers:
		writeAddresses(w, answer)
	case <-timeout.C:
		notRunProblem(http.StatusServiceUnavailable, NoAnswer, details[core.NoReason]).write(w)
	case <-r.Context().Done():
	}
}

func writeAddresses(w http.ResponseWriter, a core.AnswerAddresses) {
	out := AddressList{Addresses: a.Addresses, LifetimeMs: a.Lifetime.Milliseconds()}
	if a.Epoch != 0 {
		out.Epoch = strconv.FormatInt(a.Epoch, 10)
	}
	seconds := strconv.FormatInt(int64(a.Lifetime/time.Second), 10)
	setWriteDeadline(w, answerTimeout)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+seconds)
	// The error is ignored: a caller that disconnected needs no answer.
	_ = json.NewEncoder(w).Encode(out)
}
