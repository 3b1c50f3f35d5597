package http1

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is a transport that rejects invalid responses, and bodies that end with their connection
// although the request was not delivered. It serves HTTP/1.1 without upgrades.
type Transport struct{ Base http.RoundTripper }

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	d := &tracedDelivery{Delivery: NewDelivery()}
	if r.Body != nil && r.Body != http.NoBody {
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), d.trace()))
	} else {
		d.Finish(nil)
	}
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		// The response is not used, so an error from closing it does not matter.
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, delivery: d, unframed: IsUnframed(response)}
	return response, nil
}

// tracedDelivery is the Delivery of a request that a transport writes, on the connection that it used
// last.
type tracedDelivery struct {
	*Delivery
	finished atomic.Bool
	conn     atomic.Pointer[net.Conn]
}

// trace returns the hooks of the transport. A request that is sent again has been written once all of
// it was.
func (d *tracedDelivery) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { d.conn.Store(&i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil && !d.finished.Swap(true) {
				d.Finish(nil)
			}
		},
	}
}

// confirm reports whether the peer has received the whole request.
func (d *tracedDelivery) confirm() bool {
	var conn net.Conn
	if c := d.conn.Load(); c != nil {
		conn = *c
	}
	return d.Confirm(conn)
}

// checkedBody is the body of a response.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	delivery *tracedDelivery
	unframed bool
}

// Read reads from the body. At its end it checks that the response is whole.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.unframed && !b.delivery.confirm() {
		return n, io.ErrUnexpectedEOF
	}
	if err := CheckFields(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
