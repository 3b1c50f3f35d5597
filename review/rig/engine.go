package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of a stream: the time until its first event, the pause between two events, and
// how many there are.
const (
	firstEventAfter = 60 * time.Millisecond
	eventPause      = 100 * time.Millisecond
	streamEvents    = 20
	prefillTime     = 40 * time.Millisecond
	maxHold         = 2 * time.Second
)

// engine is a stand-in of a model worker. It may start again under its id, at the same
// address and at another version of its software.
type engine struct {
	id, service, zone string
	store             *store
	onRun             func(run)

	address string

	mu      sync.Mutex
	server  *http.Server
	stage   string
	version string
	born    int64
	seq     int
	last    int
	up      bool
	// boot counts the starts, and running the streams of the present one.
	boot, running int
	free          int
	holds         map[string]int
	handles       map[string]bool
}

const engineMemory = 38041

// start starts the engine at its address, or at a free port of ip the first time.
func (e *engine) start(ip, version string) error {
	address := e.address
	if address == "" {
		address = ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address = l.Addr().String()
	e.version, e.born, e.seq, e.up, e.running = version, time.Now().UnixMilli(), 0, true, 0
	e.boot++
	e.free, e.holds, e.handles = engineMemory, map[string]int{}, map[string]bool{}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.server = server
	boot := e.boot
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.checkIn()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for range t.C {
			e.mu.Lock()
			over := e.boot != boot || !e.up
			e.mu.Unlock()
			if over {
				return
			}
			e.checkIn()
		}
	}()
	return nil
}

// crash ends the engine at once. Its entry stays until it lapses.
func (e *engine) crash() {
	e.mu.Lock()
	e.up = false
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

func (e *engine) checkIn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.seq++
	raw, _ := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": 96, "State": "ready",
		"ColdLeftMs": 0, "Stage": e.stage, "SeqNo": e.seq, "born": e.born,
		"Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
	})
	e.store.put(topicWorkers, e.id, raw)
}

// load returns the stage of the engine and how many streams it runs.
func (e *engine) load() (stage string, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage, e.running
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		w.Header().Set("Attempt-Id", attempt)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/-/hold-take":
		e.take(w, body)
	case strings.HasPrefix(r.URL.Path, "/-/hold-drop/"):
		e.drop(strings.TrimPrefix(r.URL.Path, "/-/hold-drop/"))
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		e.mu.Lock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		e.mu.Unlock()
	case r.URL.Path == "/-/order":
		e.order(w, body)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		w.WriteHeader(http.StatusNotFound)
	case r.Header.Get("Serving-Stage") == "prefill":
		e.prefill(w)
	default:
		e.stream(w, r, attempt, body)
	}
}

// next returns a new id of a hold or a handle.
func (e *engine) next() string {
	e.last++
	return fmt.Sprintf("%s-%d-%d", strings.TrimPrefix(e.id, "i-"), e.boot, e.last)
}

func (e *engine) take(w http.ResponseWriter, body []byte) {
	var q struct {
		Tokens int
		TTLMs  int `json:"TtlMs"`
	}
	if json.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.stage != "decode" || e.free < q.Tokens {
		e.mu.Unlock()
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	e.free -= q.Tokens
	id := e.next()
	e.holds[id] = q.Tokens
	e.mu.Unlock()
	time.AfterFunc(min(time.Duration(q.TTLMs)*time.Millisecond, maxHold), func() { e.drop(id) })
	writeJSON(w, http.StatusOK, map[string]any{"Hold": id})
}

// drop ends a hold.
func (e *engine) drop(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free += e.holds[id]
	delete(e.holds, id)
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var q struct{ Opcode, Stage, Holder string }
	if json.Unmarshal(body, &q) != nil || q.Holder == "" || q.Stage != "prefill" && q.Stage != "decode" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			e.mu.Lock()
			if e.running == 0 {
				break
			}
			e.mu.Unlock()
		}
		e.stage = q.Stage
		e.mu.Unlock()
		e.checkIn()
	}()
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) prefill(w http.ResponseWriter) {
	e.mu.Lock()
	stage := e.stage
	e.mu.Unlock()
	if stage != "prefill" {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(prefillTime)
	e.mu.Lock()
	id := e.next()
	e.handles[id] = true
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"KvHandle": id, "Tokens": 3000, "Version": 1})
}

// stream runs a request: it sends the events after the one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, attempt string, body []byte) {
	e.mu.Lock()
	if e.stage != "decode" {
		e.mu.Unlock()
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	version, boot := e.version, e.boot
	if id := r.Header.Get("Kv-Hold"); id != "" {
		e.free += e.holds[id]
		delete(e.holds, id)
	}
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.boot == boot {
			e.running--
		}
		e.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.onRun(run{attempt: attempt, worker: fmt.Sprintf("%s/%s from %d", e.id, version, last+1), at: time.Now()})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Seal", seal(attempt, body))
	pause := firstEventAfter
	for i := last + 1; i <= streamEvents; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		pause = eventPause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d %s\n\n", i, attempt, i, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
