package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"daisyshed.dev/core"
)

// flushTimeout bounds the end of answers that are being written when the node
// has finished.
const flushTimeout = 2 * time.Second

// run serves until the node has finished or is cut short, and returns the exit
// code.
func (d *daemon) run() int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	finished := d.start(ctx)
	d.log.Info().Str("Event", "Started").Send()
	logTLS(d.log, d.tls)
	select {
	case <-signals:
		return d.leave(signals, finished)
	case <-finished:
		return d.stopped(exitOK)
	case err := <-d.failed:
		d.log.Error().Str("Event", "Failed").Err(err).Send()
		return d.stopped(exitFailure)
	}
}

// start begins all work; the channel is closed once the node has finished.
func (d *daemon) start(ctx context.Context) <-chan struct{} {
	finished := make(chan struct{})
	go func() {
		if d.loop.Run(ctx) {
			close(finished)
		}
	}()
	if seeds := d.settings.SeedList(); len(seeds.Nodes) > 0 {
		d.inbox.Send(seeds)
	}
	go d.operators.Run(ctx)
	go d.serve(func() error { return d.peers.Serve(d.listeners.peer) })
	go d.serve(func() error { return d.servers[0].Serve(d.listeners.caller) })
	go d.serve(func() error { return d.servers[1].Serve(secured(d.listeners.operator, d.tls)) })
	return finished
}

// serve runs one listener's loop and notes its failure.
func (d *daemon) serve(loop func() error) {
	err := loop()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.failed <- err
	}
}

// leave asks the node to finish and waits for it, for a bounded time.
func (d *daemon) leave(signals <-chan os.Signal, finished <-chan struct{}) int {
	d.log.Info().Str("Event", "Leaving").Send()
	go d.inbox.Send(core.Shutdown{})
	bound := time.NewTimer(d.settings.Periods.ShutdownTimeout)
	defer bound.Stop()
	select {
	case <-finished:
		d.flush()
		return d.stopped(exitOK)
	case <-signals:
		return d.stopped(exitCutShort)
	case <-bound.C:
		return d.stopped(exitCutShort)
	}
}

// flush lets answers that are being written end.
func (d *daemon) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := d.servers[0].Shutdown(ctx); err != nil {
		d.noteFault(err)
	}
}

func (d *daemon) stopped(code int) int {
	d.log.Info().Str("Event", "Stopped").Int("ExitCode", code).Send()
	return code
}
