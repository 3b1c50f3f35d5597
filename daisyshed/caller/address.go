package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"daisyshed.dev/core"
)

// Addresses is the answer to a query for addresses.
type Addresses struct {
	Addresses []core.NodeAddress
	// LifetimeMs is how long the caller may keep the answer.
	LifetimeMs int64
	// Epoch is to be sent as Idempotency-Epoch with keys that are made while
	// this answer is in use. It is empty if unknown.
	Epoch string
}

// addressTimeout bounds the wait for the core's answer.
const addressTimeout = 5 * time.Second

// addressList answers which nodes a caller should use.
func (s *Server) addressList(w http.ResponseWriter, r *http.Request) {
	query := core.AddressQuery{Query: s.nextCall(), Domain: core.DomainID(r.URL.Query().Get("domain"))}
	answers, done := s.addresses.Wait(query.Query)
	defer done()
	s.Send(query)
	timeout := time.NewTimer(addressTimeout)
	defer timeout.Stop()
	select {
	case answer := <-answers:
		writeAddresses(w, answer)
	case <-timeout.C:
		rejected(http.StatusServiceUnavailable, NoAnswer, details[core.NoReason]).write(w)
	case <-r.Context().Done():
	}
}

func writeAddresses(w http.ResponseWriter, a core.AnswerAddresses) {
	out := Addresses{Addresses: a.Addresses, LifetimeMs: a.Lifetime.Milliseconds()}
	if a.Epoch != 0 {
		out.Epoch = strconv.FormatInt(a.Epoch, 10)
	}
	seconds := strconv.FormatInt(int64(a.Lifetime/time.Second), 10)
	extend(w, answerTimeout)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+seconds)
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(out)
}
