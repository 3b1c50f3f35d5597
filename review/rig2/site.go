package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
	"daisyshed.dev/standin/metastore"
)

const (
	host        = "garden.example"
	beatEvery   = 400 * time.Millisecond
	memoryMB    = 134
	maxFiles    = 4100
	graceTime   = 8 * time.Second
	restartTime = 500 * time.Millisecond
	// The ports of a node; nodes differ in their loopback address.
	frontPort, readyPort, directoryPort, peerPort = 28149, 28141, 28143, 27380
	storePort, workerPort                         = 28142, 28080
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment on loopback addresses: the store, workers and daemons.
type site struct {
	record *recorder
	block  int
	dir    string
	store  *metastore.Store
	nodes  []*node
	done   chan struct{}

	mu   sync.Mutex
	runs map[string]int // runs of each attempt
	ends []func()
	once sync.Once
}

// node is a daemon, which the stand-in of the platform restarts when it has ended.
type node struct {
	site     *site
	index    int
	settings string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	starts   int
	// overLimit counts the processes that exceeded their memory, and exits those that ended by
	// themselves.
	overLimit, exits int
	// dark is how long the machine is without power when its process has ended.
	dark time.Duration
	peak int64
}

// sites are the open ones, which endSites closes if the program is stopped.
var (
	sitesMu sync.Mutex
	sites   []*site
)

func endSites() {
	sitesMu.Lock()
	defer sitesMu.Unlock()
	for _, s := range sites {
		s.close()
	}
}

// openSite starts the store, plain workers and the daemons.
func openSite(r *recorder, nodes, workers int, timeout, objective time.Duration) (*site, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, store: &metastore.Store{Delay: 4 * time.Millisecond}, done: make(chan struct{}), runs: map[string]int{}}
	s.ends = append(s.ends, func() { _ = os.RemoveAll(dir) })
	sitesMu.Lock()
	sites = append(sites, s)
	sitesMu.Unlock()
	if err := s.start(nodes, workers, timeout, objective); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(nodes, workers int, timeout, objective time.Duration) error {
	l, err := s.claimBlock()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	s.ends = append(s.ends, func() { _ = server.Close() })
	state, err := desiredState(timeout, objective)
	if err != nil {
		return err
	}
	s.store.Put("keyed.op", "config", state)
	for i := range workers {
		_, err := s.startWorker(i, hostedworker.Settings{Service: hostedsite.PlainService, Slots: 6, Work: 15 * time.Millisecond})
		if err != nil {
			return err
		}
	}
	for i := range nodes {
		if err := s.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// desiredState returns the desired state of the project's stand-in with another SloMs.
func desiredState(timeout, objective time.Duration) ([]byte, error) {
	raw, err := hostedsite.State{Version: 1, Host: host, Timeout: timeout}.Encode()
	if err != nil {
		return nil, err
	}
	var state map[string]any
	if err := json.Unmarshal(raw, &state); err != nil {
		return nil, err
	}
	routes, _ := state["Routes"].([]any)
	for _, r := range routes {
		if route, ok := r.(map[string]any); ok {
			route["SloMs"] = objective.Milliseconds()
		}
	}
	return json.Marshal(state)
}

// startNode starts the next daemon.
func (s *site) startNode(i int) error {
	n := &node{site: s, index: i}
	s.nodes = append(s.nodes, n)
	return n.start()
}

// claimBlock finds a block of loopback addresses on which the store's port is free.
func (s *site) claimBlock() (net.Listener, error) {
	var err error
	for block := 1; block < 200; block++ {
		s.block = block
		var l net.Listener
		if l, err = net.Listen("tcp", s.address(250, storePort)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func (s *site) ip(last int) string { return fmt.Sprintf("127.61.%d.%d", s.block, last) }

func (s *site) address(last, port int) string {
	return net.JoinHostPort(s.ip(last), strconv.Itoa(port))
}

// worker is a running worker.
type worker struct {
	site      *site
	id, stage string
	*hostedworker.Worker
	left chan struct{}
	stop func()
}

// startWorker starts the worker with a number, and its check-ins.
func (s *site) startWorker(i int, settings hostedworker.Settings) (*worker, error) {
	settings.ID, settings.Zone = fmt.Sprintf("i-%03d", i+1), zone(i)
	started, stop, err := hostedworker.Start(settings, s.address(100+i, workerPort), s.recordRun)
	if err != nil {
		return nil, err
	}
	w := &worker{site: s, id: settings.ID, stage: settings.Stage, Worker: started, left: make(chan struct{}), stop: sync.OnceFunc(stop)}
	s.ends = append(s.ends, w.stop)
	go w.checkIn()
	return w, nil
}

// checkIn writes the worker's entry until the worker has left.
func (w *worker) checkIn() {
	for {
		w.site.store.Put(metastore.UpstreamTopic, w.id, w.Entry())
		select {
		case <-time.After(beatEvery):
		case <-w.left:
			w.site.store.Put(metastore.UpstreamTopic, w.id, nil)
			return
		case <-w.site.done:
			return
		}
	}
}

// leave ends a worker that has drained.
func (w *worker) leave() {
	w.stop()
	close(w.left)
}

func (s *site) recordRun(r hostedworker.Run) {
	s.mu.Lock()
	s.runs[r.Attempt]++
	s.mu.Unlock()
}

func zone(i int) string { return "prairie-west-" + string(rune('a'+i%3)) }

// close ends everything that the site has started.
func (s *site) close() {
	s.once.Do(func() {
		close(s.done)
		for _, n := range s.nodes {
			n.kill()
		}
		for i := len(s.ends) - 1; i >= 0; i-- {
			s.ends[i]()
		}
	})
}

// start starts the daemon with the command of the deploy file.
func (n *node) start() error {
	s := n.site
	ip := s.ip(n.index + 1)
	n.settings = filepath.Join(s.dir, fmt.Sprintf("n%d.toml", n.index+1))
	text := fmt.Sprintf(`NodeName = "front-%s-%d"
Role = "router"
MachineClass = "front"
Serves = ["front","directory"]
Ip = "%s"
Zone = "%s"
Region = "prairie-west"
PortRange = [%d,%d]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = %d
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Directory = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = %d
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = %d
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 56
RecoverS = 12
TransitMs = 120
RetryAfterS = 4.7
EnforceFencing = false
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
[Platform]
Address = "%s"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
AppendMs = 4.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
TtlMinMs = 1000
`, zone(n.index), n.index+1, ip, zone(n.index), peerPort, peerPort+15, beatEvery.Milliseconds(), ip, frontPort, ip, readyPort, ip, directoryPort,
		memoryMB, maxFiles, int(graceTime.Seconds()), s.address(250, storePort))
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return n.run()
}

// run starts a process, which is restarted when it ends.
func (n *node) run() error {
	s := n.site
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("n%d.log", n.index+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil
	}
	cmd := exec.Command("target/daisyshed", "--hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", hostedsite.SettingsVariable + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.starts++
	s.record.printf("platform: %s started, process %d of this machine", n.name(), n.starts)
	go n.watch(cmd)
	return nil
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.index+1) }

// watch kills a process that exceeds its memory, as the platform does, and restarts one that has
// ended.
func (n *node) watch(cmd *exec.Cmd) {
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	over := false
	for {
		select {
		case err := <-ended:
			n.mu.Lock()
			stopping, dark := n.stopping, n.dark
			if n.dark = 0; !stopping && !over && dark == 0 {
				n.exits++
			}
			n.mu.Unlock()
			if stopping {
				return
			}
			n.site.record.printf("platform: %s ended: %v", n.name(), err)
			time.Sleep(max(restartTime, dark))
			if err := n.run(); err != nil {
				n.site.record.printf("platform: %s was not started again: %v", n.name(), err)
			}
			return
		case <-time.After(20 * time.Millisecond):
			used := residentMemory(cmd.Process.Pid)
			n.mu.Lock()
			n.peak = max(n.peak, used)
			if used > memoryMB*1_000_000 && !over {
				over = true
				n.overLimit++
				n.site.record.printf("platform: %s holds %.1f MB, over its %d MB: killed", n.name(), float64(used)/1e6, memoryMB)
				_ = cmd.Process.Signal(syscall.SIGKILL)
			}
			n.mu.Unlock()
		}
	}
}

// residentMemory returns the resident memory of a process in bytes; zero if it has ended.
func residentMemory(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb * 1024
		}
	}
	return 0
}

// losePower kills the present process. The next one starts after a time.
func (n *node) losePower(dark time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark = dark
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
	}
}

func (n *node) kill() {
	n.mu.Lock()
	n.stopping = true
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
}

func (n *node) front() string { return n.site.address(n.index+1, frontPort) }

// ready reports whether the node answers the platform's readiness check.
func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, hostedsite.ReadyURL(n.site.address(n.index+1, readyPort)), nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// allReady waits until all nodes are ready.
func (s *site) allReady(within time.Duration) bool {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		count := 0
		for _, n := range s.nodes {
			if n.ready() {
				count++
			}
		}
		if count == len(s.nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
