package sse_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"daisyshed.dev/wire/sse"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var b bytes.Buffer
		events := rapid.SliceOf(rapid.Custom(func(t *rapid.T) sse.Event {
			return sse.Event{
				ID:   rapid.StringMatching(`[0-9]{1,5}`).Draw(t, "id"),
				Name: rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "name"),
				Data: rapid.StringMatching(`[a-z{}: ]{1,9}(\n[a-z ]{1,9})?`).Draw(t, "data"),
			}
		})).Draw(t, "events")
		for _, e := range events {
			is.NoErr(sse.Write(&b, e))
		}
		r := sse.NewReader(&b)
		for _, e := range events {
			got, err := r.Next()
			is.NoErr(err)
			is.Equal(got, e)
		}
		_, err := r.Next()
		is.True(errors.Is(err, io.EOF))
	})
}

func TestDropsTruncatedEvent(t *testing.T) {
	is := is.New(t)
	r := sse.NewReader(strings.NewReader(": comment\r\n\r\nid: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: half"))
	e, err := r.Next()
	is.NoErr(err)
	is.Equal(e, sse.Event{ID: "1", Data: "x"})
	_, err = r.Next()
	is.True(errors.Is(err, io.EOF))
}
