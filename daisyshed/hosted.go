package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
	"daisyshed.dev/daisyshed/directory"
	"daisyshed.dev/daisyshed/httpserver"
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
	// memoryShare is the fraction of the process's memory limit that the Go
	// runtime gets as its own limit. The rest is for stacks, sockets and kernel
	// memory.
	memoryShare = 0.7
	// bodyShare is the fraction of the process's memory limit that the bodies of callers'
	// requests may hold. Garbage, buffers of connections and answers need the rest.
	bodyShare = 0.25
	// responseShare is the same for heads, events and buffered bodies of responses.
	responseShare = 0.06
	// hostedInboxSize is the size of the control goroutine's inbox, in messages.
	hostedInboxSize = 4096
	// hostedDialTimeout is the dial timeout for upstreams, peers and the store.
	// A VM that is down does not answer, so it takes this long to detect one.
	hostedDialTimeout = 400 * time.Millisecond
	// storeTimeout bounds the time until the store answers, in addition to the time that
	// the call asks the store to wait for records, and each pause in the answer. A
	// response begins within a few milliseconds; a slow store takes fifty times as long.
	storeTimeout = 700 * time.Millisecond
	// peerIdleTimeout is the idle timeout of connections to peers.
	peerIdleTimeout = time.Minute
	// peerQueueSize is the length of the send queue of each peer, in messages.
	peerQueueSize = 64
	// peerWriteTimeout is the write timeout of each part of a message to a peer, and of
	// one event of an operator's watch.
	peerWriteTimeout = 500 * time.Millisecond
	// hostedHeaderTimeout is the timeout for reading a request's headers. It is longer than
	// the values that operators set, so that callers that keep to those are never
	// disconnected. hostedIdleTimeout is that of idle connections; operators set a shorter
	// one for callers.
	hostedHeaderTimeout = 10 * time.Second
	hostedIdleTimeout   = 5 * time.Minute
	// queryReadTimeout bounds the time to read the body of a readiness check, a query or a
	// scrape, which needs none, and queryWriteTimeout that to write the response.
	queryReadTimeout  = time.Second
	queryWriteTimeout = 10 * time.Second
	// killMargin is how long before the platform's SIGKILL a node ends its
	// shutdown and exits.
	killMargin = 300 * time.Millisecond
	// lastAnswerTimeout is the part of killMargin in which a node answers the requests
	// that it cannot finish.
	lastAnswerTimeout = 150 * time.Millisecond
	// closeExpiredInterval is the interval at which expired idle connections to
	// upstreams are closed.
	closeExpiredInterval = time.Second
	// hostedDecisions is how many of the latest decisions are kept for operators.
	hostedDecisions = 256
)

// hosted holds the components of a daemon process that runs on the platform.
type hosted struct {
	settings platform.Settings
	// settingsText is the content of the settings file when it was last parsed.
	settingsText []byte
	// advertisedPeer is the address to which other nodes connect.
	advertisedPeer string
	// source is the local address of connections; nil leaves it to the system.
	source net.Addr
	// disabled has the mechanisms that --without disables.
	disabled core.Set[core.Mechanism]
	// invalidRetryAfter logs the first invalid retry delay of an upstream, and invalidLimit
	// the first invalid limit on requests.
	invalidRetryAfter, invalidLimit sync.Once
	// observeAll is set while answers that say nothing of their upstream are passed on to the
	// core too, as they end limits.
	observeAll atomic.Bool
	// readFailed says that the last read of the settings file failed.
	readFailed bool
	log        zerolog.Logger
	metrics    *operator.Metrics
	inbox      *control.Inbox
	loop       *control.Loop
	operators  *operator.Server
	peers      *peer.Transport
	ingress    *ingress.Server
	directory  *directory.Server
	upstreams  *upstream.Client
	// admissions bounds what clients hold, and responses the unfinished parts of responses.
	admissions   admissions
	responses    tcp.Unfinished
	watcher      *store.Watcher
	callerServer *http.Server
	// callerIdle is for how long callers' connections may be idle.
	callerIdle tcp.IdleTimeout
	// callerListener is the listener of callerServer; nil until it is open.
	callerListener net.Listener
	serveErrors    chan error
	// stopAccepting is closed when the core decides during shutdown that the node
	// stops accepting callers' connections.
	stopAccepting chan struct{}
}

