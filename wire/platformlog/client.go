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

// MaxAnswerBytes bounds an answer of the log service.
const MaxAnswerBytes = 32 << 20

// maxRefusalBytes bounds how much of a refusal's text is kept.
const maxRefusalBytes = 512

// Client speaks to the log service at Base, such as "http://127.0.0.1:7000".
// HTTP is http.DefaultClient where it is nil; timeouts are the caller's, by
// context.
type Client struct {
	Base string
	HTTP *http.Client
}

// AppendError says that an append got no confirmation. Unless NotAppended is
// set, the records may be in the log all the same.
type AppendError struct {
	Stream      core.StreamID
	NotAppended bool
	// Status is the log's HTTP status, or zero where it did not answer.
	Status int
	// RetryAfter is when the log asked to come back, or zero.
	RetryAfter time.Duration
	Reason     string
}

// Error names the stream, what is known, and the reason.
func (e *AppendError) Error() string {
	known := "may have taken effect"
	if e.NotAppended {
		known = "had no effect"
	}
	return fmt.Sprintf("append to log stream %s %s: %s", e.Stream, known, e.Reason)
}

// ReadError says that a read of the log failed.
type ReadError struct {
	Stream core.StreamID
	Status int
	Reason string
}

// Error names the stream and the reason.
func (e *ReadError) Error() string {
	return fmt.Sprintf("read of log stream %s: %s", e.Stream, e.Reason)
}

// Append appends records in order, without others between them, and returns
// the offset of the first. Its error is an [*EncodeError], with which nothing
// was sent, or an [*AppendError].
func (c *Client) Append(ctx context.Context, stream core.StreamID, records []core.Record) (core.Offset, error) {
	payload, err := encodeAppend(records)
	if err != nil {
		return 0, err
	}
	// The log can only have got the records if a connection was made.
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
		return 0, appendRefused(stream, resp)
	}
	var result AppendResult
	if err := readJSON(resp.Body, &result); err != nil {
		return 0, &AppendError{Stream: stream, Status: resp.StatusCode, Reason: err.Error()}
	}
	if result.First <= 0 {
		return 0, &AppendError{Stream: stream, Status: resp.StatusCode, Reason: "the answer names no offset"}
	}
	return result.First, nil
}

// Read reads the records after an offset, at most as many as the log gives at
// once. Its error is a [*ReadError].
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
		return core.LogRead{}, &ReadError{Stream: stream, Status: resp.StatusCode, Reason: refusalText(resp)}
	}
	var result ReadResult
	if err := readJSON(resp.Body, &result); err != nil {
		return core.LogRead{}, &ReadError{Stream: stream, Status: resp.StatusCode, Reason: err.Error()}
	}
	return result.logRead(stream, after), nil
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

func appendRefused(stream core.StreamID, resp *http.Response) *AppendError {
	return &AppendError{
		Stream:      stream,
		NotAppended: refusedBeforeEffect(resp.StatusCode),
		Status:      resp.StatusCode,
		RetryAfter:  retryAfter(resp),
		Reason:      refusalText(resp),
	}
}

// refusedBeforeEffect is the list of statuses at [StreamsPath].
func refusedBeforeEffect(status int) bool {
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

func refusalText(resp *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text))
}

func readJSON(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(data) > MaxAnswerBytes {
		return &DecodeError{Reason: fmt.Sprintf("the answer is longer than %d bytes", MaxAnswerBytes)}
	}
	return json.Unmarshal(data, v)
}

func (res ReadResult) logRead(stream core.StreamID, after core.Offset) core.LogRead {
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
