package engine

import (
	"fmt"
	"hash/fnv"

	"daisyshed.dev/core"
)

// The length of an answer that is derived from the prompt's text is at least
// shortestAnswer and less than shortestAnswer+answerSpread.
const (
	shortestAnswer = 16
	answerSpread   = 200
)

// AnswerToken returns token k, counted from one, of the answer to a prompt.
// The token depends on nothing else, so a caller can check that it received
// the complete answer to its own request. A prompt without text has an answer
// without text.
func AnswerToken(text string, k core.Tokens) string {
	if text == "" {
		return ""
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d:%s", k, text)
	return fmt.Sprintf("%08x ", h.Sum32())
}

// AnswerLength returns the number of tokens of the answer to a prompt, capped
// at limit unless limit is zero.
func AnswerLength(text string, limit core.Tokens) core.Tokens {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return atMost(shortestAnswer+core.Tokens(h.Sum32()%answerSpread), limit)
}

// atMost caps n at limit unless limit is zero.
func atMost(n, limit core.Tokens) core.Tokens {
	if limit > 0 && n > limit {
		return limit
	}
	return n
}