// runHosted runs the daemon on the platform and returns the exit code.
func runHosted(check bool, advertised string, source net.Addr, disabled core.Set[core.Mechanism]) int {
	// A signal that arrives while the process starts or exits must not end it, so the handler
	// comes first and stays.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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
	limitHeap(s.MemoryBytes)
	h, closeHosted := openHosted(s, raw, advertised, source, disabled)
	defer closeHosted()
	return h.run(path, signals)
}

// openHosted builds the components of a hosted daemon; run opens the
// listeners. The clean-up function closes the inbox, the connections to peers
// and upstreams, the metrics and the log.
func openHosted(s platform.Settings, raw []byte, advertised string, source net.Addr, disabled core.Set[core.Mechanism]) (*hosted, func()) {
	started := time.Now()
	h := &hosted{settings: s, settingsText: raw, advertisedPeer: cmp.Or(advertised, s.PeerAddress), source: source, disabled: disabled, serveErrors: make(chan error, 8), stopAccepting: make(chan struct{})}
	writer, closeWriter := operator.NewLogWriter(os.Stdout, func(n int) { h.metrics.LinesDropped(n) })
	h.log = zerolog.New(writer).With().Timestamp().Str("Node", string(s.Node)).Logger()
	metrics, closeMetrics := operator.NewMetrics(func(err error) { h.log.Warn().Str("Event", "Fault").Err(err).Send() })
	h.metrics = metrics
	inbox, closeInbox := control.OpenInbox(hostedInboxSize)
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

// self returns this node as its peers see it.
func (h *hosted) self() core.NodeInfo {
	s := h.settings
	return core.NodeInfo{
		ID: s.Node, Domain: s.Domain, Region: s.Region, PeerAddress: h.advertisedPeer, CallerAddress: s.CallerAddress,
	}
}

// build creates the servers, the clients and the control loop.
func (h *hosted) build(incarnation core.Incarnation, clock func() core.Instant) {
	s := h.settings
	h.upstreams = &upstream.Client{
		DialTimeout: hostedDialTimeout, LocalAddr: h.source, OnResponse: h.observeUpstream, OnUnmatched: h.recordUnmatched, OnLimit: h.recordUpstreamLimit,
		Unfinished: &h.responses,
	}
	h.ingress = &ingress.Server{
		Upstreams: h.upstreams, SendToCore: h.inbox.Send, Log: h.log, Meter: h.metrics, Node: s.Node,
		ReportViolation: h.reportViolation, Clock: clock, OnLimit: h.recordCallerLimit,
	}
	h.directory = &directory.Server{SendToCore: h.inbox.Send}
	h.peers = h.newPeerTransport(incarnation)
	h.upstreams.DialThrough = h.peers.DialThrough
	h.upstreams.OnConnection = func(m core.ConnectionObserved) { h.inbox.Send(m) }
	h.operators = &operator.Server{
		Log: h.log, Metrics: h.metrics, Decisions: operator.NewDecisions(hostedDecisions),
		SendToCore: h.inbox.Send, StatusEvery: time.Second, WatchInterval: time.Second, WriteTimeout: peerWriteTimeout,
	}
	h.watcher = &store.Watcher{
		Store: &platform.Store{
			Address: s.Store, Timeout: storeTimeout, HTTP: platform.NewStoreClient(&net.Dialer{Timeout: hostedDialTimeout, LocalAddr: h.source}), OnLimit: h.recordStoreLimit,
		},
		SendToCore: h.inbox.Send, Log: h.log, Self: h.self(),
	}
	h.ingress.LimitMemory(bodyBytes(s))
	h.admissions = h.newAdmissions(s)
	h.limitResponses(s)
	settings := bounds(s).Apply(core.DefaultSettings())
	h.loop = &control.Loop{
		Node: &core.Node{
			Self: h.self(), Incarnation: incarnation, Seed: uint64(incarnation), Settings: settings, Hosted: true, DisabledMechanisms: h.disabled,
		},
		Inbox: h.inbox, Clock: clock, Observer: h.metrics,
		Executor: control.Executor{
			Callers: h.directory, Peers: h.peers, Operators: h.operators, Forwarder: h.ingress,
			VMs: noVMList{}, Log: noLog{}, Runtime: hostedRuntime{h},
		},
	}
	h.callerServer = h.newCallerServer()
}

// hostedRuntime implements control.Runtime: it executes the core's commands that
// concern the store, readiness and shutdown.
type hostedRuntime struct{ *hosted }

// ClaimOrders requests the exclusive right to send orders to engines from the
// store. It does not block.
func (h hostedRuntime) ClaimOrders(c core.ClaimOrders) { h.watcher.Claim(c) }

// DecodePeerState decodes a desired state that a peer sent and passes it to the
// core. It does not block.
func (h hostedRuntime) DecodePeerState(c core.DecodePeerState) {
	go func() {
		d, err := store.DecodePeerState(c.Record, c.Offset)
		if err != nil {
			h.log.Error().Str("Event", "Unreadable").Int64("Offset", int64(c.Offset)).Err(err).Send()
			return
		}
		h.log.Info().Str("Event", "Adopted").Int64("Version", d.Version).Int("Bytes", len(c.Record)).Send()
		h.inbox.Send(d)
	}()
}

// ReadInstances reads the upstreams' entries from the store. It does not block.
func (h hostedRuntime) ReadInstances(c core.ReadInstances) { h.watcher.ReadInstances(c) }

// Ready makes readiness checks succeed.
func (h hostedRuntime) Ready() { h.directory.SetReady(true) }

// AppendStreams appends to the store which versions began streams.
func (h hostedRuntime) AppendStreams(c core.AppendStreams) { h.watcher.AppendStreams(c) }

// ReadStreams reads from the store which versions began streams.
func (h hostedRuntime) ReadStreams(c core.ReadStreams) { h.watcher.ReadStreams(c) }

// ReadVersions reads the versions of upstreams that are recorded in the store.
func (h hostedRuntime) ReadVersions() { h.watcher.ReadVersions() }

// RecordVersion records in the store which versions of upstreams serve.
func (h hostedRuntime) RecordVersion(c core.RecordVersion) { h.watcher.RecordVersion(c) }

// RenewStateRead renews a waiting read of the desired state.
func (h hostedRuntime) RenewStateRead(c core.RenewStateRead) { h.watcher.RenewDesired(c.Latest) }

// ObserveAnswers sets whether answers that say nothing of their upstream are passed on too.
func (h hostedRuntime) ObserveAnswers(c core.ObserveAnswers) { h.observeAll.Store(c.All) }

// LimitCallers sets the largest head and body that later requests may have, and how long callers'
// connections may be idle.
func (h hostedRuntime) LimitCallers(c core.LimitCallers) {
	h.ingress.LimitBodies(c.BodyBytes)
	h.admissions.limitClients(c.CallerLimits)
	h.callerIdle.Set(c.IdleTimeout)
}

// NotReady makes readiness checks fail until Ready.
func (h hostedRuntime) NotReady() { h.directory.SetReady(false) }

// StopAccepting signals shutDown to close the callers' listener.
func (h hostedRuntime) StopAccepting() { close(h.stopAccepting) }

// noVMList and noLog implement control.VMListReader and control.Log without doing
// anything: a hosted node uses the platform's store in place of the VM list and
// the log of unhosted deployments.
type (
	noVMList struct{}
	noLog    struct{}
)

func (noVMList) Read()              {}
func (noLog) Append(core.AppendLog) {}
func (noLog) Read(core.ReadLog)     {}

// observeUpstream passes on to the core what a response says about its upstream. The
// first invalid retry delay and the first invalid limit are logged.
func (h *hosted) observeUpstream(key string, status int, header http.Header) {
	signal, err := platform.DecodeSignal(core.EngineID(key), status, header)
	var retryAfter *platform.InvalidRetryAfterError
	if errors.As(err, &retryAfter) {
		h.invalidRetryAfter.Do(func() {
			h.log.Warn().Str("Event", "RetryAfterInvalid").Str("Engine", key).Err(retryAfter).Send()
		})
	}
	var limit *platform.InvalidLimitError
	if errors.As(err, &limit) {
		h.metrics.InvalidUpstreamLimit()
		h.invalidLimit.Do(func() {
			h.log.Warn().Str("Event", "UpstreamLimitInvalid").Str("Engine", key).Err(limit).Send()
		})
	}
	ends := h.observeAll.Load() && platform.EndsLimit(status, header)
	if signal.Leaving || signal.QuietFor > 0 || signal.NamesLimit || ends {
		h.inbox.Send(signal)
	}
}

// recordUnmatched logs and counts a response that belongs to another request than the one
// that waits on its connection.
func (h *hosted) recordUnmatched(key string, header http.Header) {
	h.metrics.UnmatchedResponse()
	h.log.Warn().Str("Event", "UnmatchedResponse").Str("Engine", key).Str("Request", platform.Attempt(header)).Send()
}

// recordUpstreamLimit logs and counts a response that exceeded a limit.
func (h *hosted) recordUpstreamLimit(key string, err error) {
	h.metrics.UpstreamLimitExceeded()
	h.log.Warn().Str("Event", "LimitExceeded").Str("Engine", key).Err(err).Send()
}

// recordStoreLimit logs and counts a response or a list of the store that exceeded a
// limit.
func (h *hosted) recordStoreLimit(err error) {
	h.metrics.StoreLimitExceeded()
	h.log.Warn().Str("Event", "LimitExceeded").Err(err).Send()
}

// recordCallerLimit logs and counts a caller's request whose body exceeded a limit.
func (h *hosted) recordCallerLimit(attempt string, err error) {
	h.metrics.CallerLimitExceeded()
	h.log.Info().Str("Event", "LimitExceeded").Str("Request", attempt).Err(err).Send()
}

// endRequests answers the requests that cannot be finished before the process exits.
func (h *hosted) endRequests() {
	h.log.Warn().Str("Event", "Unfinished").Int("Requests", h.ingress.InProgress()).Send()
	h.ingress.EndAll()
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswerTimeout)
	defer cancel()
	if err := httpserver.Stop(ctx, h.callerListener); err != nil {
		h.log.Warn().Str("Event", "Fault").Err(err).Send()
	}
}

