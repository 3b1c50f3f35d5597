package hosted

import (
	"fmt"
	"net/http"
	"time"

	"daisyshed.dev/standin/hostedsite"
)

const (
	// stateBound is the time within which a version of the desired state has to be in
	// force on every node.
	stateBound = 2 * time.Second
	// slowLinkBytes is how many bytes the store sends every second node in a second.
	slowLinkBytes = 1_250_000
	// maxAddedRoutes bounds the routes that a large state adds. The state then takes longer
	// over a slow link than the store may take to begin an answer.
	maxAddedRoutes = 4000
	// waitingRead is after which time without bytes a connection to the store is taken for
	// a read that waits for a change.
	waitingRead = time.Second
	// probeLimit bounds a probe. latestProbes is how many probes in a row, with a pause
	// between them, a node has to fail.
	probeLimit   = time.Second
	latestProbes = 5
	probePause   = 100 * time.Millisecond
)

// changeSizeOfState changes the desired state to one of up to thousands of routes.
func (d *deployment) changeSizeOfState() {
	d.addedRoutes = d.rng.IntN(maxAddedRoutes + 1)
	d.changeStateInSeries()
}

// changeStateWhileReadsHang lets the waiting reads of most nodes hang, and changes the
// desired state.
func (d *deployment) changeStateWhileReadsHang() {
	for _, l := range d.links[d.rng.IntN(2):] {
		l.hangWaiting(waitingRead)
	}
	d.changeState()
}

// checkInForce checks that every node has a version of the desired state in time. No node,
// and no link to the store, may have a fault meanwhile other than reads that hang. A version
// whose route later ones have dropped is covered by their checks.
func (d *deployment) checkInForce(version int) {
	if !d.waitForBound(time.Now()) {
		return
	}
	for i := range d.nodes {
		go func() {
			status, own := d.probe(i, version)
			dropped := int64(version) <= d.published.Load()-hostedsite.VersionRoutes
			if own && status == http.StatusNotFound && !dropped {
				d.judge.reportViolation(fmt.Sprintf("CONFIG: n%d does not know version %d after %v", i+1, version, stateBound))
			}
		}()
	}
}

// waitForBound waits until the bound has passed since a version was published and since
// connections were last silenced. It returns false if the run ends before.
func (d *deployment) waitForBound(published time.Time) bool {
	for {
		from := published
		if silenced := time.Unix(0, d.silencedAt.Load()); silenced.After(from) {
			from = silenced
		}
		left := time.Until(from.Add(stateBound))
		if left <= 0 {
			return true
		}
		select {
		case <-time.After(left):
		case <-d.done:
			return false
		}
	}
}

// checkLatestInForce checks that every node serves by the latest version once all faults
// have ended. A node also answers 503 when a worker has rejected a probe; one that lacks the
// version answers so each time.
func (d *deployment) checkLatestInForce() {
	for i := range d.nodes {
		served := false
		status, own := 0, false
		for range latestProbes {
			status, own = d.probe(i, d.version)
			if served = !own || status != http.StatusNotFound && status != http.StatusServiceUnavailable; served {
				break
			}
			time.Sleep(probePause)
		}
		if !served {
			d.judge.reportViolation(fmt.Sprintf("CONFIG: n%d answers %d by an older version than %d", i+1, status, d.version))
		}
	}
}

// probe sends a request to a node on the route of a version. It returns the status, or zero
// without an answer, and whether the answer is the node's own, without a worker's signature.
// A worker's answer shows that the node knows the route.
func (d *deployment) probe(index, version int) (status int, own bool) {
	c := http.Client{Timeout: probeLimit}
	defer c.CloseIdleConnections()
	number := d.probes.Add(1)
	r, err := probeRequest(d.nodeAddress(index, callerPort), version, number)
	if err != nil {
		return 0, false
	}
	m := message{id: requestID(fmt.Sprintf("probe-%d-%d-%d", version, index, number)), deadline: time.Now().Add(probeLimit), public: true}
	attempt := fmt.Sprintf("%s-%d", m.id, time.Now().UnixNano())
	d.judge.recordAttempt(m, attempt, d.nodeAddress(index, callerPort))
	hostedsite.SetAttemptHeaders(r.Header, attempt, probeLimit)
	hostedsite.SetKey(r.Header, "")
	a, err := c.Do(r)
	if err != nil {
		d.judge.recordEnding(attempt, left, false)
		return 0, false
	}
	defer a.Body.Close()
	d.judge.recordStatus(attempt, a.StatusCode)
	d.judge.recordEnding(attempt, answered, true)
	return a.StatusCode, hostedsite.Signature(a.Header) == ""
}

// probeRequest returns the probe with the given number of a node. Each is another request: one that
// comes again, and was on several workers when they ended, is blocked for minutes.
func probeRequest(address string, version int, number int64) (*http.Request, error) {
	target := fmt.Sprintf("http://%s/%s/probe?Number=%d", address, hostedsite.VersionRoute(version), number)
	r, err := http.NewRequest(http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	r.Host = host
	return r, nil
}
