package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
)

// MaxResponseBytes is the maximum size of a response body of the log service.
const MaxResponseBytes = 32 << 20

// maxErrorTextBytes is how much of an error response's body goes into the Reason
// of an error.
const maxErrorTextBytes = 512

// Client is a client of the log service at Base, such as
// "http://127.0.0.1:7000". If HTTP is nil, http.DefaultClient is used. Callers
// set timeouts through the context.
type Client struct {
	Base string
	HTTP *http.Client
}

// AppendError reports that an append was not confirmed. Unless NotAppended is
// set, the records may nevertheless be in the log.
type AppendError struct {
	Stream      core.StreamID
	NotAppended bool
	// Status is the HTTP status of the response, or zero if there was none.
	Status int
	// RetryAfter is the delay of the response's Retry-After header, or zero.
	RetryAfter time.Duration
	Reason     string
}

// Error names the stream and the reason, and says whether the append may have
// taken effect.
func (e *AppendError) Error() string {
	effect := "may have taken effect"
	if e.NotAppended {
		effect = "had no effect"
	}
	return fmt.Sprintf("append to log stream %s %s: %s", e.Stream, effect, e.Reason)
}

// ReadError reports that a read of the log failed.
type ReadError struct {
	Stream core.StreamID
	// Status is the HTTP status of the response, or zero if there was none.
	Status int
	Reason string
}

// Error names the stream and the reason.
func (e *ReadError) Error() string {
	return fmt.Sprintf("read of log stream %s: %s", e.Stream, e.Reason)
}

// Append appends records contiguously and in order, and returns the offset of
// the first. It returns an [*EncodeError] if it could not encode the records, in
// which case nothing was sent, or an [*AppendError].
func (c *Client) Append(ctx context.Context, stream core.StreamID, records []core.Record) (core.Offset, error) {
	payload, err := encodeAppend(records)
	if err != nil {
		return 0, err
	}
	// The log service can only have received the records if the request obtained
	// a connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, &AppendError{Stream: stream, NotAppended: true, Reason: err.Error()}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.client().Do(r)
	if err != nil {
		return 0, &AppendError{Stream: stream, NotAppended: !connected.Load(), Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, newAppendError(stream, resp)
	}
	var result AppendResult
	if err := readJSON(resp.Body, &result); err != nil {
		return 0, &AppendError{Stream: stream, Status: resp.StatusCode, Reason: err.Error()}
	}
	if result.First <= 0 {
		return 0, &AppendError{Stream: stream, Status: resp.StatusCode, Reason: "response contains no valid offset"}
	}
	return result.First, nil
}

// Read reads the records after an offset, at most as many as the log service
// returns in one response. Its error is a [*ReadError].
func (c *Client) Read(ctx context.Context, stream core.StreamID, after core.Offset) (core.LogRead, error) {
	target := c.url(stream) + "?after=" + strconv.FormatInt(int64(after), 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return core.LogRead{}, &ReadError{Stream: stream, Reason: err.Error()}
	}
	resp, err := c.client().Do(r)
	if err != nil {
		return core.LogRead{}, &ReadError{Stream: stream, Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return core.LogRead{}, &ReadError{Stream: stream, Status: resp.StatusCode, Reason: errorText(resp)}
	}
	var result ReadResult
	if err := readJSON(resp.Body, &result); err != nil {
		return core.LogRead{}, &ReadError{Stream: stream, Status: resp.StatusCode, Reason: err.Error()}
	}
	return result.toLogRead(stream, after), nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) url(stream core.StreamID) string {
	return c.Base + StreamsPath + url.PathEscape(string(stream))
}

func encodeAppend(records []core.Record) ([]byte, error) {
	request := AppendRequest{}
	for _, r := range records {
		data, err := Encode(r)
		if err != nil {
			return nil, err
		}
		request.Records = append(request.Records, data)
	}
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, &EncodeError{Reason: err.Error()}
	}
	return payload, nil
}

func newAppendError(stream core.StreamID, resp *http.Response) *AppendError {
	return &AppendError{
		Stream:      stream,
		NotAppended: rejectedBeforeAppend(resp.StatusCode),
		Status:      resp.StatusCode,
		RetryAfter:  retryAfter(resp),
		Reason:      errorText(resp),
	}
}

// rejectedBeforeAppend reports whether an HTTP status means that the log service
// appended nothing; the statuses are those listed at [StreamsPath].
func rejectedBeforeAppend(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// errorText returns the status line of an error response and the beginning of
// its body.
func errorText(resp *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	return fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text))
}

func readJSON(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(data) > MaxResponseBytes {
		return &DecodeError{Reason: fmt.Sprintf("response exceeds the limit of %d bytes", MaxResponseBytes)}
	}
	return json.Unmarshal(data, v)
}

func (res ReadResult) toLogRead(stream core.StreamID, after core.Offset) core.LogRead {
	out := core.LogRead{
		Stream:    stream,
		After:     after,
		First:     res.First,
		End:       res.End,
		Now:       res.Now,
		Retention: time.Duration(res.RetentionNanos),
	}
	for _, e := range res.Entries {
		out.Records = append(out.Records, core.LogRecord{Offset: e.Offset, At: e.At, Record: Decode(e.Data)})
	}
	return out
}
