package platformlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
	"unicode/utf8"

	"daisyshed.dev/core"
)

// The values of the field Kind of an encoded record.
const (
	kindProfilePublished = "ProfilePublished"
	kindPoolPublished    = "PoolPublished"
	kindSnapshotTaken    = "SnapshotTaken"
	kindKeyIntent        = "KeyIntent"
	kindKeyResult        = "KeyResult"
	kindEngineClaim      = "EngineClaim"
)

// envelope is the encoded form of a record; Body depends on Kind.
type envelope struct {
	Kind string
	Body any
}

// rawEnvelope is an envelope whose body has not been decoded yet.
type rawEnvelope struct {
	Kind string
	Body json.RawMessage
}

// EncodeError reports that a record cannot be encoded for the log. Record is nil
// if the request that contains the records could not be encoded.
type EncodeError struct {
	Record core.Record
	Reason string
}

// Error names the record's type and the reason.
func (e *EncodeError) Error() string {
	return fmt.Sprintf("log record %T cannot be encoded: %s", e.Record, e.Reason)
}

// Encode encodes a record as JSON. Equal records give equal bytes.
func Encode(r core.Record) ([]byte, error) {
	e, err := wrap(r)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(e)
	if err != nil {
		return nil, &EncodeError{Record: r, Reason: err.Error()}
	}
	return data, nil
}

func wrap(r core.Record) (envelope, error) {
	switch r := r.(type) {
	case core.ProfilePublished:
		return envelope{kindProfilePublished, profilePublished{
			r.Publication, r.Operator, r.Base, fromProfile(r.Profile), r.Source,
		}}, nil
	case core.PoolPublished:
		return envelope{kindPoolPublished, poolPublished{
			r.Publication, r.Operator, r.Base, fromPool(r.Pool), r.Source,
		}}, nil
	case core.SnapshotTaken:
		return envelope{kindSnapshotTaken, fromSnapshot(r)}, nil
	case core.KeyIntent:
		return envelope{kindKeyIntent, r}, checkKey(r, r.Key)
	case core.KeyResult:
		return envelope{kindKeyResult, keyResult{
			r.Key, r.Writer, r.Incarnation, outcome(r.Outcome), r.Status, r.Body,
		}}, checkKey(r, r.Key)
	case core.EngineClaim:
		return envelope{kindEngineClaim, engineClaim{
			r.Engine, r.Holder, r.Incarnation, Duration(r.Lease),
		}}, nil
	default:
		return envelope{}, &EncodeError{Record: r, Reason: "unsupported record type"}
	}
}

// checkKey rejects keys that are not valid UTF-8. JSON would replace the invalid
// bytes, and two different keys might become equal in the log.
func checkKey(r core.Record, key core.IdempotencyKey) error {
	if utf8.ValidString(string(key)) {
		return nil
	}
	return &EncodeError{Record: r, Reason: "the idempotency key is not valid UTF-8"}
}

// Decode decodes a record. Data that it cannot decode becomes a
// [core.Unreadable], so that all nodes skip it in the same way when they replay
// the log.
func Decode(data []byte) core.Record {
	var raw rawEnvelope
	if err := decodeStrict(data, &raw); err != nil {
		return core.Unreadable{Reason: err.Error()}
	}
	r, err := unwrap(raw)
	if err != nil {
		return core.Unreadable{Reason: raw.Kind + ": " + err.Error()}
	}
	return r
}

func unwrap(raw rawEnvelope) (core.Record, error) {
	switch raw.Kind {
	case kindProfilePublished:
		b, err := body[profilePublished](raw)
		return core.ProfilePublished{
			Publication: b.Publication, Operator: b.Operator, Base: b.Base,
			Profile: b.Profile.toCore(), Source: b.Source,
		}, err
	case kindPoolPublished:
		b, err := body[poolPublished](raw)
		return core.PoolPublished{
			Publication: b.Publication, Operator: b.Operator, Base: b.Base,
			Pool: b.Pool.toCore(), Source: b.Source,
		}, err
	case kindSnapshotTaken:
		b, err := body[snapshotTaken](raw)
		return b.toCore(), err
	case kindKeyIntent:
		return body[core.KeyIntent](raw)
	case kindKeyResult:
		b, err := body[keyResult](raw)
		return core.KeyResult{
			Key: b.Key, Writer: b.Writer, Incarnation: b.Incarnation,
			Outcome: core.Outcome(b.Outcome), Status: b.Status, Body: b.Body,
		}, err
	case kindEngineClaim:
		b, err := body[engineClaim](raw)
		return core.EngineClaim{
			Engine: b.Engine, Holder: b.Holder, Incarnation: b.Incarnation,
			Lease: time.Duration(b.Lease),
		}, err
	default:
		return nil, &InvalidTextError{Type: "record kind", Text: raw.Kind}
	}
}

func body[T any](raw rawEnvelope) (T, error) {
	var v T
	err := decodeStrict(raw.Body, &v)
	return v, err
}

// DecodeError reports that data is not the expected JSON value, or that a response
// is too large to decode.
type DecodeError struct{ Reason string }

// Error returns the reason.
func (e *DecodeError) Error() string { return e.Reason }

// decodeStrict decodes one JSON value and rejects unknown fields and trailing
// data.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &DecodeError{Reason: err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return &DecodeError{Reason: "trailing data after the JSON value"}
	}
	return nil
}
