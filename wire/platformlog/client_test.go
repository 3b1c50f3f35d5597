package platformlog_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
	"github.com/matryer/is"
)

var keyIntents = []core.Record{core.KeyIntent{Key: "k"}}

func serve(t *testing.T, h http.HandlerFunc) *platformlog.Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &platformlog.Client{Base: s.URL, HTTP: s.Client()}
}

func appendError(t *testing.T, c *platformlog.Client) *platformlog.AppendError {
	t.Helper()
	_, err := c.Append(context.Background(), core.KeyStream, keyIntents)
	var e *platformlog.AppendError
	if !errors.As(err, &e) {
		t.Fatalf("got %v", err)
	}
	return e
}

func TestAppendStatuses(t *testing.T) {
	for status, notAppended := range map[int]bool{
		400: true, 404: true, 405: true, 413: true, 429: true, 503: true,
		408: false, 409: false, 500: false, 502: false, 504: false,
	} {
		is := is.New(t)
		c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(status)
		})
		e := appendError(t, c)
		is.Equal(e.Status, status)
		is.Equal(e.NotAppended, notAppended)
		is.Equal(e.RetryAfter, 2*time.Second)
	}
}

func TestAppendWithoutConnectionHadNoEffect(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	base := "http://" + l.Addr().String()
	is.NoErr(l.Close())
	is.True(appendError(t, &platformlog.Client{Base: base}).NotAppended)
}

func TestAppendWithoutUsableReplyMayHaveTakenEffect(t *testing.T) {
	is := is.New(t)
	c := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	is.True(!appendError(t, c).NotAppended)
	c = serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"First":`)) })
	is.True(!appendError(t, c).NotAppended)
	c = serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	is.True(!appendError(t, c).NotAppended)
}

func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	var appended [][]byte
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/streams/keys")
		if r.Method == http.MethodPost {
			var req platformlog.AppendRequest
			is.NoErr(json.NewDecoder(r.Body).Decode(&req))
			appended = req.Records
			_ = json.NewEncoder(w).Encode(platformlog.AppendResult{First: 7})
			return
		}
		is.Equal(r.URL.Query().Get("after"), "6")
		_ = json.NewEncoder(w).Encode(platformlog.ReadResult{
			Entries: []platformlog.Entry{{Offset: 7, At: 5, Data: appended[0]}, {Offset: 8, Data: []byte("?")}},
			First:   1, End: 8, Now: 9, RetentionNanos: int64(time.Hour),
		})
	})
	first, err := c.Append(context.Background(), core.KeyStream, keyIntents)
	is.NoErr(err)
	is.Equal(first, core.Offset(7))
	read, err := c.Read(context.Background(), core.KeyStream, 6)
	is.NoErr(err)
	is.Equal(read.Records[0], core.LogRecord{Offset: 7, At: 5, Record: keyIntents[0]})
	_, unreadable := read.Records[1].Record.(core.Unreadable)
	is.True(unreadable)
	is.Equal(read.End, core.Offset(8))
	is.Equal(read.Retention, time.Hour)
}

func TestReadError(t *testing.T) {
	is := is.New(t)
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	_, err := c.Read(context.Background(), core.ConfigStream, 0)
	var e *platformlog.ReadError
	is.True(errors.As(err, &e))
	is.Equal(e.Status, 503)
}
