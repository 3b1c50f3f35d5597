package caller

import (
	"time"

	"daisyshed.dev/core"
)

// form tells the two shapes of answers apart.
type form int

const (
	completionForm form = iota
	chatForm
)

// chunk is one answer or part of an answer, in the shape that clients of
// language services expect.
type chunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   core.ProfileID `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     core.Tokens `json:"prompt_tokens"`
	CompletionTokens core.Tokens `json:"completion_tokens"`
	TotalTokens      core.Tokens `json:"total_tokens"`
}

// heading is what all chunks of one answer share.
type heading struct {
	name    string
	form    form
	profile core.ProfileID
	created time.Time
	prompt  core.Tokens
}

func (h heading) chunk(object string, c choice) chunk {
	return chunk{ID: h.name, Object: object, Created: h.created.Unix(), Model: h.profile, Choices: []choice{c}}
}

// part returns the chunk of one token of a stream.
func (h heading) part(offset core.Tokens, text string, last bool) chunk {
	c := choice{}
	if last {
		c.FinishReason = finish()
	}
	if h.form == completionForm {
		c.Text = &text
		return h.chunk("text_completion", c)
	}
	c.Delta = &message{Content: text}
	if offset == 1 {
		c.Delta.Role = "assistant"
	}
	return h.chunk("chat.completion.chunk", c)
}

// whole returns an answer that is not streamed.
func (h heading) whole(text string, tokens core.Tokens) chunk {
	c := choice{FinishReason: finish()}
	object := "text_completion"
	if h.form == completionForm {
		c.Text = &text
	} else {
		c.Message = &message{Role: "assistant", Content: text}
		object = "chat.completion"
	}
	answer := h.chunk(object, c)
	answer.Usage = &usage{PromptTokens: h.prompt, CompletionTokens: tokens, TotalTokens: h.prompt + tokens}
	return answer
}

func finish() *string {
	reason := "stop"
	return &reason
}
