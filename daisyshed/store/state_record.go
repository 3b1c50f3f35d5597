package store

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/samber/oops"
)

// maxStateBytes bounds a desired state that a peer sends, uncompressed.
const maxStateBytes = 16 << 20

// StateTooLongError reports a desired state of a peer that exceeds Limit bytes.
type StateTooLongError struct{ Limit int64 }

// Error returns the message.
func (e *StateTooLongError) Error() string { return "store: desired state of a peer is too long" }

// CompressState compresses a desired state for peers: thousands of routes take more than a
// second over the slowest links otherwise.
func CompressState(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	return out.Bytes(), nil
}

// DecompressState returns a desired state that CompressState has compressed. One that is not
// compressed, as nodes of earlier versions send it, is returned as it is.
func DecompressState(record []byte) ([]byte, error) {
	if !bytes.HasPrefix(record, []byte{0x1f, 0x8b}) {
		return record, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(record))
	if err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	if len(value) > maxStateBytes {
		return nil, &StateTooLongError{Limit: maxStateBytes}
	}
	return value, nil
}
