package operator

import (
	"io"
	"log"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// maxQueuedLines bounds the queue of log lines to be written.
const maxQueuedLines = 4096

// NewLogWriter returns a writer of log lines to w that never blocks. If the queue is
// full, lines are dropped and their number is passed to dropped. The returned
// function writes the queued lines and closes the writer.
func NewLogWriter(w io.Writer, dropped func(n int)) (io.Writer, func()) {
	d := diode.NewWriter(w, maxQueuedLines, 0, dropped)
	return d, func() {
		// Close writes the queued lines. Its error cannot be logged, because the
		// log itself cannot be written.
		_ = d.Close()
	}
}

// HTTPErrorLogger returns a logger for the errors that net/http logs.
func HTTPErrorLogger(l zerolog.Logger) *log.Logger { return log.New(httpErrorWriter{l}, "", 0) }

// httpErrorWriter logs each write as one line.
type httpErrorWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (h httpErrorWriter) Write(p []byte) (int, error) {
	h.log.Warn().Str("Event", "HTTP").Str("Detail", string(p)).Send()
	return len(p), nil
}