// reportViolation logs and counts the violation of an invariant that the ingress server
// found.
func (h *hosted) reportViolation(v core.Violation) {
	h.metrics.RecordViolation(v)
	h.operators.LogViolation(v)
}

func (h *hosted) newPeerTransport(incarnation core.Incarnation) *peer.Transport {
	return &peer.Transport{
		Self: h.settings.Node, Incarnation: incarnation, Receive: h.inbox.Send, Meter: h.metrics,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			d := net.Dialer{LocalAddr: h.source}
			return d.DialContext(ctx, "tcp", address)
		},
		Limits: peer.Limits{
			Queue: peerQueueSize, DialTimeout: hostedDialTimeout, WriteTimeout: peerWriteTimeout, IdleTimeout: peerIdleTimeout,
			Relayed: h.maxRelayed(), RelayIdle: relayIdleTimeout,
		},
		DialUpstream: h.dialUpstream, Relays: &relayMeter{Metrics: h.metrics, log: h.log},
	}
}

// newCallerServer returns the HTTP server for callers' requests. The ingress server bounds
// the reading of bodies.
func (h *hosted) newCallerServer() *http.Server {
	return &http.Server{
		Handler: h.ingress, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: hostedHeaderTimeout, IdleTimeout: hostedIdleTimeout,
		ErrorLog: operator.HTTPErrorLogger(h.log), ConnContext: tcp.WithConn, ConnState: tcp.TrackState,
	}
}

