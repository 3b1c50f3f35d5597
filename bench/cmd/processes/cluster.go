package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"daisyshed.dev/core"
)

const (
	// startTimeout bounds each step of the start, each run of daisyctl, and the
	// retries when a fault is injected.
	startTimeout = 20 * time.Second
	// pollInterval is the polling interval of waitUntil.
	pollInterval = 50 * time.Millisecond
	// controlTimeout bounds one request that reads a process's state or injects a
	// fault.
	controlTimeout = 2 * time.Second
)

// startError reports that the processes of a run could not be started.
type startError struct {
	Step  string
	Cause error
}

// Error names the failed step and its cause.
func (e *startError) Error() string {
	if e.Cause == nil {
		return "start: " + e.Step
	}
	return "start: " + e.Step + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *startError) Unwrap() error { return e.Cause }

// cluster holds all processes of one run.
type cluster struct {
	opts    options
	dir     string
	http    *http.Client
	ports   ports
	log     *process
	vms     *process
	ledger  *process
	engines []*process
	daemons []*process
}

// ports holds one port for each kind of listener. Processes of the same kind
// share the port and differ in their loopback address.
type ports struct{ log, vms, ledger, engine, caller, peer, operator int }

// openCluster writes the settings of all processes without starting them. The
// returned function kills the processes that still run and removes the
// directory.
func openCluster(opts options) (*cluster, func(), error) {
	dir, err := os.MkdirTemp("", "daisyshed-processes-")
	if err != nil {
		return nil, nil, err
	}
	c := &cluster{
		opts: opts,
		dir:  dir,
		http: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if opts.Keep != "" {
		if err := os.MkdirAll(opts.Keep, 0o700); err != nil {
			return nil, nil, err
		}
	}
	if err := c.choosePorts(); err != nil {
		return nil, nil, err
	}
	if err := c.writeSettings(); err != nil {
		return nil, nil, err
	}
	return c, c.close, nil
}

func (c *cluster) close() {
	for _, p := range c.all() {
		p.kill()
	}
	// Files left over in the temporary directory do no harm.
	_ = os.RemoveAll(c.dir)
}

func (c *cluster) all() []*process {
	all := []*process{c.log, c.vms, c.ledger}
	all = append(all, c.engines...)
	return append(all, c.daemons...)
}

// choosePorts chooses ports that are free on platformHost. The listeners stay
// open until all are chosen, so that the ports differ.
func (c *cluster) choosePorts() error {
	for _, port := range []*int{
		&c.ports.log, &c.ports.vms, &c.ports.ledger, &c.ports.engine, &c.ports.caller, &c.ports.peer, &c.ports.operator,
	} {
		l, err := net.Listen("tcp", platformHost+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// start starts all processes, waits until the daemons are healthy, publishes the
// configuration and waits until every upstream is reachable.
func (c *cluster) start() error {
	for _, p := range c.all() {
		if err := p.start(); err != nil {
			return &startError{Step: p.name, Cause: err}
		}
	}
	for i, p := range c.daemons {
		url := "http://" + c.operatorAddress(i) + "/healthz"
		if !c.waitUntil(startTimeout, func() bool { return c.getJSON(url, nil) }) {
			return &startError{Step: p.name + " is not healthy"}
		}
	}
	if err := c.publish(); err != nil {
		return err
	}
	if !c.waitUntil(startTimeout, c.upstreamsReachable) {
		return &startError{Step: "the upstreams are not known"}
	}
	return nil
}

// publish publishes the pools and profiles with daisyctl.
func (c *cluster) publish() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(c.opts.Bin, "daisyctl"),
		"--settings", filepath.Join(c.dir, "daisyctl.yaml"), "profile", "publish",
		filepath.Join(c.opts.Profiles, "pools.yaml"), filepath.Join(c.opts.Profiles, "profiles.yaml"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return &startError{Step: "publish: " + string(out), Cause: err}
	}
	return nil
}

// upstreamsReachable reports whether as many upstreams as there are engines can
// be reached by the daemons that own them.
func (c *cluster) upstreamsReachable() bool {
	reachable := map[core.EngineID]bool{}
	for i := range c.daemons {
		s, ok := c.status(i)
		if !ok {
			return false
		}
		for _, u := range s.Upstreams {
			if u.Owned && u.Reachable {
				reachable[u.Upstream.ID] = true
			}
		}
	}
	return len(reachable) == len(c.engines)
}

func (c *cluster) status(daemon int) (core.Status, bool) {
	var s core.Status
	ok := c.getJSON("http://"+c.operatorAddress(daemon)+"/v1/status", &s)
	return s, ok
}

// getJSON gets url and decodes the response into v, unless v is nil. It reports
// whether both succeeded.
func (c *cluster) getJSON(url string, v any) bool {
	resp, err := c.http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return v == nil || json.NewDecoder(resp.Body).Decode(v) == nil
}

// waitUntil polls a condition until it is true or the timeout has passed, and
// reports whether it became true.
func (c *cluster) waitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
