package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
	"daisyshed.dev/daisyshed/directory"
	"daisyshed.dev/daisyshed/ingress"
	"daisyshed.dev/daisyshed/operator"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/daisyshed/store"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

const (
	// memoryShare is the part of the process's memory that Go's collector
	// keeps to; the rest is for stacks, sockets and what the kernel holds.
	memoryShare = 0.7
	// hostedInbox bounds the messages that wait for the control goroutine.
	hostedInbox = 4096
	// hostedDial bounds the making of a connection, to upstreams and peers. A
	// dead machine does not answer, so this is what it costs to notice.
	hostedDial = 400 * time.Millisecond
	// storeTimeout bounds a call to the store beyond the wait asked for. An
	// answer takes a few milliseconds; a slow store takes fifty times as long.
	storeTimeout = 700 * time.Millisecond
	// peerIdle is how long a connection to a peer stays open unused.
	peerIdle = time.Minute
	// peerQueue bounds the messages that wait for one peer.
	peerQueue = 64
	// peerWrite bounds the writing of one message to a peer.
	peerWrite = 500 * time.Millisecond
	// hostedHeaderBytes bounds headers before the desired state is known.
	hostedHeaderBytes = 64 << 10
	// hostedHeaderTime bounds the reading of headers, and hostedIdle is how
	// long a caller's unused connection stays open. Both lie beyond what
	// operators set, so that callers within the limits are never cut off.
	hostedHeaderTime = 10 * time.Second
	hostedIdle       = 5 * time.Minute
	// killMargin is the time before SIGKILL at which a stopping node ends.
	killMargin = 300 * time.Millisecond
	// sweepEvery is the period at which unused upstream connections are closed.
	sweepEvery = time.Second
	// hostedDecisions bounds the decisions kept for operators' questions.
	hostedDecisions = 256
)

// hosted is a daemon on the platform.
type hosted struct {
	settings platform.Settings
	// raw is the settings file as it was last read, and unread says that the
	// last try failed.
	raw       []byte
	without   core.Set[core.Mechanism]
	unread    bool
	log       zerolog.Logger
	metrics   *operator.Metrics
	inbox     *control.Inbox
	loop      *control.Loop
	operators *operator.Server
	peers     *peer.Transport
	ingress   *ingress.Server
	directory *directory.Server
	upstreams *upstream.Client
	watcher   *store.Watcher
	front     *http.Server
	failed    chan error
	// closeCallers is closed once a leaving node takes no more connections.
	closeCallers chan struct{}
}

// runHosted runs the daemon on the platform and returns the exit code.
func runHosted(check bool, without core.Set[core.Mechanism]) int {
	path := os.Getenv(platform.SettingsVariable)
	raw, err := os.ReadFile(path)
	if err != nil {
		return fail(&platform.SettingsError{File: path, Cause: err})
	}
	s, err := platform.ParseSettings(path, raw)
	if err != nil {
		return fail(err)
	}
	if check {
		fmt.Println(path + ": no faults")
		return exitOK
	}
	limitMemory(s)
	h, closeHosted := openHosted(s, raw, without)
	defer closeHosted()
	return h.run(path)
}

// openHosted builds everything that one process holds. The clean-up function
// closes it.
func openHosted(s platform.Settings, raw []byte, without core.Set[core.Mechanism]) (*hosted, func()) {
	started := time.Now()
	h := &hosted{settings: s, raw: raw, without: without, failed: make(chan error, 8), closeCallers: make(chan struct{})}
	writer, closeWriter := operator.OpenWriter(os.Stdout, func(n int) { h.metrics.LinesDropped(n) })
	h.log = zerolog.New(writer).With().Timestamp().Str("Node", string(s.Node)).Logger()
	metrics, closeMetrics := operator.OpenMetrics(func(err error) { h.log.Warn().Str("Event", "Fault").Err(err).Send() })
	h.metrics = metrics
	inbox, closeInbox := control.OpenInbox(hostedInbox)
	h.inbox = inbox
	h.build(core.Incarnation(started.UnixNano()), control.BootClock())
	return h, func() {
		closeInbox()
		h.peers.Close()
		h.upstreams.Close()
		closeMetrics()
		closeWriter()
	}
}

func (h *hosted) self() core.NodeInfo {
	s := h.settings
	return core.NodeInfo{
		ID: s.Node, Domain: s.Domain, Region: s.Region, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
	}
}

func (h *hosted) build(incarnation core.Incarnation, clock func() core.Instant) {
	s := h.settings
	h.upstreams = &upstream.Client{DialTimeout: hostedDial}
	h.ingress = &ingress.Server{Upstreams: h.upstreams, Send: h.inbox.Send, Log: h.log, Meter: h.metrics, Node: s.Node}
	h.directory = &directory.Server{Send: h.inbox.Send}
	h.peers = h.transport(incarnation)
	h.operators = &operator.Server{
		Log: h.log, Metrics: h.metrics, Decisions: operator.NewDecisions(hostedDecisions),
		Send: h.inbox.Send, StatusEvery: time.Second, WatchEvery: time.Second, WriteTimeout: peerWrite,
	}
	h.watcher = &store.Watcher{
		Store: &platform.Store{
			Address: s.Store, Timeout: storeTimeout,
			HTTP: &http.Client{Transport: &http.Transport{
				DialContext:        (&net.Dialer{Timeout: hostedDial}).DialContext,
				DisableCompression: true, MaxIdleConnsPerHost: 4,
			}},
		},
		Send: h.take, Log: h.log, Self: h.self(),
		StateDelay: s.Bounds.StateDelay,
	}
	settings := bounds(s).Apply(core.DefaultSettings())
	h.loop = &control.Loop{
		Node: &core.Node{
			Self: h.self(), Incarnation: incarnation, Seed: uint64(incarnation), Settings: settings, Hosted: true, Without: h.without,
		},
		Inbox: h.inbox, Clock: clock, Observer: h.metrics,
		Executor: control.Executor{
			Callers: h.directory, Peers: h.peers, Operators: h.operators, Forwards: h.ingress,
			VMs: noList{}, Log: noLog{}, Host: host{h},
		},
	}
	h.front = h.server(h.ingress)
	h.front.MaxHeaderBytes = hostedHeaderBytes
}