// newQueryServer returns an HTTP server for readiness checks, queries or scrapes.
func (h *hosted) newQueryServer(handler http.Handler) *http.Server {
	return httpserver.New(handler, httpserver.Limits{
		HeaderBytes: maxHeaderBytes, HeaderTimeout: hostedHeaderTimeout, IdleTimeout: hostedIdleTimeout,
		ReadTimeout: queryReadTimeout, WriteTimeout: queryWriteTimeout,
	}, operator.HTTPErrorLogger(h.log))
}

// run serves until a signal to stop or a fatal error, and returns the exit code.
// path is the settings file, which is reloaded when it changes and at SIGHUP.
func (h *hosted) run(path string, signals <-chan os.Signal) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.watcher.Prepare()
	go h.loop.Run(ctx)
	if err := h.listen(ctx); err != nil {
		h.log.Error().Str("Event", "Failed").Err(err).Send()
		return fail(err)
	}
	go h.watcher.Run(ctx)
	go h.closeExpiredConnections(ctx)
	h.log.Info().Str("Event", "Started").Send()
	changes := time.NewTicker(settingsInterval)
	defer changes.Stop()
	for {
		select {
		case <-changes.C:
			h.checkSettings(path, false)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				h.checkSettings(path, true)
				continue
			}
			return h.shutDown()
		case err := <-h.serveErrors:
			h.log.Error().Str("Event", "Failed").Err(err).Send()
			return exitFailure
		}
	}
}

