package hostedsite

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ReadyURL returns the URL of a node's readiness check. address is the host:port
// of that check.
func ReadyURL(address string) string { return "http://" + address + "/-/ready" }

// AddressesURL returns the URL at which a node's directory lists the addresses that
// callers of host in a zone should connect to.
func AddressesURL(address, host, zone string) string {
	return "http://" + address + "/-/resolve?Name=" + host + "&Zone=" + zone + "&Region=r"
}

// DecodeAddresses decodes the response to a GET request for an AddressesURL.
func DecodeAddresses(r io.Reader) ([]string, error) {
	var answer struct{ Addresses []string }
	err := json.NewDecoder(r).Decode(&answer)
	return answer.Addresses, err
}

// SetAttemptHeaders sets the headers that a caller sends with an attempt: its id and
// how long it waits. It also sets a forged Kv-Source. Only nodes may set this header, so
// they must not forward a caller's value to an upstream.
func SetAttemptHeaders(h http.Header, attempt string, patience time.Duration) {
	h.Set("Attempt-Id", attempt)
	h.Set("Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	h.Set("Kv-Source", "1.2.3.4:5/forged")
}

// AttemptFields returns the fields of a head that name an attempt and how long its caller waits, each
// with the end of its line.
func AttemptFields(attempt string, patience time.Duration) string {
	return "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + strconv.FormatInt(patience.Milliseconds(), 10) + "\r\n"
}

// ForgedTenant is the tenant that callers name themselves.
const ForgedTenant = "forged"

// SetKey sets the caller's key, unless it is empty, and a forged Tenant-Id. Where keys are needed, nodes
// must forward neither.
func SetKey(h http.Header, key string) {
	if key != "" {
		h.Set("Credential", key)
	}
	h.Set("Tenant-Id", ForgedTenant)
}

// SetResume sets the headers of an attempt that resumes a stream after an event, whose first
// event the given attempt brought.
func SetResume(h http.Header, event int, first string) {
	h.Set("Last-Event-Id", strconv.Itoa(event))
	h.Set("Resumes", first)
}

// deadlyPart is the part of prompts that ends engines.
const deadlyPart = "dd:20,"

// SetPromptHeaders sets the headers that describe a prompt: a prefix that all prompts
// share, then a part of its own that is identified by key. The part of a deadly prompt that
// ends engines is between them.
func SetPromptHeaders(h http.Header, key uint64, deadly bool) {
	between := ""
	if deadly {
		between = deadlyPart
	}
	h.Set("Token-Count", "100,200")
	h.Set("Prompt-Prefix", "aa:50,"+between+strconv.FormatUint(key, 16)+":50")
}

// HasDeadlyPart reports whether a prompt's parts have the one that ends engines.
func HasDeadlyPart(parts string) bool { return strings.Contains(parts, ","+deadlyPart) }

// PromisesNotRun reports whether a status promises that a request has not run and never
// will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// RetryDelay returns how long a caller waits before it sends a request again: as long as
// the response says, but at most a third of the time that the caller has left.
func RetryDelay(h http.Header, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}

// Signature returns the upstream's signature from the headers of a response.
func Signature(h http.Header) string { return h.Get("Server-Seal") }
