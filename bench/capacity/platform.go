package capacity

import (
	"encoding/base64"
	"encoding/json"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
	"daisyshed.dev/wire/vmlist"
)

const (
	// retention is how long the log keeps records.
	retention = 24 * time.Hour
	// readRecords is the maximum number of records that one read returns.
	readRecords = 1000
)

// stream is one stream of the log, with the size of each record in the answer
// to a read.
type stream struct {
	records []core.LogRecord
	sizes   []int
}

func (f *Fleet) stream(id core.StreamID) *stream {
	s, ok := f.log[id]
	if !ok {
		s = &stream{}
		f.log[id] = s
	}
	return s
}

// Publish appends a record to the configuration stream.
func (f *Fleet) Publish(r core.Record) core.Offset {
	return f.stream(core.ConfigStream).add(f.clock.Now, r)
}

func (s *stream) add(now core.Instant, r core.Record) core.Offset {
	offset := core.Offset(len(s.records) + 1)
	s.records = append(s.records, core.LogRecord{Offset: offset, At: int64(now), Record: r})
	s.sizes = append(s.sizes, entrySize(offset, int64(now), r))
	return offset
}

// entrySize returns the size of a record in the log's answer to a read.
func entrySize(offset core.Offset, at int64, r core.Record) int {
	data, err := platformlog.Encode(r)
	if err != nil {
		return 0
	}
	return jsonSize(platformlog.Entry{Offset: offset, At: at}) + base64.StdEncoding.EncodedLen(len(data))
}

// jsonSize returns the size of a value encoded as JSON.
func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}

func (f *Fleet) appendLog(n *node, c core.AppendLog) {
	f.Usage.add(logAppendKind, 0)
	f.clock.After(logDelay/2, func() {
		s := f.stream(c.Stream)
		first := core.Offset(len(s.records) + 1)
		for _, r := range c.Records {
			s.add(f.clock.Now, r)
			f.Usage.add(logRecordKind, s.sizes[len(s.sizes)-1])
		}
		n.receiveAfter(logDelay/2, core.LogAppended{Ticket: c.Ticket, First: first})
	})
}

func (f *Fleet) readLog(n *node, c core.ReadLog) {
	f.clock.After(logDelay, func() {
		s := f.stream(c.Stream)
		from := min(int(c.After), len(s.records))
		last := min(from+readRecords, len(s.records))
		size := jsonSize(platformlog.ReadResult{
			First: 1, End: core.Offset(len(s.records)), Now: int64(f.clock.Now), RetentionNanos: int64(retention),
		})
		for _, b := range s.sizes[from:last] {
			size += b
		}
		f.Usage.add(logReadKind, size)
		n.receive(core.LogRead{
			Stream: c.Stream, After: c.After, Records: s.records[from:last:last], First: 1,
			End: core.Offset(len(s.records)), Now: int64(f.clock.Now), Retention: retention,
		})
	})
}

// vmListSize returns the size of the VM list encoded as JSON.
func (f *Fleet) vmListSize() int {
	if f.listSize == 0 {
		f.listSize = jsonSize(f.vmList())
	}
	return f.listSize
}

func (f *Fleet) vmList() vmlist.List {
	var list vmlist.List
	for _, n := range f.infos {
		list.VMs = append(list.VMs, vmlist.VM{
			ID: string(n.ID), Kind: vmlist.KindEntry, Domain: string(n.Domain), Region: string(n.Region),
			Address: n.PeerAddress, CallerAddress: n.CallerAddress, State: vmlist.StateLive,
		})
	}
	for _, u := range f.Upstreams {
		list.VMs = append(list.VMs, vmlist.VM{
			ID: string(u.ID), Kind: vmlist.KindEngine, Pool: string(u.Pool), Domain: string(u.Domain),
			Region: string(u.Region), Address: u.Address, State: vmlist.StateLive,
		})
	}
	return list
}
