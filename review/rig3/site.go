package main

import (
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
	"sync/atomic"
	"syscall"
	"time"
)

// site is a small deployment on loopback addresses: the store, the workers of a plain service, and the
// daemons with the command of the deploy file.
type site struct {
	dir     string
	block   int
	store   store
	host    string
	nodes   []*node
	workers []*worker
	record  *os.File
	mu      sync.Mutex
	stop    chan struct{}
	// starting is held while a process starts, and for good once the run is abandoned.
	starting sync.Mutex
	routes   []map[string]any
}

// node is one daemon.
type node struct {
	name, ip, zone string
	cmd            *exec.Cmd
	ended          chan struct{}
	exit           error
}

func (n *node) front() string     { return n.ip + ":18149" }
func (n *node) ready() string     { return n.ip + ":18141" }
func (n *node) directory() string { return n.ip + ":18143" }

// worker is a sound worker of a plain service.
type worker struct {
	id, address, zone string
	slots             chan struct{}
	queued            atomic.Int32
	work              time.Duration
	born              int64
	runs              atomic.Int64
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// newSite claims a block of loopback addresses by listening for the store.
func newSite(record string) (*site, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, host: "ficu95.example", record: f, stop: make(chan struct{})}
	for s.block = 1; s.block < 200; s.block++ {
		var l net.Listener
		if l, err = net.Listen("tcp", s.ip(7)+":18142"); err == nil {
			go func() { _ = http.Serve(l, &s.store) }()
			return s, nil
		}
	}
	return nil, err
}

func (s *site) ip(last int) string { return fmt.Sprintf("127.73.%d.%d", s.block, last) }

// addWorker starts a worker and renews its entry until the site is closed.
func (s *site) addWorker(i int, zone string, slots int, work time.Duration) error {
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), address: s.ip(100+i) + ":8080", zone: zone,
		slots: make(chan struct{}, slots), work: work, born: time.Now().UnixMilli(),
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	go func() { _ = http.Serve(l, w) }()
	go func() {
		for n := 1; ; n++ {
			entry, _ := json.Marshal(map[string]any{
				"Service": "xano55b", "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": slots, "State": "ready",
				"ColdLeftMs": 0, "SeqNo": n, "born": w.born,
			})
			s.store.put("keyed.servers", w.id, entry)
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-s.stop:
				return
			}
		}
	}()
	return nil
}

// ServeHTTP runs a request in a slot, or rejects it if the queue is full.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Instance-Id", w.id)
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		rw.Header().Set("Attempt-Id", attempt)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") || r.URL.Path == "/health" {
		writeJSON(rw, http.StatusOK, map[string]any{"born": w.born})
		return
	}
	if attempt == "" || int(w.queued.Add(1)) > 2*cap(w.slots) {
		w.queued.Add(-1)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.queued.Add(-1)
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.runs.Add(1)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = rw.Write(make([]byte, 800))
}

// putState writes the desired state.
func (s *site) putState(version int) {
	state, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes":  s.routes,
		"Services": []map[string]any{
			{"Name": "xano55b", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.store.put("keyed.op", "config", state)
}

// settings are those of DEPLOY.md, with loopback addresses.
func (s *site) settings(n *node, zone string) string {
	return fmt.Sprintf(`NodeName = "%s"
Role = "router"
MachineClass = "front"
Serves = ["front","directory"]
Ip = "%s"
Zone = "%s"
Region = "prairie-west"
PortRange = [17380,17395]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[Zones]
prairie-west-a = "prairie-west"
prairie-west-b = "prairie-west"
prairie-west-c = "prairie-west"
[Listen]
Front = "%s"
Ready = "%s"
Directory = "%s"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 134
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
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
Address = "%s:18142"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
`, n.name, n.ip, zone, n.front(), n.ready(), n.directory(), s.ip(7))
}

// addNode adds a daemon and starts it.
func (s *site) addNode(i int, zone string) error {
	n := &node{name: "front-" + zone + "-" + strconv.Itoa(i), ip: s.ip(10 + i), zone: zone}
	s.nodes = append(s.nodes, n)
	return s.startNode(n)
}

// startNode starts a daemon with the command of the deploy file.
func (s *site) startNode(n *node) error {
	path := filepath.Join(s.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(n, n.zone)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	s.starting.Lock()
	defer s.starting.Unlock()
	n.cmd = exec.Command("target/daisyshed", "--hosted")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAISYSHED_SETTINGS=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		n.exit = cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

// kill ends a daemon's process.
func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady(within time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	until := time.Now().Add(within)
	for _, n := range s.nodes {
		for {
			a, err := client.Get("http://" + n.ready() + "/-/ready")
			if err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) || !n.running() {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// memory returns fields of a process's status, in bytes.
func (n *node) memory(field string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// abandon kills all processes and removes the temporary folder, because the run was interrupted.
func (s *site) abandon() {
	s.starting.Lock()
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
		}
	}
	_ = os.RemoveAll(s.dir)
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	close(s.stop)
	for _, n := range s.nodes {
		if n.running() {
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.After(9 * time.Second)
	for _, n := range s.nodes {
		select {
		case <-n.ended:
		case <-deadline:
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}
