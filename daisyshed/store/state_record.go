package store

import (
	"bytes"
	"compress/gzip"
	"io"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
	"github.com/samber/oops"
)

// maxStateBytes bounds a desired state that a peer sends, uncompressed.
const maxStateBytes = 16 << 20

// StateTooLongError reports a desired state of a peer that exceeds Limit bytes.
type StateTooLongError struct{ Limit int64 }

// Error returns the message.
func (e *StateTooLongError) Error() string { return "store: desired state of a peer is too long" }

// decodeState decodes a desired state as the store holds it, and returns it as peers get it: with the
// digests of keys in place of the keys.
func decodeState(value []byte, offset core.Offset) (d core.DesiredState, concealed []byte, err error) {
	if concealed, _, err = platform.ConcealKeys(value); err != nil {
		return core.DesiredState{}, nil, err
	}
	d, err = platform.DecodeDesired(concealed, offset)
	return d, concealed, err
}

// DecodePeerState decodes a desired state as peers send it. Nodes of earlier versions send it with
// keys, which are not passed on.
func DecodePeerState(record []byte, offset core.Offset) (core.DesiredState, error) {
	value, err := DecompressState(record)
	if err != nil {
		return core.DesiredState{}, err
	}
	concealed, changed, err := platform.ConcealKeys(value)
	if err != nil {
		return core.DesiredState{}, err
	}
	d, err := platform.DecodeDesired(concealed, offset)
	if err != nil {
		return core.DesiredState{}, err
	}
	d.Source, d.Encoded = core.StateFromPeer, record
	if changed {
		d.Encoded, err = CompressState(concealed)
	}
	return d, err
}

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
