// Package metastore is a stand-in of the platform's metadata store: logs whose
// topics keep the newest record of each key, with faults.
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

// The topics that nodes may only read: the operators' desired state under the key
// StateKey, and the upstreams' entries by their ids.
const (
	Operators = "keyed.op"
	StateKey  = "config"
	Upstreams = "keyed.servers"
)

// longestWait bounds the wait of a read for a record.
const longestWait = 30 * time.Second

// Mode is how the store answers.
type Mode int

// The modes of a store.
const (
	// Serving answers as it should.
	Serving Mode = iota
	// Unavailable answers 503, which means that nothing was done.
	Unavailable
	// Crowded answers 429.
	Crowded
	// Resetting closes each connection without an answer.
	Resetting
	// Silent never answers.
	Silent
)

// Store is an in-memory store. Its methods are safe for concurrent use.
type Store struct {
	// Delay is the time that each call takes. It is set before the first call.
	Delay time.Duration

	mu     sync.Mutex
	topics map[string]*topic
	mode   Mode
	loses  float64
	calls  int
}

type record struct {
	offset int64
	data   []byte
}

type topic struct {
	end     int64
	first   int64
	records []record
	// newest holds the last record of each key; it outlives the log.
	newest  map[string]record
	changed chan struct{}
}

// SetMode has the store answer in a mode from now on.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// SetLoses sets the share of appends that are done and not answered.
func (s *Store) SetLoses(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = share
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history of a topic, but for the newest record of each key.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records, t.first = nil, t.end
}

// Put writes the newest value of a key; an empty value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	data := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(append(data, value...))
}

// Len returns how many records a topic has had.
func (s *Store) Len(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end
}

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

func (t *topic) append(data []byte) {
	r := record{offset: t.end, data: data}
	t.records = append(t.records, r)
	t.end++
	if len(data) > int(data[0]) {
		key := string(data[1 : 1+int(data[0])])
		t.newest[key] = r
		if len(data) == len(key)+1 {
			delete(t.newest, key)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode, lost := s.mode, r.Method == http.MethodPost && rand.Float64() < s.loses
	s.mu.Unlock()
	time.Sleep(s.Delay)
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Crowded:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Resetting:
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
		return
	case Serving:
	}
	q := r.URL.Query()
	name := q.Get("Topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.append(w, r, name, q.Get("At"), lost)
	case "GET /-/log-read":
		s.read(w, r, name)
	case "GET /-/log-newest":
		s.newest(w, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, name, at string, lost bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == Operators || name == Upstreams {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	if at != "" && at != strconv.FormatInt(t.end, 10) {
		end := t.end
		s.mu.Unlock()
		answer(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": end})
		return
	}
	t.append(body[4:])
	end := t.end
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"Offset": end - 1, "EndOffset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("From"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, longestWait))
	for {
		s.mu.Lock()
		t := s.topic(name)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"FirstOffset": first})
			return
		}
		out, changed := t.after(from), t.changed
		s.mu.Unlock()
		if len(out) > 16 {
			// A caller that left needs no answer.
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

// after returns an answer to log-read: two offsets, then records.
func (t *topic) after(from int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, r := range t.records {
		if r.offset >= from {
			out = binary.BigEndian.AppendUint32(out, uint32(len(r.data)))
			out = append(out, r.data...)
		}
	}
	return out
}

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
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "EndOffset": end})
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
