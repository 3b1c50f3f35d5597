package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The topics that only the operator and the workers write.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

// entry is one record of a topic: the content that follows its length on the wire.
type entry struct {
	data []byte
	at   time.Time
}

// readable reports whether the entry has a key.
func (e entry) readable() bool { return len(e.data) > 0 && len(e.data) > int(e.data[0]) }

func (e entry) key() string { return string(e.data[1 : 1+int(e.data[0])]) }

func (e entry) value() []byte { return e.data[1+int(e.data[0]):] }

// storeMode is how the store treats the calls of one node.
type storeMode int

const (
	storeServes storeMode = iota
	// storeSilent accepts calls and never answers them.
	storeSilent
	// storeBusy answers 503.
	storeBusy
)

// store is a stand-in of the platform's metadata store in its log form. Each node has an
// address of its own for it, so that the store knows who calls.
type store struct {
	answerTime time.Duration

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	// era counts the returns from a copy; away is set while the store is away.
	era  int
	away bool
	mode map[string]storeMode
	// onRead is called after a read of a topic was answered to a node, with the offset up to
	// which the node knows the topic now.
	onRead func(node, topic string, end int)
}

func newStore() *store {
	return &store{
		answerTime: 4 * time.Millisecond, topics: map[string][]entry{}, changed: make(chan struct{}), era: 1, mode: map[string]storeMode{},
	}
}

// listen opens an address of the store for a node.
func (s *store) listen(node string, l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
	go func() { _ = server.Serve(l) }()
}

// put appends a record as the operator or a worker does, and returns its offset. An empty
// value drops the key.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := append([]byte{byte(len(key))}, key...)
	return s.append(topic, append(data, value...))
}

func (s *store) append(topic string, data []byte) int {
	s.topics[topic] = append(s.topics[topic], entry{data: data, at: time.Now()})
	s.wake()
	return len(s.topics[topic]) - 1
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setMode sets how calls of a node are treated. Waiting calls end.
func (s *store) setMode(node string, m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode[node] = m
	s.wake()
}

// leave makes the store go away: connections are reset.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack returns the store from a copy that was made at the given time. What was written
// since is gone, offsets are given out again and the era rises.
func (s *store) comeBack(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, list := range s.topics {
		n := 0
		for n < len(list) && !list[n].at.After(copied) {
			n++
		}
		s.topics[name] = list[:n:n]
	}
	s.away = false
	s.era++
	s.wake()
}

func (s *store) serve(node string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answerTime)
	s.mu.Lock()
	away, mode, era := s.away, s.mode[node], s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch mode {
	case storeSilent:
		<-r.Context().Done()
		return
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeServes:
	}
	q := r.URL.Query()
	topic := q.Get("Topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.serveAppend(w, r, topic, q.Get("At"))
	case "GET /-/log-read":
		s.serveRead(node, w, r, topic)
	case "GET /-/log-newest":
		s.serveNewest(node, w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == topicOperator || topic == topicWorkers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": end})
		return
	}
	s.append(topic, body[4:])
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"Offset": end, "EndOffset": end + 1})
}

func (s *store) serveRead(node string, w http.ResponseWriter, r *http.Request, topic string) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("From"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		list, changed := s.topics[topic], s.changed
		cut := s.away || s.era != era || s.mode[node] != storeServes
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if from > len(list) {
			writeJSON(w, http.StatusGone, map[string]any{"FirstOffset": 0})
			return
		}
		late := false
		if from == len(list) {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				late = true
			}
		}
		if from < len(list) || late {
			s.answerRead(node, w, topic, list, from)
			return
		}
	}
}

func (s *store) answerRead(node string, w http.ResponseWriter, topic string, list []entry, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range list[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(e.data)))
		out = append(out, e.data...)
	}
	if _, err := w.Write(out); err == nil && s.onRead != nil {
		s.onRead(node, topic, len(list))
	}
}

func (s *store) serveNewest(node string, w http.ResponseWriter, topic string) {
	type item struct {
		Key    string
		Value  []byte
		Offset int
	}
	s.mu.Lock()
	list := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, e := range list {
		if !e.readable() {
			continue
		}
		if len(e.value()) == 0 {
			delete(newest, e.key())
			continue
		}
		newest[e.key()] = item{Key: e.key(), Value: e.value(), Offset: i}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "EndOffset": len(list)})
	if s.onRead != nil {
		s.onRead(node, topic, len(list))
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
