// Package hosted runs real daemons on one machine as the platform would, against
// stand-ins of its store and upstreams, under injected faults, and judges what
// callers and upstreams see.
package hosted

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
	"daisyshed.dev/standin/metastore"
)

const (
	// nodes, readers, decoders and plains are the usual size of a run.
	nodes    = 4
	readers  = 2
	decoders = 4
	plains   = 3
	// beatEvery is the period at which upstreams renew their entries, and
	// lapseAfter how long the store keeps an entry without renewal.
	beatEvery  = 400 * time.Millisecond
	lapseAfter = 3 * beatEvery
	// The ports of a node; nodes differ in their loopback address.
	callerPort, readyPort, directoryPort, peerPort = 18149, 18141, 18143, 17380
	storePort, workerPort, guardPort, linkPort     = 18142, 18080, 18000, 18180
	// nets is the number of blocks of loopback addresses for runs.
	nets = 200
	host = "shop.example"
	// firstRatio is the ratio of the retry budget at a daemon's start.
	firstRatio = 0.2
	// Grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
)

// deployment is everything of one run.
type deployment struct {
	dir string
	net int
	bin string
	rng *rand.Rand
	// upstreamsOnly leaves nodes and store alone, so that times are judged too:
	// the platform's bounds hold for nodes in touch.
	upstreamsOnly bool
	store         *metastore.Store
	judge         *judge

	mu      sync.Mutex
	nodes   []*process
	workers map[string]*member
	// links are the nodes' links to the store.
	links   []*proxy
	last    int
	version int
	// closed is set once no process may be started any more.
	closed bool
	closes []func()
	done   chan struct{}
}

// member is a worker and how to end it.
type member struct {
	worker  *hostedworker.Worker
	link    *proxy
	service string
	stop    func()
	beats   chan struct{}
}

// process is one daemon.
type process struct {
	index int
	// ratio is the ratio of the retry budget in the daemon's settings.
	ratio float64
	cmd   *exec.Cmd
	ended chan struct{}
}

// open starts the stand-ins and the daemons of a run. The clean-up function ends
// them, by their ids.
func open(bin string, seed uint64) (*deployment, func(), error) {
	dir, err := os.MkdirTemp("", "hosted")
	if err != nil {
		return nil, nil, err
	}
	d := &deployment{
		dir: dir, bin: bin, net: int(seed % nets), rng: rand.New(rand.NewPCG(seed, 2)), upstreamsOnly: seed%3 == 0,
		store: &metastore.Store{Delay: 2 * time.Millisecond}, judge: newJudge(),
		workers: map[string]*member{}, done: make(chan struct{}),
	}
	if err := d.start(); err != nil {
		d.close()
		return nil, nil, err
	}
	return d, d.close, nil
}

