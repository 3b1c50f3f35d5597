package hostedsite

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// ReadyURL returns where a node says whether it takes requests.
func ReadyURL(address string) string { return "http://" + address + "/-/ready" }

// AddressesURL returns where a node says which nodes callers of a host should use.
func AddressesURL(address, host string) string {
	return "http://" + address + "/-/resolve?Name=" + host + "&Zone=z0&Region=r"
}

// DecodeAddresses reads the answer to a question for addresses.
func DecodeAddresses(r io.Reader) ([]string, error) {
	var answer struct{ Addresses []string }
	err := json.NewDecoder(r).Decode(&answer)
	return answer.Addresses, err
}

// SetAttempt sets what a caller says of one attempt, and a header that only the
// system may set: it must not reach an upstream.
func SetAttempt(h http.Header, attempt string) {
	h.Set("Attempt-Id", attempt)
	h.Set("Deadline-Ms", "4000")
	h.Set("Kv-Source", "1.2.3.4:5/forged")
}

// SetPrompt sets what a caller says of a prompt whose own part has a key.
func SetPrompt(h http.Header, key uint64) {
	h.Set("Token-Count", "100,200")
	h.Set("Prompt-Prefix", "aa:50,"+strconv.FormatUint(key, 16)+":50")
}

// Seal returns the upstream's signature of an answer.
func Seal(h http.Header) string { return h.Get("Server-Seal") }
