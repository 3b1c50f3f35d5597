// Package hostedsite stands in for the parts of the platform that are written and
// not served: nodes' settings, the operators' desired state and callers' requests.
// Its wire names stand here alone, beside the other stand-ins of the platform.
package hostedsite

import (
	"fmt"
	"time"
)

// SettingsVariable names the environment variable with a node's settings file.
const SettingsVariable = "DAISYSHED_SETTINGS"

// Node is what a settings file says of one node.
type Node struct {
	Name, Domain, IP string
	// CallerPort, ReadyPort and AddressesPort are where it serves callers, checks of
	// readiness and questions for addresses. Two ports from PeerPort on are its own.
	CallerPort, ReadyPort, AddressesPort, PeerPort int
	// BeatEvery is the period at which upstreams renew their entries.
	BeatEvery time.Duration
	// RetryRatio is the ratio of the retry budget.
	RetryRatio float64
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Store is the address of the platform's store.
	Store string
}

// Settings returns the content of the node's settings file.
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
MemoryMb = 150
MaxFds = 1000
[Bounds]
BudgetRatio = %g
BudgetWindowS = 10
RetrySlack = 40
GraceS = %d
ConfigMs = 2000
DrainMs = 2000
LeaseMs = 3000
ttl_max_s = 5
[Platform]
Address = "%s"
`, n.Name, n.Domain, n.IP, n.PeerPort, n.PeerPort+1, n.BeatEvery.Milliseconds(), n.IP, n.CallerPort, n.IP, n.ReadyPort,
		n.IP, n.AddressesPort, n.RetryRatio, int(n.Grace.Seconds()), n.Store)
}
