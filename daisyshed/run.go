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
	"daisyshed.dev/daisyshed/httpserver"
)

// responseTimeout bounds how long responses that are still being written may
// take once the core has finished its shutdown.
const responseTimeout = 2 * time.Second

// run serves until the node has shut down, gracefully or not, or a listener
// fails, and returns the exit code.
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
		return d.shutDown(signals, finished)
	case <-finished:
		return d.logStopped(exitOK)
	case err := <-d.serveErrors:
		d.log.Error().Str("Event", "Failed").Err(err).Send()
		return d.logStopped(exitFailure)
	}
}

// start starts the control loop and all servers. The returned channel is closed
// when the core has finished its shutdown.
func (d *daemon) start(ctx context.Context) <-chan struct{} {
	finished := make(chan struct{})
	go func() {
		if d.loop.Run(ctx) {
			close(finished)
		}
	}()
	if seeds := d.settings.InitialVMList(); len(seeds.Nodes) > 0 {
		d.inbox.Send(seeds)
	}
	go d.operators.Run(ctx)
	go d.serve(func() error { return d.peers.Serve(d.listeners.peer) })
	go d.serve(func() error { return d.servers[0].Serve(d.listeners.caller) })
	go d.serve(func() error { return d.servers[1].Serve(withTLS(d.listeners.operator, d.tls)) })
	return finished
}

// serve runs a listener's accept loop and reports its error to run, unless the
// listener was closed.
func (d *daemon) serve(acceptLoop func() error) {
	err := acceptLoop()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.serveErrors <- err
	}
}

// shutDown shuts the node down gracefully and returns the exit code. It gives up
// at a second signal or after Periods.ShutdownTimeout.
func (d *daemon) shutDown(signals <-chan os.Signal, finished <-chan struct{}) int {
	d.log.Info().Str("Event", "Leaving").Send()
	go d.inbox.Send(core.Shutdown{})
	timeout := time.NewTimer(d.settings.Periods.ShutdownTimeout)
	defer timeout.Stop()
	select {
	case <-finished:
		d.awaitResponses()
		return d.logStopped(exitOK)
	case <-signals:
		return d.logStopped(exitIncomplete)
	case <-timeout.C:
		return d.logStopped(exitIncomplete)
	}
}

// awaitResponses waits until responses to callers that are being written have
// ended, for at most responseTimeout.
func (d *daemon) awaitResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	if err := httpserver.Stop(ctx, d.listeners.caller); err != nil {
		d.logFault(err)
	}
}

// logStopped logs the exit code and returns it.
func (d *daemon) logStopped(code int) int {
	d.log.Info().Str("Event", "Stopped").Int("ExitCode", code).Send()
	return code
}
