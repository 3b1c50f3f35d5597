package hosted

import (
	"fmt"
	"net/http"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
)

// watchPause is the pause between two looks at the version that a node serves by.
const watchPause = 200 * time.Millisecond

// watchVersions watches, until the faults end, that no process goes back behind a version of the
// desired state by which it has served.
func (d *deployment) watchVersions() {
	for i := range d.nodes {
		d.watching.Go(func() { d.watchVersionsOf(i) })
	}
}

func (d *deployment) watchVersionsOf(index int) {
	for known, process := 0, 0; ; {
		select {
		case <-d.faultsEnded:
			return
		case <-time.After(watchPause):
		}
		if now := d.pid(index); now != process {
			known, process = 0, now
		}
		latest := int(d.published.Load())
		switch d.knows(index, latest) {
		case versionKnown:
			if d.pid(index) == process {
				known = max(known, latest)
			}
		case versionUnknown:
			dropped := known <= int(d.published.Load())-hostedsite.VersionRoutes
			if known > 0 && d.knows(index, known) == versionUnknown && !dropped && d.pid(index) == process {
				d.judge.reportViolation(fmt.Sprintf("CONFIG: n%d went back behind version %d", index+1, known))
				return
			}
		case versionNotTold:
		}
	}
}

// versionKnowledge is the result of a probe: whether a node has a version of the desired state.
type versionKnowledge int

const (
	versionNotTold versionKnowledge = iota
	versionKnown
	versionUnknown
)

// knows returns whether a node serves by a version or a later one.
func (d *deployment) knows(index, version int) versionKnowledge {
	status, own := d.probe(index, version)
	switch {
	case status == 0 || own && status == http.StatusServiceUnavailable:
		return versionNotTold
	case own && status == http.StatusNotFound:
		return versionUnknown
	default:
		return versionKnown
	}
}

// pid returns the process id of a node's daemon, or zero while it has none.
func (d *deployment) pid(index int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.nodes[index]
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// sentOrder is an order that has reached a worker, and the caller's address of the node that sent it.
type sentOrder struct {
	hostedworker.Order
	node string
}

// recordOrder records an order that has reached a worker.
func (d *deployment) recordOrder(o hostedworker.Order) {
	sent := sentOrder{Order: o}
	for i := range d.size.Nodes {
		if o.Holder == nodeName(i) {
			sent.node = d.nodeAddress(i, callerPort)
		}
	}
	d.judge.mu.Lock()
	defer d.judge.mu.Unlock()
	d.judge.orders[o.Worker] = append(d.judge.orders[o.Worker], sent)
}

// checkOrders returns the orders to one incarnation of a worker whose fencing number is lower than
// one before, or that of another holder. Those of holders that were away do not count.
func (j *judge) checkOrders() []string {
	var violations []string
	for worker, orders := range j.orders {
		highest := sentOrder{}
		for _, o := range orders {
			j.counts["orders"]++
			switch {
			case o.Born != highest.Born || o.Fence > highest.Fence:
				highest = o
			case j.harmed(o.node, o.At.Add(-contactTime), o.At, nodeFrozen, nodeCutOff):
			case o.Fence < highest.Fence:
				violations = append(violations, fmt.Sprintf("ONE: %s has an order of %s with number %d after one with %d", worker, o.Holder, o.Fence, highest.Fence))
			case o.Holder != highest.Holder:
				violations = append(violations, fmt.Sprintf("ONE: %s has orders of %s and %s with number %d", worker, highest.Holder, o.Holder, o.Fence))
			}
		}
	}
	return violations
}
