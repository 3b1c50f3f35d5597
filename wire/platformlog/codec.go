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

// The kinds of record, as written in the field Kind.
const (
	kindProfilePublished = "ProfilePublished"
	kindPoolPublished    = "PoolPublished"
	kindSnapshotTaken    = "SnapshotTaken"
	kindKeyIntent        = "KeyIntent"
	kindKeyResult        = "KeyResult"
	kindEngineClaim      = "EngineClaim"
)

// envelope is the outer form of a record.
type envelope struct {
	Kind string
	Body any
}

// rawEnvelope is an envelope whose body is not yet decoded.
type rawEnvelope struct {
	Kind string
	Body json.RawMessage
}

// EncodeError says that a record cannot be written to the log.
type EncodeError struct {
	Record core.Record
	Reason string
}

// Error names the record's type and the reason.
func (e *EncodeError) Error() string {
	return fmt.Sprintf("log record %T cannot be encoded: %s", e.Record, e.Reason)
}

// Encode writes a record as JSON. Equal records give equal bytes.
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
			r.Publication, r.Operator, r.Base, shapeProfile(r.Profile), r.Source,
		}}, nil
	case core.PoolPublished:
		return envelope{kindPoolPublished, poolPublished{
			r.Publication, r.Operator, r.Base, shapePool(r.Pool), r.Source,
		}}, nil
	case core.SnapshotTaken:
		return envelope{kindSnapshotTaken, shapeSnapshot(r)}, nil
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
		return envelope{}, &EncodeError{Record: r, Reason: "the log keeps no records of this type"}
	}
}

// checkKey refuses keys that JSON cannot carry unchanged, because two
// different keys might become equal in the log.
func checkKey(r core.Record, key core.IdempotencyKey) error {
	if utf8.ValidString(string(key)) {
		return nil
	}
	return &EncodeError{Record: r, Reason: "the idempotency key is not valid UTF-8"}
}

// Decode reads a record. What it cannot read becomes [core.Unreadable], so
// that folding passes over it by the same rule on every node.
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
			Profile: b.Profile.core(), Source: b.Source,
		}, err
	case kindPoolPublished:
		b, err := body[poolPublished](raw)
		return core.PoolPublished{
			Publication: b.Publication, Operator: b.Operator, Base: b.Base,
			Pool: b.Pool.core(), Source: b.Source,
		}, err
	case kindSnapshotTaken:
		b, err := body[snapshotTaken](raw)
		return b.core(), err
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
		return nil, &TextError{Type: "record kind", Text: raw.Kind}
	}
}

func body[T any](raw rawEnvelope) (T, error) {
	var v T
	err := decodeStrict(raw.Body, &v)
	return v, err
}

// DecodeError says why data is not the JSON that was expected.
type DecodeError struct{ Reason string }

// Error returns the reason.
func (e *DecodeError) Error() string { return e.Reason }

// decodeStrict decodes one JSON value and refuses unknown fields and what
// follows the value.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &DecodeError{Reason: err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return &DecodeError{Reason: "data follows the JSON value"}
	}
	return nil
}
