// Package hostedworker is a stand-in of the upstreams that the platform serves:
// instances of plain services and model engines, with faults.
package hostedworker

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what goes wrong with a share of the requests.
type Fault int

// The faults of a worker.
const (
	// NoFault lets all requests through.
	NoFault Fault = iota
	// LoseAnswer runs the request and resets the connection.
	LoseAnswer
	// Shed turns the request away as if the worker were full.
	Shed
	// Fail answers 500 after running the request.
	Fail
	// Hang takes the request and never answers.
	Hang
	// CutShort breaks off in the middle of the answer.
	CutShort
	// AnswerTwice sends another, late answer after the right one.
	AnswerTwice
)

// The stages of model engines.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Settings describe one worker.
type Settings struct {
	ID      string
	Service string
	Zone    string
	// Stage is Prefill or Decode, or empty for a plain service.
	Stage string
	Slots int
	// Work is the time for a plain request, or for one event of a stream.
	Work time.Duration
	// Events is the number of events of a stream.
	Events int
	// Memory is the KV cache memory in tokens.
	Memory int
	// Advertised is the address in the worker's entry, if not its own.
	Advertised string
}

// Run is one request that a worker began to work on.
type Run struct {
	Attempt string
	Worker  string
	Resumed bool
	At      time.Time
	// Draining says that the worker had been draining for a while.
	Draining time.Duration
}

// Worker is one upstream. Its methods are safe for concurrent use.
type Worker struct {
	settings Settings
	born     int64
	ran      func(Run)

	mu       sync.Mutex
	running  int
	memory   int
	leases   map[string]int
	next     int
	fault    Fault
	share    float64
	draining time.Time
	listener net.Listener
	server   *http.Server
}

// Start serves on a loopback address; ran is told of each run. The clean-up
// function ends it as a crash would.
func Start(s Settings, address string, ran func(Run)) (*Worker, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	w := &Worker{
		settings: s, born: time.Now().UnixMilli(), ran: ran, listener: l, memory: s.Memory,
		leases: map[string]int{},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		// The clean-up function ends it.
		_ = w.server.Serve(l)
	}()
	return w, func() { _ = w.server.Close() }, nil
}

// SetFault has a share of the requests go wrong from now on.
func (w *Worker) SetFault(f Fault, share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.share = f, share
}

// Drain has the worker's entry say that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = time.Now()
}

// Entry returns the worker's entry in the store.
func (w *Worker) Entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	state := "ready"
	if !w.draining.IsZero() {
		state = "draining"
	}
	entry := map[string]any{
		"Service": w.settings.Service, "Address": cmp.Or(w.settings.Advertised, w.listener.Addr().String()), "Zone": w.settings.Zone,
		"Version": "v1", "Slots": w.settings.Slots, "State": state, "ColdLeftMs": 0, "SeqNo": w.next, "born": w.born,
	}
	if w.settings.Stage != "" {
		entry["Stage"] = w.settings.Stage
	}
	// A map of plain values always encodes.
	raw, _ := json.Marshal(entry)
	return raw
}

// ServeHTTP answers one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get("Attempt-Id"); attempt != "" {
		rw.Header().Set("Attempt-Id", attempt)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.settings.ID {
		rw.Header().Set("Instance-Id", w.settings.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/-/hold-take":
		w.hold(rw, body)
	case strings.HasPrefix(r.URL.Path, "/-/hold-drop/"):
		w.release(strings.TrimPrefix(r.URL.Path, "/-/hold-drop/"))
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
	case r.URL.Path == "/-/order":
		w.order(rw, body)
	case r.Header.Get("Serving-Stage") == Prefill:
		w.prefill(rw)
	default:
		w.run(rw, r, body)
	}
}

func (w *Worker) hold(rw http.ResponseWriter, body []byte) {
	var ask struct {
		Tokens int
		TTLMs  int `json:"TtlMs"`
	}
	if json.Unmarshal(body, &ask) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.settings.Stage != Decode || w.memory < ask.Tokens {
		w.mu.Unlock()
		shed(rw)
		return
	}
	w.memory -= ask.Tokens
	w.next++
	id := fmt.Sprintf("h%d", w.next)
	w.leases[id] = ask.Tokens
	w.mu.Unlock()
	time.AfterFunc(time.Duration(ask.TTLMs)*time.Millisecond, func() { w.release(id) })
	writeJSON(rw, map[string]any{"Hold": id})
}

