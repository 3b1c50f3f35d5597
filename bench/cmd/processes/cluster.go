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
	// startTimeout bounds the start of all processes and the publication.
	startTimeout = 20 * time.Second
	// retryEvery is the period at which a condition is looked at again.
	retryEvery = 50 * time.Millisecond
	// controlTimeout bounds one look at a process or one fault's injection.
	controlTimeout = 2 * time.Second
)

// startError says that the system did not come up.
type startError struct {
	Step  string
	Cause error
}

// Error names the step that failed.
func (e *startError) Error() string {
	if e.Cause == nil {
		return "start: " + e.Step
	}
	return "start: " + e.Step + ": " + e.Cause.Error()
}

// Unwrap returns the fault below.
func (e *startError) Unwrap() error { return e.Cause }

// cluster is all processes of one run.
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

// ports are the ports of each kind of listener. Processes of one kind differ
// in their loopback address.
type ports struct{ log, vms, ledger, engine, caller, peer, operator int }

// openCluster prepares the settings of all processes. The clean-up function
// kills whatever still runs and removes the directory.
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
	// What stays in the temporary directory does no harm.
	_ = os.RemoveAll(c.dir)
}

func (c *cluster) all() []*process {
	all := []*process{c.log, c.vms, c.ledger}
	all = append(all, c.engines...)
	return append(all, c.daemons...)
}

// choosePorts takes ports that are free on all addresses of the run.
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

// start starts all processes, waits until they serve and publishes.
func (c *cluster) start() error {
	for _, p := range c.all() {
		if err := p.start(); err != nil {
			return &startError{Step: p.name, Cause: err}
		}
	}
	for i, p := range c.daemons {
		url := "http://" + c.operatorAddress(i) + "/healthz"
		if !c.until(startTimeout, func() bool { return c.getJSON(url, nil) }) {
			return &startError{Step: p.name + " is not healthy"}
		}
	}
	if err := c.publish(); err != nil {
		return err
	}
	if !c.until(startTimeout, c.upstreamsKnown) {
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

// upstreamsKnown reports whether each upstream's owner can reach it.
func (c *cluster) upstreamsKnown() bool {
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

// getJSON reads an answer into v, which may be nil, and reports success.
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

// until repeats a condition until it holds or the time is over.
func (c *cluster) until(timeout time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(retryEvery)
	}
	return true
}

func join(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
