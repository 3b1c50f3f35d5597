// Package hostedsite generates the platform's inputs that need no server: nodes'
// settings files, the operators' desired state and callers' requests. This package
// and the other stand-ins of the platform contain all wire names of the platform
// that the bench needs.
package hostedsite

import (
	"cmp"
	"fmt"
	"time"
)

// SettingsVariable is the environment variable that contains the path of a node's
// settings file.
const SettingsVariable = "DAISYSHED_SETTINGS"

// Node holds the values of one node's settings file.
type Node struct {
	Name, Domain, IP string
	// CallerPort, ReadyPort and AddressesPort are the ports for callers' requests,
	// readiness checks and requests for addresses. PeerPort and the port after it
	// are for the node's own use.
	CallerPort, ReadyPort, AddressesPort, PeerPort int
	// BeatEvery is the interval at which upstreams renew their entries in the store.
	BeatEvery time.Duration
	// MemoryMB is the process's memory limit in megabytes. A process that exceeds it is
	// killed.
	MemoryMB int
	// MaxFiles is the process's limit of descriptors; zero for defaultMaxFiles.
	MaxFiles int
	// RetryRatio is the retry budget's ratio of retries to requests, and RetrySlack the
	// number of retries that it allows besides.
	RetryRatio float64
	RetrySlack int
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Store is the address of the platform's metadata store.
	Store string
}

// defaultMaxFiles is the limit of descriptors of a node that sets none.
const defaultMaxFiles = 1000

// Settings returns the content of the node's settings file, in TOML.
func (n Node) Settings() string {
	return fmt.Sprintf(`NodeName = "%s"
Zone = "%s"
Region = "r"
Ip = "%s"
PortRange = [%d,%d]
Seeds = []
HeartbeatMs = %d
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Directory = "%s:%d"
[Limits]
MemoryMb = %d
MaxFds = %d
[Bounds]
BudgetRatio = %g
BudgetWindowS = 10
RetrySlack = %d
GraceS = %d
ConfigMs = 2000
DrainMs = 2000
LeaseMs = 3000
ttl_max_s = 5
[Platform]
Address = "%s"
`, n.Name, n.Domain, n.IP, n.PeerPort, n.PeerPort+1, n.BeatEvery.Milliseconds(), n.IP, n.CallerPort, n.IP, n.ReadyPort,
		n.IP, n.AddressesPort, n.MemoryMB, cmp.Or(n.MaxFiles, defaultMaxFiles), n.RetryRatio, n.RetrySlack, int(n.Grace.Seconds()), n.Store)
}
