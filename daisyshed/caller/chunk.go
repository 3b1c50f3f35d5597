package caller

import (
	"time"

	"daisyshed.dev/core"
)

// answerFormat is the JSON format of an answer, one for each completion endpoint.
type answerFormat int

const (
	completionFormat answerFormat = iota
	chatFormat
)

// chunk is a whole answer or one event of a streamed answer, in the format that
// clients of language services expect.
type chunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   core.ProfileID `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     core.Tokens `json:"prompt_tokens"`
	CompletionTokens core.Tokens `json:"completion_tokens"`
	TotalTokens      core.Tokens `json:"total_tokens"`
}

// chunkHeader holds the values that are the same in all chunks of an answer.
type chunkHeader struct {
	id           string
	format       answerFormat
	profile      core.ProfileID
	created      time.Time
	promptTokens core.Tokens
}

func (h chunkHeader) newChunk(object string, c choice) chunk {
	return chunk{ID: h.id, Object: object, Created: h.created.Unix(), Model: h.profile, Choices: []choice{c}}
}

// tokenChunk returns the chunk for one token of a streamed answer.
func (h chunkHeader) tokenChunk(offset core.Tokens, text string, last bool) chunk {
	c := choice{}
	if last {
		c.FinishReason = finishReasonStop()
	}
	if h.format == completionFormat {
		c.Text = &text
		return h.newChunk("text_completion", c)
	}
	c.Delta = &answerMessage{Content: text}
	if offset == 1 {
		c.Delta.Role = "assistant"
	}
	return h.newChunk("chat.completion.chunk", c)
}

// completeAnswer returns the single chunk of an answer that is not streamed.
func (h chunkHeader) completeAnswer(text string, tokens core.Tokens) chunk {
	c := choice{FinishReason: finishReasonStop()}
	object := "text_completion"
	if h.format == completionFormat {
		c.Text = &text
	} else {
		c.Message = &answerMessage{Role: "assistant", Content: text}
		object = "chat.completion"
	}
	answer := h.newChunk(object, c)
	answer.Usage = &usage{PromptTokens: h.promptTokens, CompletionTokens: tokens, TotalTokens: h.promptTokens + tokens}
	return answer
}

func finishReasonStop() *string {
	reason := "stop"
	return &reason
}
