// Package service is the client for calls to plain services.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/http1"
	"daisyshed.dev/wire/service"
)

const (
	// MaxResponseBytes is the maximum size of the body of a service's answer, in bytes.
	MaxResponseBytes = 4 << 20
	// maxHeaderBytes is the maximum size of the headers of a service's answer, in bytes.
	maxHeaderBytes = 64 << 10
)

// Client sends each call to its service once, and the result to the core as a
// message. HTTP must not reuse connections: a call is reported as not run only if
// no connection was established for it, which proves that the service did not
// receive it.
type Client struct {
	HTTP *http.Client
	// SendToCore passes a message to the core.
	SendToCore func(core.Message)
}

// AnswerTooLargeError reports that the body of a service's answer exceeds
// MaxResponseBytes.
type AnswerTooLargeError struct{}

// Error implements the error interface.
func (AnswerTooLargeError) Error() string { return "service: answer too large" }

// NewHTTPClient returns an HTTP client that opens a new connection for each
// request and does not follow redirects. It never sends a request twice.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http1.Transport{Base: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Call sends a call in the background, and then its result to the core.
func (c *Client) Call(address string, call core.CallService) {
	go func() { c.SendToCore(c.call(address, call)) }()
}

func (c *Client) call(address string, call core.CallService) core.Message {
	if address == "" {
		return core.ServiceFailed{Ticket: call.Ticket, Engine: call.Engine, NotRun: true, Reason: "address unknown"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, body, err := c.post(ctx, address, call)
	if err != nil {
		return core.ServiceFailed{
			Ticket: call.Ticket,
			Engine: call.Engine,
			NotRun: !connected.Load(),
			Reason: err.Error(),
		}
	}
	return core.ServiceAnswered{Ticket: call.Ticket, Engine: call.Engine, Status: status, Body: body}
}

func (c *Client) post(ctx context.Context, address string, call core.CallService) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+service.CallPath, bytes.NewReader(call.Body))
	if err != nil {
		return 0, nil, err
	}
	// Without GetBody the transport cannot resend the request. Otherwise it would
	// retry a request with an Idempotency-Key after a connection error.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", string(call.Key))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > MaxResponseBytes {
		return 0, nil, AnswerTooLargeError{}
	}
	return resp.StatusCode, body, nil
}
