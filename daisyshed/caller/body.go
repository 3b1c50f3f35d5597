package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"daisyshed.dev/core"
)

// completionBody is the request body of the two completion endpoints, in the
// format that clients of language services already send. Fields that daisyshed
// does not use are ignored.
type completionBody struct {
	Model               core.ProfileID  `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           core.Tokens     `json:"max_tokens"`
	MaxCompletionTokens core.Tokens     `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	User                core.CustomerID `json:"user"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// readBody reads the whole request body and checks that it is JSON. If the body
// is rejected, it returns the problem to send to the caller.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	defer setReadDeadline(w, s.Limits.ReadTimeout)()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.BodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		p := notRunProblem(http.StatusRequestEntityTooLarge, BodyTooLarge, "the body exceeds this node's limit")
		return nil, &p
	}
	if err != nil {
		p := notRunProblem(http.StatusBadRequest, BodyNotJSON, "the body could not be read")
		return nil, &p
	}
	if !json.Valid(data) {
		p := notRunProblem(http.StatusBadRequest, BodyNotJSON, "the body is not JSON")
		return nil, &p
	}
	return data, nil
}

// readCompletion parses and checks the body of a completion request. If the
// body is rejected, it returns the problem to send to the caller.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (completionBody, *Problem) {
	var body completionBody
	data, problem := s.readBody(w, r)
	if problem != nil {
		return body, problem
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return body, badField(err.Error())
	}
	if body.Model == "" {
		return body, badField("model must name a profile")
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = body.MaxCompletionTokens
	}
	if body.MaxTokens < 0 {
		return body, badField("max_tokens must not be negative")
	}
	return body, nil
}

func badField(detail string) *Problem {
	p := notRunProblem(http.StatusBadRequest, BadField, detail)
	return &p
}

// promptText returns the prompt, which is a string or a list of one string.
func (b completionBody) promptText() (string, *Problem) {
	var text string
	if json.Unmarshal(b.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", badField("prompt must be a text, or a list of one text")
}

// chatText returns the messages concatenated, each as a line "role: content".
func (b completionBody) chatText() (string, *Problem) {
	var text strings.Builder
	for _, m := range b.Messages {
		content, ok := m.text()
		if !ok {
			return "", badField("messages must have a content of text")
		}
		text.WriteString(m.Role + ": " + content + "\n")
	}
	if text.Len() == 0 {
		return "", badField("messages must not be empty")
	}
	return text.String(), nil
}

// text returns a message's content, which is a string or a list of text parts.
// It returns false for content of any other kind.
func (m chatMessage) text() (string, bool) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, true
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text += p.Text
	}
	return text, true
}
