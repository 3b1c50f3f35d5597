// Package metastore is an in-memory stand-in for the platform's metadata store:
// append-only topics that keep the newest record of each key after compaction. It
// can inject faults, among them a return from a copy that is some seconds old.
package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The topics that nodes may only read. OperatorTopic holds the operators' desired
// state under the key StateKey, and UpstreamTopic the upstreams' entries under their
// ids.
const (
	OperatorTopic = "keyed.op"
	StateKey      = "config"
	UpstreamTopic = "keyed.servers"
)

// maxReadWait is the upper bound on the time that a read waits for a record.
const maxReadWait = 30 * time.Second

// defaultReadBytes bounds the records of one read if the caller names no limit. A read
// returns one record at least.
const defaultReadBytes = 1 << 20

// Mode selects how the store responds to calls.
type Mode int

// The modes of a store.
const (
	// Serving responds normally.
	Serving Mode = iota
	// Unavailable responds with status 503, which means that the call had no
	// effect.
	Unavailable
	// RateLimited responds with status 429.
	RateLimited
	// Resetting closes each connection without a response.
	Resetting
	// Unresponsive never responds.
	Unresponsive
)

// Store is an in-memory metadata store, served by ServeHTTP. Its methods are safe
// for concurrent use.
type Store struct {
	// Delay is the latency of each call. Set it before the first call.
	Delay time.Duration

	mu             sync.Mutex
	topics         map[string]*topic
	mode           Mode
	lostReplyShare float64
	calls          int
	// restores counts the returns from a copy.
	restores int64
	// written holds the last record of each key that operators and upstreams have written,
	// whether the store still has it or not.
	written map[topicKey][]byte
}

// topicKey is a key of a topic.
type topicKey struct{ topic, key string }

// record is one record of a topic. data is the length of the key in one byte, the
// key and the value.
type record struct {
	offset int64
	data   []byte
	at     time.Time
}

// key returns the record's key, or an empty string if it has none.
func (r record) key() string {
	if len(r.data) == 0 || len(r.data) <= int(r.data[0]) {
		return ""
	}
	return string(r.data[1 : 1+int(r.data[0])])
}

// topic is the log of one topic. end is the offset of the next record, and first
// the offset of records[0].
type topic struct {
	end     int64
	first   int64
	records []record
	// history holds all records, also after compaction.
	history []record
	// newest holds the newest record of each key, also after compaction.
	newest map[string]record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// SetMode sets the mode for subsequent calls.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// SetLostReplyShare sets the share of appends that take effect but get no response.
func (s *Store) SetLostReplyShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostReplyShare = share
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact removes the records of a topic, except that the newest record of each
// key can still be read with log-newest.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records, t.first = nil, t.end
}

// Put appends a new value of a key to a topic. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	data := append([]byte{byte(len(key))}, key...)
	s.PutRecord(name, append(data, value...))
}

// PutRecord appends a record as it is, which need not have a key.
func (s *Store) PutRecord(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.written == nil {
		s.written = map[topicKey][]byte{}
	}
	s.written[topicKey{name, record{data: data}.key()}] = data
	s.topic(name).append(data, time.Now())
}

// Restore returns the store from a copy that is the given time old: all records since
// then are lost, their offsets are given out again, and the era rises. The connections
// of waiting reads are closed. The returned function has operators and upstreams write the keys
// again of which records were lost, each with the last record that they have written.
func (s *Store) Restore(age time.Duration) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	cut := time.Now().Add(-age)
	lost := map[topicKey]bool{}
	for name, t := range s.topics {
		history := t.history
		t.end, t.records, t.history = 0, nil, nil
		t.newest = map[string]record{}
		changed := t.changed
		t.changed = make(chan struct{})
		first := t.first
		for _, r := range history {
			if r.at.After(cut) {
				lost[topicKey{name, r.key()}] = true
				continue
			}
			t.append(r.data, r.at)
		}
		t.first = min(first, t.end)
		t.records = t.records[t.first:]
		close(changed)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for key := range lost {
			if key.topic == OperatorTopic || key.topic == UpstreamTopic {
				s.topic(key.topic).append(s.written[key], time.Now())
			}
		}
	}
}

