package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound stand-in of the platform's store: a log for each topic, and the newest record of
// each key.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	newest  map[string]item
	changed chan struct{}
}

type item struct {
	Key    string
	Value  []byte
	Offset int64
}

func (s *store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]item{}, changed: make(chan struct{})}
	}
	return s.topics[name]
}

// append adds a record. The caller holds s.mu.
func (s *store) append(name string, data []byte) {
	t := s.topic(name)
	offset := int64(len(t.records))
	t.records = append(t.records, data)
	if strings.HasPrefix(name, "keyed.") && len(data) > 0 && len(data) > int(data[0]) {
		n := 1 + int(data[0])
		key, value := string(data[1:n]), data[n:]
		t.newest[key] = item{Key: key, Value: value, Offset: offset}
		if len(value) == 0 {
			delete(t.newest, key)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes the value of a key, as operators and workers do.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// ServeHTTP serves the calls log-append, log-read and log-newest.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	name := q.Get("Topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.serveAppend(w, r, name, q.Get("At"))
	case "GET /-/log-read":
		from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		s.serveRead(w, r, name, from, min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	case "GET /-/log-newest":
		s.mu.Lock()
		t := s.topic(name)
		items := []item{}
		for _, i := range t.newest {
			items = append(items, i)
		}
		end := len(t.records)
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "EndOffset": end})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(first) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": first})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.append(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": first, "EndOffset": len(s.topic(name).records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string, from int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, changed := int64(len(t.records)), t.changed
		if from > end {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"FirstOffset": 0})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, data := range t.records[from:] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
			out = append(out, data...)
		}
		s.mu.Unlock()
		expired := false
		if from == end {
			select {
			case <-changed:
				continue
			case <-deadline:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if from < end || expired {
			_, _ = w.Write(out)
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
