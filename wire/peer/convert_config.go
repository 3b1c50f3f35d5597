package peer

import (
	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// SnapshotError reports that the snapshot in a ConfigAnswer could not be decoded.
type SnapshotError struct{ Reason string }

// Error returns a message with the reason.
func (e *SnapshotError) Error() string {
	return "peer: cannot decode the snapshot in a ConfigAnswer: " + e.Reason
}

func fromConfigAnswer(b core.ConfigAnswer) (*ConfigAnswer, error) {
	answer := &ConfigAnswer{After: int64(b.After), Through: int64(b.Through)}
	if snapshot, ok := b.Snapshot.Get(); ok {
		data, err := platformlog.Encode(snapshot)
		if err != nil {
			return nil, &EncodeError{Cause: err}
		}
		answer.Snapshot = data
	}
	for _, r := range b.Records {
		entry, err := fromLogRecord(r)
		if err != nil {
			return nil, err
		}
		answer.Records = append(answer.Records, entry)
	}
	return answer, nil
}

func fromLogRecord(r core.LogRecord) (*LogEntry, error) {
	entry := &LogEntry{Offset: int64(r.Offset), At: r.At}
	if _, unreadable := r.Record.(core.Unreadable); unreadable {
		// An Unreadable record has no encoding. The receiver decodes empty Data to
		// Unreadable again.
		return entry, nil
	}
	data, err := platformlog.Encode(r.Record)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	entry.Data = data
	return entry, nil
}

func toConfigAnswer(b *ConfigAnswer) (core.PeerBody, error) {
	answer := core.ConfigAnswer{
		After:   core.Offset(b.GetAfter()),
		Records: convertAll(b.GetRecords(), toLogRecord),
		Through: core.Offset(b.GetThrough()),
	}
	if len(b.GetSnapshot()) == 0 {
		return answer, nil
	}
	switch r := platformlog.Decode(b.GetSnapshot()).(type) {
	case core.SnapshotTaken:
		answer.Snapshot = core.Some(r)
		return answer, nil
	case core.Unreadable:
		return nil, &SnapshotError{Reason: r.Reason}
	default:
		return nil, &SnapshotError{Reason: "the record is not a snapshot"}
	}
}

func toLogRecord(e *LogEntry) core.LogRecord {
	return core.LogRecord{
		Offset: core.Offset(e.GetOffset()),
		At:     e.GetAt(),
		Record: platformlog.Decode(e.GetData()),
	}
}
