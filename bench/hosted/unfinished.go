package hosted

import (
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
)

const (
	// shortGrace is shorter than callers wait, so that a stop cannot wait for all requests.
	shortGrace = 4 * time.Second
	// unfinishedAttempt is the only attempt of the request.
	unfinishedAttempt = "unfinished.1"
	// sendAfterStop is how long after SIGTERM the request is sent.
	sendAfterStop = 300 * time.Millisecond
)

// StopWithUnfinishedRequest stops a node while an upstream that never answers holds a
// caller's request, and returns what the caller gets: a status, or how its connection
// ended.
func StopWithUnfinishedRequest(bin string, seed uint64) (string, error) {
	d, closeDeployment, err := open(bin, seed, Size{Nodes: 1, Callers: 1}, shortGrace)
	if err != nil {
		return "", err
	}
	defer closeDeployment()
	if !d.allReady(startTimeout) {
		return "", &NotReadyError{Seed: seed, Logs: d.dir}
	}
	for _, w := range d.workers {
		w.worker.SetFault(hostedworker.Hang, 1)
	}
	conn, err := dialNode(d.nodeAddress(0, callerPort))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	d.stop(d.nodes[0])
	time.Sleep(sendAfterStop)
	m := message{id: "unfinished", kind: hostedsite.NonIdempotent, body: []byte("x"), deadline: time.Now().Add(2 * patience), key: d.keys.key(validKey, d.rng)}
	r, err := m.encode(unfinishedAttempt)
	if err != nil {
		return "", err
	}
	d.judge.recordAttempt(m, unfinishedAttempt, conn.address)
	a, err := conn.do(r, m.deadline)
	if err != nil {
		return err.Error(), nil
	}
	defer a.Body.Close()
	return a.Status, nil
}
