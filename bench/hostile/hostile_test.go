package hostile_test

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"daisyshed.dev/bench/hostile"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

// small is the machine of these tests: less memory than any deployment has, so that a small crowd
// shows what a large one does elsewhere. fewFiles has few descriptors as well.
var (
	small    = hostile.Limits{MemoryMB: 64, MaxFiles: 2400}
	fewFiles = hostile.Limits{MemoryMB: 64, MaxFiles: 600}
)

const (
	// crowd is the number of clients that send much, and many the number of those that send little.
	crowd, many = 150, 1200
	// playTime is how long a crowd stays.
	playTime = 4 * time.Second
	// allowedHead is MaxHeaderBytes of the desired state, excessiveHead the size of a head over it, and
	// commonHead that of most requests.
	allowedHead, excessiveHead, commonHead = 16 << 10, 30 << 10, 300
)

// build builds the daemon's program and returns its path.
func build(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "daisyshed")
	if out, err := exec.Command("go", "build", "-o", bin, "../../daisyshed").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// open starts a site on a machine.
func open(t *testing.T, l hostile.Limits) *hostile.Site {
	if testing.Short() {
		t.Skip("a crowd takes a while")
	}
	s, closeSite, err := hostile.Open(build(t), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeSite)
	return s
}

// check checks that the process lives within its limits.
func check(t *testing.T, s *hostile.Site) {
	t.Helper()
	is := is.New(t)
	memory, files := s.PeakMemory(), s.PeakFiles()
	t.Logf("peak memory %.1f MB of %d, %d descriptors of %d", float64(memory)/1e6, s.Limits.MemoryMB, files, s.Limits.MaxFiles)
	is.True(s.Running())
	is.True(memory > 0 && memory <= s.Limits.Bytes())
	is.True(files <= s.Limits.MaxFiles)
}

// playCrowds has crowds connect to a site of its own, and checks the process and that an ordinary
// request is answered after them; with beside, also while their connections are open.
func playCrowds(t *testing.T, l hostile.Limits, fault hostedworker.Fault, beside bool, crowds ...hostile.Crowd) {
	is := is.New(t)
	s := open(t, l)
	s.Worker.SetFault(fault, 1)
	s.Play(playTime, func() {
		if beside {
			is.Equal(s.Ordinary(0), http.StatusOK)
			is.True(s.Ready())
		}
	}, crowds...)
	s.Worker.SetFault(hostedworker.NoFault, 0)
	is.Equal(s.Ordinary(0), http.StatusOK)
	is.True(s.Ready())
	check(t, s)
}

// A crowd of clients sends heads, bodies and trailers that cost the process many times their bytes, or
// connections that hold little each. The process must stay within its machine's memory, and serve
// ordinary callers after the crowd and beside those of its clients that wait.
func TestCrowdLeavesTheProcessAlive(t *testing.T) {
	for _, c := range []struct {
		name    string
		clients int
		client  hostile.Client
		beside  bool
	}{
		{"requests without a pause", crowd, hostile.WholeHeads{Bytes: commonHead}, true},
		{"whole heads inside the limit", crowd, hostile.WholeHeads{Bytes: allowedHead}, false},
		{"whole heads over the limit", crowd, hostile.WholeHeads{Bytes: excessiveHead}, false},
		{"bodies that do not come", crowd, hostile.SlowBody{Bytes: allowedHead}, true},
		{"heads of short fields without end", crowd, hostile.EndlessHead{Fields: true}, false},
		{"heads of a long field without end", crowd, hostile.EndlessHead{}, false},
		{"empty lines without end", crowd, hostile.EmptyLines{}, false},
		{"heads that stop inside the limit", crowd, hostile.UnfinishedHead{Bytes: allowedHead, Fields: true}, true},
		{"trailers", crowd, hostile.Trailers{}, false},
		{"answers that are not read", crowd, hostile.Unread{Bytes: allowedHead}, true},
		{"many heads that stop early", many, hostile.UnfinishedHead{Bytes: 3 << 10, Fields: true}, true},
		{"many small bodies that do not come", many, hostile.SlowBody{Bytes: 2 << 10}, true},
		{"many silent connections", many, hostile.Silent{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			playCrowds(t, small, hostedworker.NoFault, c.beside, hostile.Crowd{Clients: c.clients, Client: c.client})
		})
	}
}

// The same at the ports that callers' requests do not use. They share the process's memory and
// descriptors with those.
func TestCrowdAtOtherPortLeavesTheProcessAlive(t *testing.T) {
	for _, port := range otherPorts {
		t.Run(port.name, func(t *testing.T) {
			for _, c := range []struct {
				name    string
				clients int
				client  hostile.Client
			}{
				{"whole heads", crowd, hostile.WholeHeads{Bytes: excessiveHead}},
				{"many heads that stop early", many, hostile.UnfinishedHead{Bytes: 3 << 10, Fields: true}},
			} {
				t.Run(c.name, func(t *testing.T) {
					playCrowds(t, small, hostedworker.NoFault, true, hostile.Crowd{Clients: c.clients, Client: c.client, Port: port.port})
				})
			}
		})
	}
}

// otherPorts are the ports that callers' requests do not use.
var otherPorts = []struct {
	name string
	port hostile.Port
}{
	{"readiness", hostile.ReadyPort},
	{"directory", hostile.DirectoryPort},
	{"peers", hostile.PeerPort},
	{"metrics", hostile.MetricsPort},
}

// Silent connections at all ports together take more descriptors than the process has, unless the
// ports share them out.
func TestCrowdsAtAllPortsLeaveDescriptors(t *testing.T) {
	crowds := []hostile.Crowd{{Clients: 400, Client: hostile.Silent{}}}
	for _, port := range otherPorts {
		crowds = append(crowds, hostile.Crowd{Clients: 200, Client: hostile.Silent{}, Port: port.port})
	}
	playCrowds(t, fewFiles, hostedworker.NoFault, true, crowds...)
}

// Workers send what costs the process many times its bytes too, to a crowd of ordinary requests.
func TestFaultyWorkerLeavesTheProcessAlive(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault hostedworker.Fault
	}{
		{"heads of short fields", hostedworker.ManyHeaders},
		{"heads of short fields without end", hostedworker.EndlessHeaders},
		{"no answers", hostedworker.Hang},
	} {
		t.Run(c.name, func(t *testing.T) {
			playCrowds(t, small, c.fault, false, hostile.Crowd{Clients: crowd, Client: hostile.WholeHeads{Bytes: commonHead}})
		})
	}
}

// A single request whose head is as large, and has as many fields, as the desired state allows is
// served.
func TestLargestHeadIsServedInCalm(t *testing.T) {
	is := is.New(t)
	s := open(t, small)
	for range 3 {
		is.Equal(s.Ordinary(allowedHead), http.StatusOK)
	}
	check(t, s)
}

// A daemon with settings of its own shares the cause.
func TestCrowdLeavesAnUnhostedProcessAlive(t *testing.T) {
	if testing.Short() {
		t.Skip("a crowd takes a while")
	}
	for _, c := range []struct {
		name    string
		clients int
		client  hostile.Client
	}{
		{"whole heads", crowd, hostile.WholeHeads{Bytes: allowedHead}},
		{"many heads that stop early", many, hostile.UnfinishedHead{Bytes: 3 << 10, Fields: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, closeSite, err := hostile.OpenUnhosted(build(t), small)
			is.NoErr(err)
			defer closeSite()
			s.Play(playTime, func() {}, hostile.Crowd{Clients: c.clients, Client: c.client})
			is.Equal(s.Answers(), http.StatusNotFound)
			check(t, s)
		})
	}
}
