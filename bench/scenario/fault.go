package scenario

import (
	"time"

	"daisyshed.dev/core"
)

// Fault is the sealed set of faults that a scenario injects into a run. Times
// of type float64 are fractions of the measured window, from 0 to 1.
type Fault interface{ isFault() }

// DomainLoss stops all nodes and engines of a failure domain from From until
// Until. They restart with empty memory.
type DomainLoss struct {
	Domain      core.DomainID
	From, Until float64
}

// Withdrawal withdraws pools at the time At, for the rest of the run.
type Withdrawal struct {
	Pools []core.PoolID
	At    float64
}

// NodeChurn kills one node after another at intervals of Every. Each restarts
// with a new incarnation after Down.
type NodeChurn struct {
	Every time.Duration
	Down  time.Duration
}

func (DomainLoss) isFault() {}
func (Withdrawal) isFault() {}
func (NodeChurn) isFault()  {}
