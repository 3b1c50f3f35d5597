package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/enginehttp"
	"daisyshed.dev/standin/ledger"
	"daisyshed.dev/standin/platform"
	"daisyshed.dev/standin/platformhttp"
	"daisyshed.dev/standin/weights"
	"daisyshed.dev/wire/settings"
	"daisyshed.dev/wire/vmlist"
)

// program holds the settings of one stand-in and runs it.
type program interface {
	// Check adds a fault to d for each missing or invalid value.
	Check(d *settings.Document)
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// describe adds the fields that identify this process to a log event.
	describe(e *zerolog.Event)
}

// engineProgram runs the stand-in for a model engine.
type engineProgram struct {
	ID      core.EngineID
	Pool    core.PoolID
	Address string
	// Role is Prefill or Decode.
	Role            string
	Seed            uint64
	WeightStore     string
	engine.Settings `yaml:",inline"`
}

func newEngineProgram() *engineProgram {
	return &engineProgram{Seed: 1, Settings: engine.DefaultSettings()}
}

// Check implements program.
func (p *engineProgram) Check(d *settings.Document) {
	reportMissing(d, map[string]string{"Address": p.Address, "ID": string(p.ID), "Model": string(p.Model)})
	if _, ok := engine.ParseRole(p.Role); !ok {
		d.AddFaultOnce("Role", "is not Prefill or Decode")
	}
	p.Settings.Check(d)
}

// Run serves until ctx ends.
func (p *engineProgram) Run(ctx context.Context) error {
	p.Settings.Role, _ = engine.ParseRole(p.Role)
	server := enginehttp.Server{
		Address:     p.Address,
		Settings:    p.Settings,
		Seed:        p.Seed,
		WeightStore: p.WeightStore,
	}
	return server.Run(ctx)
}

func (p *engineProgram) describe(e *zerolog.Event) {
	e.Str("ID", string(p.ID)).Str("Pool", string(p.Pool)).Str("Role", p.Role).Str("Address", p.Address)
}

// logProgram runs the stand-in for the platform's log.
type logProgram struct {
	Address          string
	Retention        time.Duration
	AppendsPerSecond float64
}

func newLogProgram() *logProgram {
	return &logProgram{Retention: time.Hour, AppendsPerSecond: 400}
}

// Check implements program.
func (p *logProgram) Check(d *settings.Document) {
	reportMissing(d, map[string]string{"Address": p.Address})
	if p.Retention <= 0 {
		d.AddFaultOnce("Retention", "is not positive")
	}
	if p.AppendsPerSecond < 0 {
		d.AddFaultOnce("AppendsPerSecond", "is negative")
	}
}

// Run serves until ctx ends.
func (p *logProgram) Run(ctx context.Context) error {
	l := &platform.Log{Retention: p.Retention, AppendsPerSecond: p.AppendsPerSecond}
	server := platformhttp.Log{Address: p.Address, Log: l}
	return server.Run(ctx)
}

func (p *logProgram) describe(e *zerolog.Event) { e.Str("Address", p.Address) }

// vmsProgram runs the stand-in for the platform's VM list.
type vmsProgram struct {
	Address string
	Lag     time.Duration
	VMs     []vmlist.VM
}

func newVMsProgram() *vmsProgram { return &vmsProgram{Lag: 2 * time.Second} }

// Check implements program.
func (p *vmsProgram) Check(d *settings.Document) {
	reportMissing(d, map[string]string{"Address": p.Address})
	for i, vm := range p.VMs {
		checkVM(d, i, vm)
	}
}

// Run serves until ctx ends.
func (p *vmsProgram) Run(ctx context.Context) error {
	server := platformhttp.VMs{Address: p.Address, VMs: &platform.VMs{Lag: p.Lag, Listed: p.VMs}}
	return server.Run(ctx)
}

func (p *vmsProgram) describe(e *zerolog.Event) {
	e.Str("Address", p.Address).Int("VMs", len(p.VMs))
}

// weightsProgram runs the stand-in for the weight store.
type weightsProgram struct {
	Address  string
	Models   []string
	Interval time.Duration
}

func newWeightsProgram() *weightsProgram { return &weightsProgram{Interval: time.Second} }

// Check implements program.
func (p *weightsProgram) Check(d *settings.Document) {
	reportMissing(d, map[string]string{"Address": p.Address})
}

// Run serves until ctx ends.
func (p *weightsProgram) Run(ctx context.Context) error {
	store := weights.Store{Address: p.Address, Models: p.Models, Interval: p.Interval}
	return store.Run(ctx)
}

func (p *weightsProgram) describe(e *zerolog.Event) { e.Str("Address", p.Address) }

// ledgerProgram runs the stand-in for a plain service.
type ledgerProgram struct{ Address string }

func newLedgerProgram() *ledgerProgram { return &ledgerProgram{} }

// Check implements program.
func (p *ledgerProgram) Check(d *settings.Document) {
	reportMissing(d, map[string]string{"Address": p.Address})
}

// Run serves until ctx ends.
func (p *ledgerProgram) Run(ctx context.Context) error {
	l := ledger.Ledger{Address: p.Address}
	return l.Run(ctx)
}

func (p *ledgerProgram) describe(e *zerolog.Event) { e.Str("Address", p.Address) }
