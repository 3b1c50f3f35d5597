package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"daisyshed.dev/platform"
	"github.com/matryer/is"
)

// freePorts returns ports that nothing listens on, in ascending order.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for port := 20000 + os.Getpid()%10000; len(ports) < n; port++ {
		l, err := net.Listen("tcp", address(port))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		ports = append(ports, port)
	}
	return ports
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// startHosted starts a hosted node without a store. Its settings name the ports of its
// listeners for callers, readiness checks, address queries, peers and metrics, in this
// order.
func startHosted(t *testing.T, ports []int) {
	is := is.New(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "daisyshed")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	settings := filepath.Join(dir, "settings.toml")
	is.NoErr(os.WriteFile(settings, fmt.Appendf(nil, `
NodeName = "n1"
Zone = "z1"
Region = "r1"
Ip = "127.0.0.1"
PortRange = [%d,%d]
HeartbeatMs = 1200
[Listen]
Front = "%s"
Ready = "%s"
Directory = "%s"
[Limits]
MemoryMb = 134
MaxFds = 200
[Bounds]
BudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 56
GraceS = 8
ConfigMs = 2000
DrainMs = 2000
LeaseMs = 3000
ttl_max_s = 5
[Platform]
Address = "127.0.0.1:9"
`, ports[3], ports[4], address(ports[0]), address(ports[1]), address(ports[2])), 0o600))
	node := exec.CommandContext(t.Context(), binary, "--hosted")
	node.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	is.NoErr(node.Start())
	t.Cleanup(func() {
		_ = node.Process.Kill()
		_ = node.Wait()
	})
	for range 100 {
		c, err := net.Dial("tcp", address(ports[4]))
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the node does not listen")
}

// A readiness check, query or scrape whose body trickles must not keep its connection: the
// number of connections is limited, and the platform's own checks would find none left.
func TestTricklingQueryIsClosed(t *testing.T) {
	ports := freePorts(t, 5)
	startHosted(t, ports)
	for path, port := range map[string]int{platform.ReadyPath: ports[1], platform.DirectoryPath: ports[2], "/metrics": ports[4]} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", address(port))
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			is.NoErr(err)
			go func() {
				for err := error(nil); err == nil; time.Sleep(50 * time.Millisecond) {
					_, err = io.WriteString(c, "1\r\nx\r\n")
				}
			}()
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer a.Body.Close()
			is.True(a.Close)
		})
	}
}
