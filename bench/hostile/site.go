// Package hostile runs a real daemon on loopback addresses against clients and upstreams that send
// more than the protocol allows, or nothing at all, and measures what the daemon's process holds.
package hostile

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
	"daisyshed.dev/standin/metastore"
)

const (
	// host is the host of all routes.
	host = "shop.example"
	// The ports of the daemon, the store and the worker.
	callerPort, readyPort, directoryPort, peerPort = 18149, 18141, 18143, 17380
	storePort, workerPort                          = 18142, 18080
	// maxBlocks is the number of blocks of loopback addresses. Each site uses one.
	maxBlocks = 200
	// heartbeatInterval is the interval at which the worker renews its entry.
	heartbeatInterval = 400 * time.Millisecond
	// routeTimeout is the timeout of all routes.
	routeTimeout = 5 * time.Second
	// startTimeout bounds the time until the daemon is ready.
	startTimeout = 15 * time.Second
	// sampleInterval is the interval at which open descriptors are counted.
	sampleInterval = 50 * time.Millisecond
)

// Limits are the limits of the daemon's machine, as its settings name them.
type Limits struct{ MemoryMB, MaxFiles int }

// Bytes returns the memory limit in bytes.
func (l Limits) Bytes() int64 { return int64(l.MemoryMB) * 1_000_000 }

// Site is a daemon with a store and one worker of a plain service. Its methods are safe for concurrent
// use.
type Site struct {
	Limits Limits
	// Worker serves all requests.
	Worker *hostedworker.Worker

	block   int
	dir     string
	cmd     *exec.Cmd
	ended   chan struct{}
	done    chan struct{}
	files   atomic.Int64
	cleanup []func()
}

// NotReadyError reports a daemon that was not ready in time. Log is its output.
type NotReadyError struct{ Log string }

// Error returns the message with the output.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("hostile: the daemon is not ready after %v:\n%s", startTimeout, e.Log)
}

// Open starts the store, a worker and the daemon that bin contains, and waits until the daemon is
// ready. The returned function ends them.
func Open(bin string, l Limits) (*Site, func(), error) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return nil, nil, err
	}
	s := &Site{Limits: l, dir: dir, ended: make(chan struct{}), done: make(chan struct{})}
	s.cleanup = append(s.cleanup, func() { _ = os.RemoveAll(dir) })
	if err := s.start(bin); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

// start starts everything.
func (s *Site) start(bin string) error {
	store := &metastore.Store{Delay: time.Millisecond}
	l, err := s.claimBlock()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	go func() {
		// The server is closed by a clean-up function.
		_ = server.Serve(l)
	}()
	s.cleanup = append(s.cleanup, func() { _ = server.Close() })
	state, err := hostedsite.State{Version: 1, Host: host, Timeout: routeTimeout}.Encode()
	if err != nil {
		return err
	}
	store.Put(metastore.OperatorTopic, metastore.StateKey, state)
	settings := hostedworker.Settings{ID: "i-001", Service: hostedsite.PlainService, Zone: "z0", Slots: 200, Work: time.Millisecond}
	w, stop, err := hostedworker.Start(settings, s.address(3, workerPort), func(hostedworker.Run) {})
	if err != nil {
		return err
	}
	s.Worker = w
	s.cleanup = append(s.cleanup, stop)
	go s.sendHeartbeats(store, settings.ID)
	if err := s.startDaemon(bin); err != nil {
		return err
	}
	go s.countFiles()
	return s.await(s.Ready)
}

