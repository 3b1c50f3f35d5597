package upstream_test

import (
	"io"
	"strings"
	"testing"

	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

// A line that is longer than the reader's buffer arrives in parts. None of them is a line
// of its own: neither the blank line that ends an event nor the one with its id.
func TestLongLineIsNotTakenForSeveral(t *testing.T) {
	const bufferSize = 4 << 10
	for name, line := range map[string]string{
		"line end after a full buffer": "data: " + strings.Repeat("x", bufferSize-len("data: ")),
		"id after a full buffer":       "data: " + strings.Repeat("x", bufferSize-len("data: ")) + "id: 9",
		"two buffers":                  "data: " + strings.Repeat("x", 2*bufferSize-len("data: ")),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			event := "id: 1\n" + line + "\ndata: end\n\n"
			e := upstream.NewEventReader(strings.NewReader(event + "id: 2\n\n"))
			got, id, err := e.Next()
			is.NoErr(err)
			is.Equal(id, "1")
			is.Equal(len(got), len(event))
			got, id, err = e.Next()
			is.NoErr(err)
			is.Equal(id, "2")
			is.Equal(string(got), "id: 2\n\n")
			_, _, err = e.Next()
			is.Equal(err, io.EOF)
		})
	}
}

// An id that is longer than the reader's buffer is not an id of its first part.
func TestLongIDIsWhole(t *testing.T) {
	is := is.New(t)
	want := strings.Repeat("1", 5<<10)
	_, id, err := upstream.NewEventReader(strings.NewReader("id: " + want + "\n\n")).Next()
	is.NoErr(err)
	is.Equal(len(id), len(want))
}
