package main

import (
	"cmp"
	"errors"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/operator"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/platform"
	"github.com/rs/zerolog"
)

const (
	// callerConnShare is the fraction of the process's memory limit for callers' connections, and
	// queryConnShare that for the connections of each port for readiness checks, address queries and
	// scrapes. connBytes is what a connection takes without the request that it carries: the stacks of
	// its goroutines and its buffers.
	callerConnShare = 0.15
	queryConnShare  = 0.01
	connBytes       = 16 << 10
	// minConns is the least limit on the connections of a port.
	minConns = 16
	// callerHeadShare is the fraction for heads of callers' requests in parsed form, and queryHeadShare
	// that for each other port.
	callerHeadShare = 0.075
	queryHeadShare  = 0.01
	// defaultHeaderBytes bounds the text of a head while the desired state, which names the operators'
	// limit, is not known, and maxHeaderBytes whatever it names.
	defaultHeaderBytes = 64 << 10
	maxHeaderBytes     = 1 << 20
	// callerFileShare is the fraction of the process's descriptors that callers' connections
	// may use, peerFileShare that of connections of other nodes, and queryFileShare that of each other
	// port. The others are for upstreams, peers and the store: a node that cannot open
	// these serves nobody.
	callerFileShare = 0.6
	peerFileShare   = 0.15
	queryFileShare  = 0.04
	// refusalLogInterval is the least time between two log lines on refusals for the same reason.
	refusalLogInterval = time.Second
)

// newAdmission returns the bounds on what clients of a port hold, without values yet.
func newAdmission(port string, log zerolog.Logger, metrics *operator.Metrics) *tcp.Admission {
	r := &refusals{port: port, log: log, metrics: metrics, lines: map[operator.Refusal]refusalLine{}}
	return &tcp.Admission{OnRefused: r.record}
}

// limitMemory sets the bounds of an admission that follow from the process's memory limit: connections
// and heads may take these fractions of it.
func limitMemory(a *tcp.Admission, memory int64, connShare, headShare float64) {
	a.SetConns(max(int(connShare*float64(memory)/connBytes), minConns))
	a.SetHeadMemory(int64(headShare * float64(memory)))
}

// admissions bounds what clients of each port of a hosted daemon hold.
type admissions struct {
	callers, ready, directory, metrics *tcp.Admission
}

// newAdmissions returns the bounds for a process with the memory limit of s.
func (h *hosted) newAdmissions(s platform.Settings) admissions {
	a := admissions{
		callers: newAdmission("caller", h.log, h.metrics), ready: newAdmission("ready", h.log, h.metrics),
		directory: newAdmission("directory", h.log, h.metrics), metrics: newAdmission("metrics", h.log, h.metrics),
	}
	a.limitMemory(s)
	a.limitClients(core.CallerLimits{})
	return a
}

// queries returns the admissions of all ports but that for callers' requests.
func (a admissions) queries() []*tcp.Admission {
	return []*tcp.Admission{a.ready, a.directory, a.metrics}
}

// limitMemory sets the bounds that follow from the process's memory limit.
func (a admissions) limitMemory(s platform.Settings) {
	limitMemory(a.callers, s.MemoryBytes, callerConnShare, callerHeadShare)
	for _, q := range a.queries() {
		limitMemory(q, s.MemoryBytes, queryConnShare, queryHeadShare)
	}
}

// limitClients sets the bounds that the operators' desired state names.
func (a admissions) limitClients(l core.CallerLimits) {
	for _, q := range append(a.queries(), a.callers) {
		q.SetHeadBytes(int64(cmp.Or(max(l.HeaderBytes, 0), defaultHeaderBytes)))
		q.SetPartTime(l.HeaderTimeout)
	}
}

// share returns a fraction of the process's descriptors, as a number of connections.
func share(files int, fraction float64) int { return max(int(fraction*float64(files)), 1) }

// refusals counts and logs what was refused to clients of a port. Logs have one line for each reason
// and refusalLogInterval.
type refusals struct {
	port    string
	log     zerolog.Logger
	metrics *operator.Metrics

	mu    sync.Mutex
	lines map[operator.Refusal]refusalLine
}

// refusalLine is when refusals for a reason were logged last, and their number since.
type refusalLine struct {
	at    time.Time
	count int
}

// record counts a refusal.
func (r *refusals) record(err error) {
	reason := refusalReason(err)
	r.metrics.ClientRefused(r.port, reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	line := r.lines[reason]
	line.count++
	if now := time.Now(); now.Sub(line.at) >= refusalLogInterval {
		r.log.Warn().Str("Event", "ClientRefused").Str("Port", r.port).Str("Reason", reason.String()).Int("Count", line.count).Err(err).Send()
		line = refusalLine{at: now}
	}
	r.lines[reason] = line
}

// refusalReason returns the reason of an error of package tcp.
func refusalReason(err error) operator.Refusal {
	var tooLong *tcp.HeadTooLongError
	var full *tcp.HeadsFullError
	switch {
	case errors.As(err, &tooLong):
		return operator.HeadTooLong
	case errors.As(err, &full):
		return operator.HeadsFull
	default:
		return operator.ClientSilent
	}
}
