package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// MaxAnswerBytes bounds the body of an engine's answer, streams excepted.
const MaxAnswerBytes = 8 << 20

// open posts body and returns a response whose status is 200.
func (c *Client) open(ctx context.Context, address, path string, body any) (*http.Response, error) {
	if address == "" {
		return nil, NoAddressError{}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req)
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	refusal := &RefusedError{Status: resp.StatusCode}
	// A refusal without a readable body has its status alone.
	_ = decode(resp, &refusal.Body)
	return nil, refusal
}

// decode reads the body of resp into result, or drops it if result is nil.
func decode(resp *http.Response, result any) error {
	body := io.LimitReader(resp.Body, MaxAnswerBytes)
	if result == nil {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	return json.NewDecoder(body).Decode(result)
}

// failure returns the message for a step that ended in err.
func failure(id core.EngineID, a core.Allocation, step core.EngineStep, err error) core.EngineFailed {
	return core.EngineFailed{
		Engine:     id,
		Allocation: a,
		Step:       step,
		Full:       hasCode(err, wire.CodeFull),
		Draining:   hasCode(err, wire.CodeDraining),
		Superseded: hasCode(err, wire.CodeSuperseded),
		Reason:     err.Error(),
	}
}