// host carries out what the core asks of the runtime.
type host struct{ *hosted }

// Claim asks the store for the right to give orders.
func (h host) Claim(c core.ClaimOrders) { h.watcher.Claim(c) }

// Adopt decodes a desired state that came from a peer. It does not block.
func (h host) Adopt(c core.AdoptState) {
	go func() {
		d, err := platform.DecodeDesired(c.Record, c.Offset)
		if err != nil {
			h.log.Error().Str("Event", "Unreadable").Int64("Offset", int64(c.Offset)).Err(err).Send()
			return
		}
		h.log.Info().Str("Event", "Adopted").Int64("Version", d.Version).Send()
		h.take(d)
	}()
}

// ReadInstances reads the upstreams' entries. It does not block.
func (h host) ReadInstances(c core.ReadInstances) { h.watcher.ReadInstances(c) }

// Ready makes the node count as ready.
func (h host) Ready() { h.directory.SetReady() }

// CloseCallers lets the leaving node close to callers.
func (h host) CloseCallers() { close(h.closeCallers) }

// noList and noLog stand for the VM list and the log of unhosted deployments.
type (
	noList struct{}
	noLog  struct{}
)

func (noList) Read()                {}
func (noLog) Append(core.AppendLog) {}
func (noLog) Read(core.ReadLog)     {}

// take passes a message from the store to the core, and its limits to the
// servers.
func (h *hosted) take(m core.Message) {
	if d, ok := m.(core.DesiredState); ok {
		h.ingress.LimitBodies(d.Limits.BodyBytes)
	}
	h.inbox.Send(m)
}

func (h *hosted) transport(incarnation core.Incarnation) *peer.Transport {
	return &peer.Transport{
		Self: h.settings.Node, Incarnation: incarnation, Send: h.inbox.Send, Meter: h.metrics,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
		Limits: peer.Limits{Queue: peerQueue, DialTimeout: hostedDial, WriteTimeout: peerWrite, IdleTimeout: peerIdle},
	}
}

func (h *hosted) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: hostedHeaderTime, IdleTimeout: hostedIdle,
		ErrorLog: operator.HTTPErrors(h.log),
	}
}

// run serves until the platform stops the process, and returns the exit code.
func (h *hosted) run(path string) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.loop.Run(ctx)
	if err := h.listen(ctx); err != nil {
		h.log.Error().Str("Event", "Failed").Err(err).Send()
		return fail(err)
	}
	go h.watcher.Run(ctx)
	go h.sweep(ctx)
	h.log.Info().Str("Event", "Started").Send()
	changes := time.NewTicker(settingsEvery)
	defer changes.Stop()
	for {
		select {
		case <-changes.C:
			h.look(path, false)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				h.look(path, true)
				continue
			}
			return h.leave()
		case err := <-h.failed:
			h.log.Error().Str("Event", "Failed").Err(err).Send()
			return exitFailure
		}
	}
}

// listen opens all sockets and serves on them.
func (h *hosted) listen(ctx context.Context) error {
	s := h.settings
	peers, err := tcp.Listen(s.PeerAddress, s.MaxFiles)
	if err != nil {
		return oops.In("daisyshed").With("Node", s.Node).Wrap(err)
	}
	go h.note(func() error { return h.peers.Serve(peers) })
	go h.operators.Run(ctx)
	places := []struct {
		address string
		server  *http.Server
	}{
		{s.CallerAddress, h.front},
		{s.ReadyAddress, h.server(h.directory.Ready())},
		{s.DirectoryAddress, h.server(h.directory.Addresses())},
		{s.MetricsAddress, h.server(h.operators.Handler())},
	}
	for _, p := range places {
		l, err := tcp.Listen(p.address, s.MaxFiles)
		if err != nil {
			return oops.In("daisyshed").With("Node", s.Node).Wrap(err)
		}
		go h.note(func() error { return p.server.Serve(l) })
	}
	return nil
}

func (h *hosted) note(loop func() error) {
	if err := loop(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		h.failed <- err
	}
}

// sweep closes upstream connections that are too old to be used again.
func (h *hosted) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.upstreams.Sweep()
		}
	}
}

// leave stops taking work, finishes what is running and returns the exit code.
func (h *hosted) leave() int {
	began := time.Now()
	h.log.Info().Str("Event", "Leaving").Int("Requests", h.ingress.Live()).Send()
	h.directory.Leave()
	h.ingress.Leave()
	h.inbox.Send(core.Shutdown{})
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(h.settings.Bounds.Grace-killMargin))
	defer cancel()
	select {
	case <-h.closeCallers:
		h.log.Info().Str("Event", "ClosedToCallers").Int("Requests", h.ingress.Live()).Send()
	case <-ctx.Done():
	}
	err := h.front.Shutdown(ctx)
	h.log.Info().Str("Event", "Stopped").Int("Requests", h.ingress.Live()).Err(err).Send()
	if err != nil {
		return exitCutShort
	}
	return exitOK
}