// claimBlock claims a block of loopback addresses that no other site on this machine uses, by
// listening on the store's port.
func (s *Site) claimBlock() (net.Listener, error) {
	var err error
	for s.block = range maxBlocks {
		var l net.Listener
		if l, err = net.Listen("tcp", s.address(2, storePort)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// address returns an address of this site.
func (s *Site) address(last, port int) string {
	return fmt.Sprintf("127.62.%d.%d:%d", s.block, last, port)
}

// OpenUnhosted starts a daemon with settings of its own, and neither a log nor a list of nodes, and waits
// until it answers callers. The returned function ends it.
func OpenUnhosted(bin string, l Limits) (*Site, func(), error) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return nil, nil, err
	}
	s := &Site{Limits: l, dir: dir, ended: make(chan struct{}), done: make(chan struct{})}
	s.cleanup = append(s.cleanup, func() { _ = os.RemoveAll(dir) })
	if err := s.startUnhosted(bin); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

func (s *Site) startUnhosted(bin string) error {
	guard, err := s.claimBlock()
	if err != nil {
		return err
	}
	s.cleanup = append(s.cleanup, func() { _ = guard.Close() })
	settings := fmt.Sprintf(`Node: n1
Domain: z0
Region: r
CallerAddress: %s
PeerAddress: %s
OperatorAddress: %s
Log: http://%s
VMList: http://%s
Limits:
  MemoryBytes: %d
  CallerConnections: %d
`, s.Address(CallerPort), s.Address(PeerPort), s.Address(MetricsPort), s.address(4, storePort), s.address(4, storePort), s.Limits.Bytes(), s.Limits.MaxFiles/2)
	path, err := s.writeSettings(settings)
	if err != nil {
		return err
	}
	if err := s.run(exec.Command(bin, "--settings", path)); err != nil {
		return err
	}
	go s.countFiles()
	return s.await(func() bool { return s.Answers() != 0 })
}

// Answers returns the status of the answer to a request of a path that the daemon does not know; zero if
// there is none.
func (s *Site) Answers() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return get(ctx, "http://"+s.Address(CallerPort)+"/unknown")
}

// sendHeartbeats renews the worker's entry until the site is closed.
func (s *Site) sendHeartbeats(store *metastore.Store, id string) {
	for {
		store.Put(metastore.UpstreamTopic, id, s.Worker.Entry())
		select {
		case <-time.After(heartbeatInterval):
		case <-s.done:
			return
		}
	}
}

// startDaemon writes the daemon's settings and starts it.
func (s *Site) startDaemon(bin string) error {
	settings := hostedsite.Node{
		Name: "n1", Domain: "z0", IP: fmt.Sprintf("127.62.%d.1", s.block), CallerPort: callerPort, ReadyPort: readyPort, AddressesPort: directoryPort, PeerPort: peerPort,
		BeatEvery: heartbeatInterval, MemoryMB: s.Limits.MemoryMB, MaxFiles: s.Limits.MaxFiles, RetryRatio: 0.2, RetrySlack: 40, Grace: 8 * time.Second,
		Store: s.address(2, storePort),
	}.Settings()
	path, err := s.writeSettings(settings)
	if err != nil {
		return err
	}
	cmd := exec.Command(bin, "--hosted")
	cmd.Env = append(os.Environ(), hostedsite.SettingsVariable+"="+path)
	return s.run(cmd)
}

// writeSettings writes the daemon's settings file.
func (s *Site) writeSettings(text string) (path string, err error) {
	path = filepath.Join(s.dir, "settings")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// run starts the daemon.
func (s *Site) run(cmd *exec.Cmd) error {
	out, err := os.Create(s.logPath())
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	s.cmd = cmd
	go func() {
		// How the process ends does not matter: Running says that it has.
		_ = cmd.Wait()
		close(s.ended)
	}()
	s.cleanup = append(s.cleanup, func() {
		// The process may have ended.
		_ = cmd.Process.Kill()
		<-s.ended
	})
	return nil
}

func (s *Site) logPath() string { return filepath.Join(s.dir, "daemon.log") }

// Log returns the daemon's output.
func (s *Site) Log() string {
	raw, err := os.ReadFile(s.logPath())
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// await waits until the daemon has started.
func (s *Site) await(started func() bool) error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if started() {
			return nil
		}
	}
	return &NotReadyError{Log: s.Log()}
}

// Ready reports whether the daemon's readiness check succeeds.
func (s *Site) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return get(ctx, hostedsite.ReadyURL(s.Address(ReadyPort))) == http.StatusOK
}

// get returns the status of a GET request on a new connection; zero if there is no response.
func get(ctx context.Context, url string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	return a.StatusCode
}

// Running reports whether the daemon's process has not ended.
func (s *Site) Running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// Port is a port of the daemon.
type Port int

// The ports of the daemon: for callers' requests, readiness checks, address queries, other nodes and
// scrapes.
const (
	CallerPort Port = iota
	ReadyPort
	DirectoryPort
	PeerPort
	MetricsPort
)

// Address returns the address of one of the daemon's ports.
func (s *Site) Address(p Port) string {
	return s.address(1, []int{callerPort, readyPort, directoryPort, peerPort, peerPort + 1}[p])
}

// close ends everything in reverse order.
func (s *Site) close() {
	close(s.done)
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
}
