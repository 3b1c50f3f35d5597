package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"daisyshed.dev/core"
)

// digestBytes is the length of the truncated digest in a RequestID.
const digestBytes = 8

// identity is the caller's id of a request, and the token after which a resumed
// answer continues.
type identity struct {
	// callerID is the request's X-Request-Id.
	callerID    string
	resumed     bool
	resumeAfter core.Tokens
}

// readIdentity reads the request's identity from its headers. It generates an
// X-Request-Id if the caller sent none.
func readIdentity(r *http.Request) (identity, *Problem) {
	id := identity{callerID: r.Header.Get(requestIDHeader)}
	if id.callerID == "" {
		id.callerID = rand.Text()
	}
	if !printable(id.callerID) {
		return id, badHeader(requestIDHeader + " must be of 1 to 200 printable characters")
	}
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return id, nil
	}
	offset, err := strconv.ParseUint(last, 10, 31)
	if err != nil {
		return id, badHeader("Last-Event-ID must be the id of an event of this answer")
	}
	id.resumed = true
	id.resumeAfter = core.Tokens(offset)
	return id, nil
}

// requestID returns the id of the request inside daisyshed. It includes a digest
// of the customer, the model and the prompt, so that two callers that choose the
// same X-Request-Id never get each other's answers.
func (i identity) requestID(body completionBody, text string) core.RequestID {
	hash := sha256.New()
	for _, part := range []string{string(body.User), string(body.Model), text} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	digest := hex.EncodeToString(hash.Sum(nil)[:digestBytes])
	return core.RequestID(i.callerID + "~" + digest)
}

func badHeader(detail string) *Problem {
	p := notRunProblem(http.StatusBadRequest, BadHeader, detail)
	return &p
}

// printable reports whether s can be used as an id: 1 to MaxIDBytes characters of
// visible ASCII.
func printable(s string) bool {
	if s == "" || len(s) > MaxIDBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
