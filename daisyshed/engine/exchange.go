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

// MaxResponseBytes bounds how much of an engine's response body is read. It
// does not apply to token streams.
const MaxResponseBytes = 8 << 20

// postJSON posts body as JSON and returns the response. It returns an error
// unless the status is 200.
func (c *Client) postJSON(ctx context.Context, address, path string, body any) (*http.Response, error) {
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

// do sends a request. It returns a *StatusError unless the status is 200.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	statusErr := &StatusError{Status: resp.StatusCode}
	// If the body cannot be decoded, the error reports the status only.
	_ = decode(resp, &statusErr.Body)
	return nil, statusErr
}

// decode decodes the body of resp into result, or discards it if result is nil. It returns
// a ResponseTooLongError if the body exceeds MaxResponseBytes.
func decode(resp *http.Response, result any) error {
	body := &io.LimitedReader{R: resp.Body, N: MaxResponseBytes + 1}
	var err error
	if result == nil {
		_, err = io.Copy(io.Discard, body)
	} else {
		err = json.NewDecoder(body).Decode(result)
	}
	if body.N <= 0 {
		return ResponseTooLongError{}
	}
	return err
}

// failure returns the message that reports the failure of a step with err.
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
