package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The ports of a node. Nodes of one run differ in their loopback address.
const (
	portFront, portReady, portDirectory, portFirst, portLast = 28149, 28141, 28143, 27380, 27395
)

// maxDescriptors is MaxFds of the settings.
const maxDescriptors = 4100

// node is one machine of the system with its process.
type node struct {
	name, zone, ip string
	storeAddress   string
	dir            string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// settings returns the settings file of a node of a small deployment.
func (n *node) settings(bootstrap bool) string {
	return fmt.Sprintf(`NodeName = "%s"
Role = "router"
MachineClass = "front"
Serves = ["front","directory"]
Ip = "%s"
Zone = "%s"
Region = "r"
PortRange = [%d,%d]
Seeds = []
Bootstrap = %t
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Directory = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 134
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
Address = "%s"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
keep_s = 300
`, n.name, n.ip, n.zone, portFirst, portLast, bootstrap, n.ip, portFront, n.ip, portReady, n.ip, portDirectory, maxDescriptors, n.storeAddress)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start(bin string, bootstrap bool) error {
	file := filepath.Join(n.dir, n.name+".toml")
	if err := os.WriteFile(file, []byte(n.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The platform limits a process's descriptors.
	n.cmd = exec.Command("/bin/bash", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" --hosted`, maxDescriptors), bin)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DAISYSHED_SETTINGS=" + file}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the node's process at once.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// ready asks the node whether it is ready, as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.address(portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// block is a block of loopback addresses that nothing else uses.
type block struct{ a, b int }

func (b block) ip(host int) string { return fmt.Sprintf("127.%d.%d.%d", b.a, b.b, host) }

// freeBlock returns a block whose ports of nodes are free.
func freeBlock(nodes int) (block, error) {
	for range 50 {
		b := block{a: 40 + rand.IntN(180), b: 1 + rand.IntN(250)}
		if b.free(nodes) {
			return b, nil
		}
	}
	return block{}, errors.New("no free loopback addresses")
}

func (b block) free(nodes int) bool {
	for i := range nodes {
		for _, port := range []int{portFront, portReady, portDirectory, portFirst, portFirst + 1, portLast} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.ip(10+i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// listen opens a listener on a free port of an address.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }
