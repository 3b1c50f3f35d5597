package sse

import (
	"io"
	"strings"
)

// Write writes e to w as one event.
func Write(w io.Writer, e Event) error {
	var b strings.Builder
	if e.ID != "" {
		b.WriteString("id: " + e.ID + "\n")
	}
	if e.Name != "" {
		b.WriteString("event: " + e.Name + "\n")
	}
	for line := range strings.SplitSeq(e.Data, "\n") {
		b.WriteString("data: " + line + "\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}