// release gives a reservation back and returns its size.
func (w *Worker) release(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	tokens := w.leases[id]
	w.memory += tokens
	delete(w.leases, id)
	return tokens
}

func (w *Worker) order(rw http.ResponseWriter, body []byte) {
	var o struct{ Stage string }
	if json.Unmarshal(body, &o) != nil || o.Stage == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.settings.Stage = o.Stage
	w.mu.Unlock()
	rw.WriteHeader(http.StatusAccepted)
}

func (w *Worker) prefill(rw http.ResponseWriter) {
	w.mu.Lock()
	stage := w.settings.Stage
	w.next++
	id := fmt.Sprintf("k%d", w.next)
	w.mu.Unlock()
	if stage != Prefill {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(w.settings.Work)
	writeJSON(rw, map[string]any{"KvHandle": id, "Tokens": 100, "Version": 1})
}

// run works on a request.
func (w *Worker) run(rw http.ResponseWriter, r *http.Request, body []byte) {
	attempt := r.Header.Get("Attempt-Id")
	w.mu.Lock()
	fault := NoFault
	if rand.Float64() < w.share {
		fault = w.fault
	}
	full := w.running >= w.settings.Slots+2 || w.settings.Stage == Prefill
	if !full && fault != Shed {
		w.running++
	}
	draining := time.Duration(0)
	if !w.draining.IsZero() {
		draining = time.Since(w.draining)
	}
	w.mu.Unlock()
	if full || fault == Shed {
		shed(rw)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	if id := r.Header.Get("Kv-Hold"); id != "" {
		w.release(id)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.ran(Run{Attempt: attempt, Worker: w.settings.ID, Resumed: last > 0, At: time.Now(), Draining: draining})
	rw.Header().Set("Server-Seal", Seal(attempt, body))
	switch {
	case fault == Hang:
		<-r.Context().Done()
	case w.settings.Stage == "":
		w.answer(rw, attempt, body, fault)
	default:
		w.stream(rw, r, attempt, last, fault)
	}
}

func (w *Worker) answer(rw http.ResponseWriter, attempt string, body []byte, fault Fault) {
	time.Sleep(w.settings.Work)
	out := Answer(attempt, body)
	switch fault {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case Fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case CutShort:
		rw.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = rw.Write(out[:len(out)/2])
		panic(http.ErrAbortHandler)
	case AnswerTwice:
		w.answerTwice(rw, attempt, body, out)
	default:
		_, _ = rw.Write(out)
	}
}

// answerTwice writes the right answer and, a little later, another one.
func (w *Worker) answerTwice(rw http.ResponseWriter, attempt string, body, out []byte) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, id := range []string{attempt, "other"} {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, Seal(attempt, body), len(out), out)
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, attempt string, last int, fault Fault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	cut := w.settings.Events + 1
	if fault == CutShort || fault == LoseAnswer {
		cut = last + 1 + rand.IntN(max(w.settings.Events-last, 1))
	}
	for i := last + 1; i <= w.settings.Events; i++ {
		select {
		case <-time.After(w.settings.Work):
		case <-r.Context().Done():
			return
		}
		event := Event(attempt, i)
		if i >= cut {
			_, _ = rw.Write(event[:len(event)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := rw.Write(event); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

// Event returns one event of the answer to an attempt.
func Event(attempt string, i int) []byte {
	return []byte(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, attempt, i))
}

// Answer returns the body of the answer to an attempt.
func Answer(attempt string, body []byte) []byte {
	sum := sha256.Sum256(append([]byte(attempt+"\n"), body...))
	return []byte("answer " + hex.EncodeToString(sum[:]) + "\n")
}

// Seal returns the signature of the answer to an attempt.
func Seal(attempt string, body []byte) string {
	sum := sha256.Sum256(append([]byte("seal\n"+attempt+"\n"), body...))
	return hex.EncodeToString(sum[:8])
}

func shed(rw http.ResponseWriter) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	// A caller that left needs no answer.
	_ = json.NewEncoder(rw).Encode(value)
}