// listen opens all listeners and starts serving on them.
func (h *hosted) listen(ctx context.Context) error {
	s := h.settings
	peers, err := tcp.Listen(s.PeerAddress, share(s.MaxFiles, peerFileShare))
	if err != nil {
		return oops.In("daisyshed").With("Node", s.Node).Wrap(err)
	}
	go h.serve(func() error { return h.peers.Serve(peers) })
	go h.operators.Run(ctx)
	endpoints := []struct {
		address   string
		server    *http.Server
		admission *tcp.Admission
	}{
		{s.CallerAddress, h.callerServer, h.admissions.callers},
		{s.ReadyAddress, h.newQueryServer(h.directory.ReadyHandler()), h.admissions.ready},
		{s.DirectoryAddress, h.newQueryServer(h.directory.AddressHandler()), h.admissions.directory},
		{s.MetricsAddress, h.newQueryServer(h.operators.Handler()), h.admissions.metrics},
	}
	for _, endpoint := range endpoints {
		limit, idle := share(s.MaxFiles, queryFileShare), &tcp.IdleTimeout{}
		if endpoint.server == h.callerServer {
			limit, idle = share(s.MaxFiles, callerFileShare), &h.callerIdle
		}
		l, err := tcp.ListenWithIdleTimeout(endpoint.address, limit, idle)
		if err != nil {
			return oops.In("daisyshed").With("Node", s.Node).Wrap(err)
		}
		tcp.Admit(l, endpoint.admission)
		if endpoint.server == h.callerServer {
			h.callerListener = l
		}
		go h.serve(func() error { return endpoint.server.Serve(l) })
	}
	return nil
}

// serve runs a listener's accept loop and reports its error to run, unless the
// listener was closed.
func (h *hosted) serve(acceptLoop func() error) {
	if err := acceptLoop(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		h.serveErrors <- err
	}
}

// closeExpiredConnections periodically closes upstream connections that have been
// idle for too long, until ctx ends.
func (h *hosted) closeExpiredConnections(ctx context.Context) {
	t := time.NewTicker(closeExpiredInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.upstreams.CloseExpired()
		}
	}
}

// shutDown shuts the node down gracefully and returns the exit code. Readiness
// checks fail at once; callers' connections are accepted until the core issues
// StopAccepting, and then requests in progress may finish within the platform's
// grace period.
func (h *hosted) shutDown() int {
	started := time.Now()
	h.log.Info().Str("Event", "Leaving").Int("Requests", h.ingress.InProgress()).Send()
	h.directory.SetLeaving()
	h.ingress.SetClosing()
	h.inbox.Send(core.Shutdown{})
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(h.settings.Bounds.Grace-killMargin))
	defer cancel()
	select {
	case <-h.stopAccepting:
		h.log.Info().Str("Event", "ClosedToCallers").Int("Requests", h.ingress.InProgress()).Send()
	case <-ctx.Done():
	}
	err := httpserver.Stop(ctx, h.callerListener)
	if err != nil {
		h.endRequests()
	}
	h.endRelayed(ctx)
	h.log.Info().Str("Event", "Stopped").Int("Requests", h.ingress.InProgress()).Err(err).Send()
	if err != nil {
		return exitIncomplete
	}
	return exitOK
}
