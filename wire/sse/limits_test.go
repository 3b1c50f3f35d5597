package sse_test

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/wire/sse"
	"github.com/matryer/is"
)

// endless repeats its text until end.
type endless struct {
	text string
	end  time.Time
}

func (e endless) Read(p []byte) (int, error) {
	if time.Now().After(e.end) {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n+len(e.text) <= len(p) {
		n += copy(p[n:], e.text)
	}
	return n, nil
}

// An event whose lines never end must not fill the memory of its reader.
func TestEventWithoutEndIsNotRead(t *testing.T) {
	for name, text := range map[string]string{
		"line": "x", "data": "data: " + strings.Repeat("x", 1000) + "\n", "empty data": "data\n", "comments": ": x\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := sse.NewReader(endless{text: text, end: time.Now().Add(2 * time.Second)}).Next()
			runtime.ReadMemStats(&after)
			var tooLong *sse.EventTooLongError
			is.True(errors.As(err, &tooLong))
			is.True(after.TotalAlloc-before.TotalAlloc < 64<<20)
		})
	}
}

// The size of an event does not count for the next one.
func TestManyEventsAreRead(t *testing.T) {
	is := is.New(t)
	event := ": " + strings.Repeat("x", sse.MaxEventBytes/3) + "\n\ndata: " + strings.Repeat("x", sse.MaxEventBytes/3) + "\n\n"
	r := sse.NewReader(strings.NewReader(strings.Repeat(event, 10)))
	for range 10 {
		e, err := r.Next()
		is.NoErr(err)
		is.Equal(len(e.Data), sse.MaxEventBytes/3)
	}
	_, err := r.Next()
	is.True(errors.Is(err, io.EOF))
}