func (d *deployment) start() error {
	if err := d.claimNet(); err != nil {
		return err
	}
	server := &http.Server{Addr: d.address(250, storePort), Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() {
		// The clean-up function ends it.
		_ = server.ListenAndServe()
	}()
	d.closes = append(d.closes, func() { _ = server.Close() })
	d.publish(false)
	for range readers {
		d.addWorker(hostedsite.ModelService, hostedworker.Prefill)
	}
	for range decoders {
		d.addWorker(hostedsite.ModelService, hostedworker.Decode)
	}
	for range plains {
		d.addWorker(hostedsite.PlainService, "")
	}
	for i := range nodes {
		link, closeLink, err := openProxy(d.address(240+i, storePort), d.address(250, storePort))
		if err != nil {
			return err
		}
		d.links = append(d.links, link)
		d.closes = append(d.closes, closeLink)
		d.nodes = append(d.nodes, &process{index: i, ratio: firstRatio})
		if err := d.startNode(d.nodes[i]); err != nil {
			return err
		}
	}
	return nil
}

// claimNet takes loopback addresses that no other run on this machine uses now,
// beginning with those of the seed.
func (d *deployment) claimNet() error {
	var err error
	for range nets {
		var l net.Listener
		if l, err = net.Listen("tcp", d.address(251, guardPort)); err == nil {
			d.closes = append(d.closes, func() { _ = l.Close() })
			return nil
		}
		d.net = (d.net + 1) % nets
	}
	return err
}

func (d *deployment) close() {
	close(d.done)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	for _, p := range d.nodes {
		d.kill(p)
	}
	d.mu.Lock()
	members := make([]*member, 0, len(d.workers))
	for _, m := range d.workers {
		members = append(members, m)
	}
	d.mu.Unlock()
	for _, m := range members {
		m.stop()
	}
	for _, c := range d.closes {
		c()
	}
	// What stays is in the system's folder for such files.
	_ = os.RemoveAll(d.dir)
}

// address returns a loopback address of this run.
func (d *deployment) address(last, port int) string {
	return fmt.Sprintf("127.21.%d.%d:%d", d.net, last, port)
}

// addWorker starts a worker under a new id and address.
func (d *deployment) addWorker(service, stage string) {
	d.mu.Lock()
	d.last++
	n := d.last
	d.mu.Unlock()
	id := fmt.Sprintf("i-%03d", n)
	w, stop, err := hostedworker.Start(hostedworker.Settings{
		ID: id, Service: service, Zone: fmt.Sprintf("z%d", n%2), Stage: stage,
		Slots: 6, Work: 10 * time.Millisecond, Events: 12, Memory: 4000, Advertised: d.address(100+n%100, linkPort+n/100),
	}, d.address(100+n%100, workerPort+n/100), d.judge.ran)
	if err != nil {
		d.judge.fault(fmt.Sprintf("worker %s did not start: %v", id, err))
		return
	}
	link, closeLink, err := openProxy(d.address(100+n%100, linkPort+n/100), d.address(100+n%100, workerPort+n/100))
	if err != nil {
		stop()
		d.judge.fault(fmt.Sprintf("the link to worker %s did not open: %v", id, err))
		return
	}
	m := &member{worker: w, link: link, service: service, beats: make(chan struct{}), stop: func() {
		stop()
		closeLink()
	}}
	d.mu.Lock()
	d.workers[id] = m
	d.mu.Unlock()
	go d.beat(id, m)
}

// beat renews a worker's entry until it ends.
func (d *deployment) beat(id string, m *member) {
	for {
		d.store.Put(metastore.UpstreamTopic, id, m.worker.Entry())
		select {
		case <-time.After(beatEvery):
		case <-m.beats:
			time.Sleep(lapseAfter)
			d.store.Put(metastore.UpstreamTopic, id, nil)
			return
		case <-d.done:
			return
		}
	}
}

// workerIDs returns the workers' ids in order. The caller holds the lock.
func (d *deployment) workerIDs() []string { return slices.Sorted(maps.Keys(d.workers)) }

// removeWorker ends a worker as a crash does; its entry lapses.
func (d *deployment) removeWorker(id string) {
	d.mu.Lock()
	m := d.workers[id]
	delete(d.workers, id)
	d.mu.Unlock()
	if m != nil {
		close(m.beats)
		m.stop()
	}
}

// publish writes a desired state; with extra it has one route more.
func (d *deployment) publish(extra bool) {
	d.version++
	raw, err := hostedsite.DesiredState(d.version, host, extra)
	if err != nil {
		d.judge.fault("the desired state did not encode: " + err.Error())
		return
	}
	d.store.Put(metastore.OperatorTopic, metastore.StateKey, raw)
}

// writeSettings writes a daemon's settings file.
func (d *deployment) writeSettings(p *process) (path string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := p.index + 1
	settings := hostedsite.Node{
		Name: fmt.Sprintf("n%d", n), Domain: fmt.Sprintf("z%d", n%2), IP: fmt.Sprintf("127.21.%d.%d", d.net, n),
		CallerPort: callerPort, ReadyPort: readyPort, AddressesPort: directoryPort, PeerPort: peerPort,
		BeatEvery: beatEvery, RetryRatio: p.ratio, Grace: grace, Store: d.address(240+p.index, storePort),
	}.Settings()
	path = filepath.Join(d.dir, fmt.Sprintf("n%d.toml", n))
	// Renamed into place, so that no daemon reads half a file.
	if err := os.WriteFile(path+".new", []byte(settings), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// startNode starts a daemon under its settings.
func (d *deployment) startNode(p *process) error {
	path, err := d.writeSettings(p)
	if err != nil {
		return err
	}
	n := p.index + 1
	out, err := os.OpenFile(filepath.Join(d.dir, fmt.Sprintf("n%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || p.running() {
		return nil
	}
	cmd := exec.Command(d.bin, "--hosted")
	cmd.Env = append(os.Environ(), hostedsite.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		// How it ended shows in its log and to its callers.
		_ = cmd.Wait()
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
	return nil
}

// running reports whether the daemon has been started and has not ended. Faults
// overlap, so two of them may want to start it again; a second process would be
// left over at the end and serve later runs at its addresses.
func (p *process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to a daemon.
func (d *deployment) signal(p *process, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// One that has ended already needs none.
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends a daemon at once and waits for its end.
func (d *deployment) kill(p *process) {
	d.signal(p, syscall.SIGKILL)
	d.wait(p)
}

func (d *deployment) wait(p *process) {
	d.mu.Lock()
	ended := p.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready reports whether a node says that it takes requests.
func (d *deployment) ready(index int) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	a, err := c.Get(hostedsite.ReadyURL(d.address(index+1, readyPort)))
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}
