package scenario

import (
	"time"

	"daisyshed.dev/core"
)

// Fault is the sealed set of things that go wrong during a run. Times are
// parts of the measured window, from 0 to 1.
type Fault interface{ isFault() }

// DomainLoss ends all nodes and engines of a failure domain. They come back
// empty.
type DomainLoss struct {
	Domain      core.DomainID
	From, Until float64
}

// Withdrawal takes pools back for good.
type Withdrawal struct {
	Pools []core.PoolID
	At    float64
}

// NodeChurn kills one node after another; each comes back as a new process.
type NodeChurn struct {
	Every time.Duration
	Down  time.Duration
}

func (DomainLoss) isFault() {}
func (Withdrawal) isFault() {}
func (NodeChurn) isFault()  {}
