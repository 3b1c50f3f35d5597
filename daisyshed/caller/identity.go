package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"daisyshed.dev/core"
)

// digestBytes is the length of the digest in a RequestID.
const digestBytes = 8

// identity is how a caller names its request and where it goes on.
type identity struct {
	// name is the X-Request-Id that the caller sees.
	name    string
	resumed bool
	after   core.Tokens
}

// readIdentity returns the request's identity, with a name made for it if it
// has none.
func readIdentity(r *http.Request) (identity, *Problem) {
	id := identity{name: r.Header.Get(requestIDHeader)}
	if id.name == "" {
		id.name = rand.Text()
	}
	if !printable(id.name) {
		return id, badHeader(requestIDHeader + " must be of 1 to 200 printable characters")
	}
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return id, nil
	}
	after, err := strconv.ParseUint(last, 10, 31)
	if err != nil {
		return id, badHeader("Last-Event-ID must be the id of an event of this answer")
	}
	id.resumed = true
	id.after = core.Tokens(after)
	return id, nil
}

// requestID returns the id under which the system serves the request. It
// covers what is asked, so that two callers who choose the same name never
// get each other's answers.
func (i identity) requestID(body completionBody, text string) core.RequestID {
	hash := sha256.New()
	for _, part := range []string{string(body.User), string(body.Model), text} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	digest := hex.EncodeToString(hash.Sum(nil)[:digestBytes])
	return core.RequestID(i.name + "~" + digest)
}

func badHeader(detail string) *Problem {
	p := rejected(http.StatusBadRequest, BadHeader, detail)
	return &p
}

// printable reports whether s is fit for an id: visible ASCII of bounded
// length.
func printable(s string) bool {
	if s == "" || len(s) > MaxID {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
