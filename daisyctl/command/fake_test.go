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

// fakeLog is an in-memory log service with one stream.
type fakeLog struct {
	*httptest.Server

	mu      sync.Mutex
	entries []platformlog.Entry
	// loseReplies is the number of appends that take effect but whose
	// connection is closed before the reply.
	loseReplies int
	// rejectAppends is the number of appends that are rejected without effect.
	rejectAppends int
	// beforeAppend, if set, is called once, before the next append takes effect.
	beforeAppend func()
	appends      int
	// failRead, if set, answers reads that follow the first append.
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
	l.runBeforeAppend()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.rejectAppends > 0 {
		l.rejectAppends--
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := l.store(request.Records)
	if l.loseReplies > 0 {
		l.loseReplies--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(platformlog.AppendResult{First: first})
}

// runBeforeAppend calls beforeAppend without the lock, so that it can append too.
func (l *fakeLog) runBeforeAppend() {
	l.mu.Lock()
	f := l.beforeAppend
	l.beforeAppend = nil
	l.mu.Unlock()
	if f != nil {
		f()
	}
}

func (l *fakeLog) store(records [][]byte) core.Offset {
	first := core.Offset(len(l.entries) + 1)
	for i, data := range records {
		l.entries = append(l.entries, platformlog.Entry{Offset: first + core.Offset(i), At: 1, Data: data})
	}
	return first
}

// newFakeDaemon starts a daemon that reports a fixed status and the given
// decisions, and returns its URL.
func newFakeDaemon(t *testing.T, status core.Status, decisions ...core.Decision) string {
	return serveDaemon(t, func() core.Status { return status }, decisions)
}

// serveDaemon starts a daemon that calls status for each status request, and
// returns its URL.
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

// commandResult is the exit code and output of a command.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

func run(args ...string) commandResult { return runUntil(context.Background(), args...) }

// runUntil runs a command with a context that may end before the command does.
func runUntil(ctx context.Context, args ...string) commandResult {
	var stdout, stderr bytes.Buffer
	code := command.Run(ctx, args, &stdout, &stderr)
	return commandResult{code, stdout.String(), stderr.String()}
}

// writeDocuments writes text to a temporary file and returns its path.
func writeDocuments(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "documents.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
