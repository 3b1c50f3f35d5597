package tcp

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// fieldBytes is what net/http allocates for a field of a head besides its text: an entry of a map, a
	// slice of values and two strings.
	fieldBytes = 160
	// textCopies is how often the text of a head is in memory while it is parsed.
	textCopies = 3
)

// HeadBytes estimates the memory of a parsed head, in bytes, from the size of its text and its number
// of fields. Short fields need many times the memory of their text.
func HeadBytes(text, fields int64) int64 { return textCopies*text + fieldBytes*fields }

// HeaderBytes returns HeadBytes of a header.
func HeaderBytes(h http.Header) int64 {
	text, fields := 0, 0
	for name, values := range h {
		for _, v := range values {
			text += len(name) + len(v)
			fields++
		}
	}
	return HeadBytes(int64(text), int64(fields))
}

// HeadScanner measures a head while it is received. Its zero value is at the start of a head.
type HeadScanner struct {
	text, lines int64
	// lineText is how much of the present line was received, without its end, and start its beginning.
	lineText int64
	start    [len(transferEncoding)]byte
	ended    bool
	// hasLength and hasEncoding say that a field names the length or the encoding of the body.
	hasLength, hasEncoding bool
}

// The names of the fields that say where a body ends.
const (
	contentLength    = "content-length:"
	transferEncoding = "transfer-encoding:"
)

// Scan reads the next part of a head, and ignores what follows its end.
func (s *HeadScanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.text += int64(len(p))
			s.scanLine(p)
			return
		}
		s.text += int64(end + 1)
		s.scanLine(p[:end])
		p = p[end+1:]
		empty := s.lineText == 0
		s.endLine()
		switch {
		case !empty:
			s.lines++
		case s.lines > 0:
			s.ended = true
		}
	}
}

// scanLine reads a part of a line, without the carriage return that may belong to the line's end.
func (s *HeadScanner) scanLine(p []byte) {
	p = bytes.TrimSuffix(p, []byte("\r"))
	if s.lineText < int64(len(s.start)) {
		copy(s.start[s.lineText:], p)
	}
	s.lineText += int64(len(p))
}

// endLine ends a line.
func (s *HeadScanner) endLine() {
	start := s.start[:min(s.lineText, int64(len(s.start)))]
	s.lineText = 0
	s.hasLength = s.hasLength || hasPrefixFold(start, contentLength)
	s.hasEncoding = s.hasEncoding || hasPrefixFold(start, transferEncoding)
}

func hasPrefixFold(p []byte, prefix string) bool {
	return len(p) >= len(prefix) && strings.EqualFold(string(p[:len(prefix)]), prefix)
}

// HasAmbiguousLength reports whether the fields so far name both a length and an encoding of the body.
func (s *HeadScanner) HasAmbiguousLength() bool { return s.hasLength && s.hasEncoding }

// Text returns the number of bytes that were received of the head.
func (s *HeadScanner) Text() int64 { return s.text }

// Bytes estimates the memory of the parsed head so far, in bytes.
func (s *HeadScanner) Bytes() int64 { return HeadBytes(s.text, s.lines) }

// Ended reports whether the end of the head was received.
func (s *HeadScanner) Ended() bool { return s.ended }
