package operator

import (
	"io"
	"log"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// writerLines bounds the log lines that wait to be written.
const writerLines = 4096

// OpenWriter returns a writer that never blocks: lines beyond what waits for w
// are dropped and counted. The clean-up function writes what still waits.
func OpenWriter(w io.Writer, dropped func(n int)) (io.Writer, func()) {
	d := diode.NewWriter(w, writerLines, 0, dropped)
	return d, func() {
		// Close writes what waits; a log that cannot be written has nowhere to
		// say so.
		_ = d.Close()
	}
}

// HTTPErrors returns a logger for net/http's own complaints.
func HTTPErrors(l zerolog.Logger) *log.Logger { return log.New(httpErrors{l}, "", 0) }

type httpErrors struct{ log zerolog.Logger }

// Write logs one complaint.
func (h httpErrors) Write(p []byte) (int, error) {
	h.log.Warn().Str("Event", "HTTP").Str("Detail", string(p)).Send()
	return len(p), nil
}