// Len returns the number of records ever appended to a topic.
func (s *Store) Len(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end
}

// topic returns a topic and creates it if necessary.
func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]record{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// append appends a record, updates the newest record of its key and wakes the
// waiting reads. A record that is shorter than its key is only added to the log.
func (t *topic) append(data []byte, at time.Time) {
	r := record{offset: t.end, data: data, at: at}
	t.records = append(t.records, r)
	t.history = append(t.history, r)
	t.end++
	if key := r.key(); key != "" {
		t.newest[key] = r
		if len(data) == len(key)+1 {
			delete(t.newest, key)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP handles one call in the current mode.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode, loseReply := s.mode, r.Method == http.MethodPost && rand.Float64() < s.lostReplyShare
	era := 1 + s.restores
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	time.Sleep(s.Delay)
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Resetting:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		<-r.Context().Done()
		return
	case Serving:
	}
	q := r.URL.Query()
	name := q.Get("Topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.append(w, r, name, q.Get("At"), loseReply)
	case "GET /-/log-read":
		s.read(w, r, name)
	case "GET /-/log-newest":
		s.newest(w, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append handles log-append. If at is not empty, it must be the topic's end offset;
// otherwise the append is rejected with status 412 and the end offset.
func (s *Store) append(w http.ResponseWriter, r *http.Request, name, at string, loseReply bool) {
	body, err := io.ReadAll(r.Body)
	records, whole := splitRecords(body)
	if err != nil || !whole {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == OperatorTopic || name == UpstreamTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	if at != "" && at != strconv.FormatInt(t.end, 10) {
		end := t.end
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": end})
		return
	}
	first := t.end
	for _, data := range records {
		t.append(data, time.Now())
	}
	end := t.end
	s.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": first, "EndOffset": end})
}

// splitRecords returns the records of an append, each of which follows its length. It reports
// whether there is a record and all are whole.
func splitRecords(body []byte) (records [][]byte, whole bool) {
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; size > len(body) {
			return nil, false
		}
		records, body = append(records, body[:size]), body[size:]
	}
	return records, len(body) == 0 && len(records) > 0
}

// read handles log-read. It waits up to WaitMs, and at most maxReadWait, for a
// record at the offset From or later.
func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("From"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	limit := defaultReadBytes
	if kb, err := strconv.Atoi(q.Get("MaxKb")); err == nil && kb > 0 {
		limit = kb << 10
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	s.mu.Lock()
	restores := s.restores
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.restores != restores {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		t := s.topic(name)
		if from < t.first || from > t.end {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"FirstOffset": first})
			return
		}
		out, changed := t.encodeFrom(from, limit), t.changed
		s.mu.Unlock()
		// The first 16 bytes are the two offsets.
		if len(out) > 16 {
			// A write error means that the caller has disconnected.
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encodeFrom encodes the response to log-read: the end and first offsets, then each
// record at the offset from or later, prefixed with its length. It ends before the record
// with which it would exceed limit, unless that is the first.
func (t *topic) encodeFrom(from int64, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	const headerBytes = 16
	for _, r := range t.records {
		if r.offset >= from && (len(out) == headerBytes || len(out)+len(r.data) <= limit) {
			out = binary.BigEndian.AppendUint32(out, uint32(len(r.data)))
			out = append(out, r.data...)
		}
	}
	return out
}

// newest handles log-newest: it responds with the newest record of each key.
func (s *Store) newest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string
		Value  []byte
		Offset int64
	}
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	for key, r := range t.newest {
		items = append(items, item{Key: key, Value: r.data[1+len(key):], Offset: r.offset})
	}
	end := t.end
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "EndOffset": end})
}

// writeJSON responds with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
