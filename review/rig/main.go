// Command rig runs the review's cases: it starts daemons as separate processes against
// stand-ins of the platform's store, the workers and the clients, and judges by what these
// see.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig holds what all cases use.
type rig struct {
	bin     string
	dir     string
	trouble bool
	began   time.Time
	block   block
	store   *store
	nodes   []*node
	clients *clients

	mu     sync.Mutex
	runs   []run
	record *bufio.Writer
}

// cases are the cases by name.
var cases = map[string]func(*rig) (broken bool, err error){}

func main() { os.Exit(mainCode()) }

func mainCode() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DAEMON RECORD")
		return exitNotRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	bin, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitNotRun
	}
	g := &rig{bin: bin, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: newStore(), record: bufio.NewWriter(out)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		g.endAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](g)
	g.endAll()
	code := exitHeld
	switch {
	case err != nil:
		g.note("could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	g.note("exit %d", code)
	g.writeAttempts()
	_ = g.record.Flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	return code
}

// endAll ends all processes that the rig has started.
func (g *rig) endAll() {
	for _, n := range g.nodes {
		n.kill()
	}
}

// note writes a line to the record and to standard output.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	fmt.Fprintln(g.record, line)
}

// at returns a time as the record shows it.
func (g *rig) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(g.began).Seconds())
}

// addRun records a run of a worker.
func (g *rig) addRun(r run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, r)
}

// writeAttempts writes what was sent, answered and run.
func (g *rig) writeAttempts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clients == nil {
		return
	}
	g.clients.mu.Lock()
	defer g.clients.mu.Unlock()
	ran := map[string][]run{}
	for _, r := range g.runs {
		ran[r.attempt] = append(ran[r.attempt], r)
	}
	fmt.Fprintln(g.record, "\nattempt kind node sent answered status runs")
	for i := 1; i <= g.clients.last; i++ {
		a := g.clients.attempts[fmt.Sprintf("a%06d", i)]
		if a == nil {
			continue
		}
		fmt.Fprintf(g.record, "%s %s %s %s %s %d %s", a.id, a.kind, a.node, g.at(a.sentAt), g.at(a.answered), a.status, a.failure)
		for _, r := range ran[a.id] {
			fmt.Fprintf(g.record, " [%s %s]", r.worker, g.at(r.at))
		}
		fmt.Fprintln(g.record)
	}
}

// startNodes starts the nodes, each in a zone of its own, and waits until all are ready.
func (g *rig) startNodes(count int) error {
	var err error
	if g.block, err = freeBlock(count); err != nil {
		return err
	}
	for i := range count {
		n := &node{name: fmt.Sprintf("front-%d", i+1), zone: string(rune('a' + i%3)), ip: g.block.ip(10 + i), dir: g.dir}
		l, err := listen(g.block.ip(250))
		if err != nil {
			return err
		}
		n.storeAddress = l.Addr().String()
		g.store.listen(n.name, l)
		if err := n.start(g.bin, true); err != nil {
			return err
		}
		g.nodes = append(g.nodes, n)
	}
	g.clients = newClients(g.nodes)
	return g.waitReady(10 * time.Second)
}

// waitReady waits until all nodes are ready.
func (g *rig) waitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		ready := 0
		for _, n := range g.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(g.nodes) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("not all nodes were ready within %v", within)
}

// publish writes a desired state with two routes of a plain service.
func (g *rig) publish(version int, service string) {
	const state = `{"Version":%d,"Routes":[` +
		`{"Name":"r-pay","Host":"%s","PathPrefix":"/pay/","Kind":"non_idempotent","TimeoutMs":800,"SloMs":150,"Priority":2,"Service":"%s","MaxAttempts":1},` +
		`{"Name":"r-read","Host":"%s","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":800,"SloMs":150,"Priority":2,"Service":"%s","MaxAttempts":2}],` +
		`"Services":[{"Name":"%s","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],` +
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`
	g.store.put(topicOperator, "config", fmt.Appendf(nil, state, version, host, service, host, service, service))
}
