package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	platformHost = "127.0.1.1"
	domains      = "abc"
)

type engineSpec struct{ id, role, pool string }

var engineSpecs = []engineSpec{
	{"prefill-a", "Prefill", "scribe-prefill"},
	{"prefill-b", "Prefill", "scribe-prefill"},
	{"decode-a", "Decode", "scribe-decode"},
	{"decode-b", "Decode", "scribe-decode"},
	{"decode-c", "Decode", "lent-decode"},
}

func domain(i int) string { return "prairie-west-" + string(domains[i%len(domains)]) }

func engineHost(i int) string { return fmt.Sprintf("127.0.1.%d", 21+i) }

func daemonHost(i int) string { return fmt.Sprintf("127.0.1.%d", 41+i) }

func daemonID(i int) string { return fmt.Sprintf("entry-%d", i) }

func (c *cluster) logAddress() string { return hostPort(platformHost, c.ports.log) }

func (c *cluster) vmsAddress() string { return hostPort(platformHost, c.ports.vms) }

func (c *cluster) ledgerAddress() string { return hostPort(platformHost, c.ports.ledger) }

func (c *cluster) engineAddress(i int) string { return hostPort(engineHost(i), c.ports.engine) }

func (c *cluster) callerAddress(i int) string { return hostPort(daemonHost(i), c.ports.caller) }

func (c *cluster) operatorAddress(i int) string { return hostPort(daemonHost(i), c.ports.operator) }

// writeSettings writes the settings of all processes and creates the cluster's
// processes without starting them.
func (c *cluster) writeSettings() error {
	files := map[string]string{
		"log":      fmt.Sprintf("Address: %s\nRetention: 1h\nAppendsPerSecond: 400\n", c.logAddress()),
		"vms":      c.vmSettings(),
		"ledger":   fmt.Sprintf("Address: %s\n", c.ledgerAddress()),
		"daisyctl": c.daisyctlSettings(),
	}
	c.log = c.standin("log", "log")
	c.vms = c.standin("vms", "vms")
	c.ledger = c.standin("ledger", "ledger")
	for i, e := range engineSpecs {
		files[e.id] = fmt.Sprintf("ID: %s\nPool: %s\nAddress: %s\nRole: %s\nModel: plot-scribe-1\nFenced: true\n"+
			"ReportLag: 200ms\nEventLag: 200ms\n", e.id, e.pool, c.engineAddress(i), e.role)
		c.engines = append(c.engines, c.standin(e.id, "engine"))
	}
	for i := range c.opts.Daemons {
		files[daemonID(i)] = c.daemonSettings(i)
		c.daemons = append(c.daemons, c.process(daemonID(i), "daisyshed"))
	}
	for name, text := range files {
		if err := os.WriteFile(c.settingsFile(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) settingsFile(name string) string { return filepath.Join(c.dir, name+".yaml") }

func (c *cluster) standin(name, kind string) *process { return c.process(name, "standin", kind) }

func (c *cluster) process(name, program string, args ...string) *process {
	logs := c.dir
	if c.opts.Keep != "" {
		logs = c.opts.Keep
	}
	return &process{
		name:    name,
		program: filepath.Join(c.opts.Bin, program),
		args:    append(args, "--settings", c.settingsFile(name)),
		logDir:  logs,
	}
}

func (c *cluster) daemonSettings(i int) string {
	host := daemonHost(i)
	return fmt.Sprintf("Node: %s\nDomain: %s\nRegion: prairie-west\nCallerAddress: %s\nPeerAddress: %s\n"+
		"OperatorAddress: %s\nLog: http://%s\nVMList: http://%s\n",
		daemonID(i), domain(i), hostPort(host, c.ports.caller), hostPort(host, c.ports.peer),
		hostPort(host, c.ports.operator), c.logAddress(), c.vmsAddress())
}

func (c *cluster) daisyctlSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Log: http://%s\nOperator: soak\nDaemons:\n", c.logAddress())
	for i := range c.opts.Daemons {
		fmt.Fprintf(&b, "  - http://%s\n", c.operatorAddress(i))
	}
	return b.String()
}

func (c *cluster) vmSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Address: %s\nLag: 200ms\nVMs:\n", c.vmsAddress())
	for i := range c.opts.Daemons {
		writeVM(&b, daemonID(i), "Entry", "", domain(i), hostPort(daemonHost(i), c.ports.peer))
		fmt.Fprintf(&b, "    CallerAddress: %s\n", c.callerAddress(i))
	}
	for i, e := range engineSpecs {
		writeVM(&b, e.id, "Engine", e.pool, domain(i), c.engineAddress(i))
	}
	writeVM(&b, "ledger-a", "Service", "plot-ledger", domain(0), c.ledgerAddress())
	return b.String()
}

func writeVM(b *strings.Builder, id, kind, pool, domain, address string) {
	fmt.Fprintf(b, "  - ID: %s\n    Kind: %s\n    Domain: %s\n    Region: prairie-west\n    Address: %s\n    State: Live\n",
		id, kind, domain, address)
	if pool != "" {
		fmt.Fprintf(b, "    Pool: %s\n", pool)
	}
}
