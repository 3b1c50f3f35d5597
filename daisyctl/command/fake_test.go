package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/command"
	"daisyshed.dev/wire/platformlog"
)

// fakeLog is a log service in memory with one stream.
type fakeLog struct {
	*httptest.Server

	mu      sync.Mutex
	entries []platformlog.Entry
	// loseReplies breaks the connection after that many appends took effect.
	loseReplies int
	// refuse refuses that many appends before any effect.
	refuse int
	// beforeAppend runs once, before the next append takes effect.
	beforeAppend func()
	appends      int
	// failRead answers reads once an append has taken effect, if set.
	failRead func(w http.ResponseWriter)
}

func newFakeLog(t *testing.T) *fakeLog {
	l := &fakeLog{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/config", l.read)
	mux.HandleFunc("POST /v1/streams/config", l.append)
	l.Server = httptest.NewServer(mux)
	t.Cleanup(l.Close)
	return l
}

func (l *fakeLog) read(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failRead != nil && l.appends > 0 {
		l.failRead(w)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	end := core.Offset(len(l.entries))
	_ = json.NewEncoder(w).Encode(platformlog.ReadResult{
		Entries: l.entries[min(after, len(l.entries)):], First: 1, End: end, RetentionNanos: int64(time.Hour),
	})
}

func (l *fakeLog) append(w http.ResponseWriter, r *http.Request) {
	var request platformlog.AppendRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	l.interfere()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.refuse > 0 {
		l.refuse--
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := l.put(request.Records)
	if l.loseReplies > 0 {
		l.loseReplies--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(platformlog.AppendResult{First: first})
}

func (l *fakeLog) interfere() {
	l.mu.Lock()
	f := l.beforeAppend
	l.beforeAppend = nil
	l.mu.Unlock()
	if f != nil {
		f()
	}
}

func (l *fakeLog) put(records [][]byte) core.Offset {
	first := core.Offset(len(l.entries) + 1)
	for i, data := range records {
		l.entries = append(l.entries, platformlog.Entry{Offset: first + core.Offset(i), At: 1, Data: data})
	}
	return first
}

// newFakeDaemon answers with a status and the decisions of one request.
func newFakeDaemon(t *testing.T, status core.Status, decisions ...core.Decision) string {
	return serveDaemon(t, func() core.Status { return status }, decisions)
}

func serveDaemon(t *testing.T, status func() core.Status, decisions []core.Decision) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status())
	})
	mux.HandleFunc("GET /v1/decisions", func(w http.ResponseWriter, r *http.Request) {
		found := []core.Decision{}
		for _, d := range decisions {
			if string(d.Request) == r.URL.Query().Get("request") {
				found = append(found, d)
			}
		}
		_ = json.NewEncoder(w).Encode(found)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

// done is how a command ended.
type done struct {
	code   int
	stdout string
	stderr string
}

func run(args ...string) done { return runUntil(context.Background(), args...) }

// runUntil runs a command whose time is up when ctx ends.
func runUntil(ctx context.Context, args ...string) done {
	var stdout, stderr bytes.Buffer
	code := command.Run(ctx, args, &stdout, &stderr)
	return done{code, stdout.String(), stderr.String()}
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "documents.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
