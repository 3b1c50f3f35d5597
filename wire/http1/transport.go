package http1

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is a transport that rejects bodies that end with their connection although the request was
// not delivered. It serves HTTP/1.1 without upgrades.
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
	if IsUnframed(response) {
		response.Body = &checkedBody{ReadCloser: response.Body, delivery: d}
	}
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

// checkedBody is the body of a response that ends with its connection.
type checkedBody struct {
	io.ReadCloser
	delivery *tracedDelivery
}

// Read reads from the body. At its end it checks that the response is whole.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.delivery.confirm() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
