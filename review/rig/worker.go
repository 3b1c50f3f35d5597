package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which workers check in.
	heartbeat = 1200 * time.Millisecond
	// slowWork is how long a worker works on a request of the slow route.
	slowWork = 1200 * time.Millisecond
)

// run is one run of a request at a worker.
type run struct {
	attempt, worker string
	at              time.Time
}

// worker is a stand-in of a plain service's worker.
type worker struct {
	id, service, zone string
	slots             int
	work              time.Duration
	// slowWork is how long the worker works on requests of the slow route.
	slowWork time.Duration
	store    *store
	onRun    func(run)

	// exitInRun makes the worker exit in the middle of the first unsafe run that begins later
	// than DrainMs after it has left; exited is called then.
	exitInRun bool
	exited    func(attempt string)

	listener net.Listener
	server   *http.Server
	born     int64
	sem      chan struct{}
	stop     chan struct{}
	stopOnce sync.Once

	mu      sync.Mutex
	seq     int
	leaving bool
	leftAt  time.Time
	// listed is set while the worker checks in.
	listed bool
}

func (w *worker) start(l net.Listener) {
	w.listener, w.born, w.listed = l, time.Now().UnixMilli(), true
	w.sem, w.stop = make(chan struct{}, w.slots), make(chan struct{})
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	w.checkIn()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				w.checkIn()
			case <-w.stop:
				return
			}
		}
	}()
}

// checkIn writes the worker's entry, unless it has left the list. While the store is away,
// nothing is written.
func (w *worker) checkIn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.mu.Lock()
	away := w.store.away
	w.store.mu.Unlock()
	if !w.listed || away {
		return
	}
	w.seq++
	raw, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.listener.Addr().String(), "Zone": w.zone, "Version": "v1", "Slots": w.slots,
		"State": "ready", "ColdLeftMs": 0, "SeqNo": w.seq, "born": w.born,
	})
	w.store.put(topicWorkers, w.id, raw)
}

// leave makes the worker leave without having reported that it drains: its entry is removed.
// It goes on serving, and says in all its answers that it leaves. It returns the offset of
// the removal.
func (w *worker) leave() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaving {
		w.leftAt = time.Now()
	}
	w.leaving, w.listed = true, false
	return w.store.put(topicWorkers, w.id, nil)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	leaving, leftAt := w.leaving, w.leftAt
	w.mu.Unlock()
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		rw.Header().Set("Attempt-Id", attempt)
	}
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	select {
	case w.sem <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(deadline):
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.sem }()
	w.onRun(run{attempt: attempt, worker: w.id, at: time.Now()})
	work := w.work
	if strings.HasPrefix(r.URL.Path, "/slow/") {
		work = w.slowWork
	}
	exits := w.exitInRun && leaving && r.Method == http.MethodPost && time.Since(leftAt) > drainDelay
	if exits {
		work /= 2
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if exits {
		w.stopOnce.Do(func() { w.exited(attempt) })
		_ = w.server.Close()
		return
	}
	rw.Header().Set("Server-Seal", seal(attempt, body))
	_, _ = rw.Write([]byte("answer to " + attempt + "\n"))
}

// seal returns a worker's signature of its answer.
func seal(attempt string, body []byte) string {
	sum := sha256.Sum256(append([]byte(attempt+"\n"), body...))
	return hex.EncodeToString(sum[:8])
}
