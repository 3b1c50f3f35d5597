package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
	"daisyshed.dev/daisyshed/control"
	"daisyshed.dev/daisyshed/engine"
	"daisyshed.dev/daisyshed/httpserver"
	"daisyshed.dev/daisyshed/operator"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/daisyshed/platformlog"
	"daisyshed.dev/daisyshed/service"
	"daisyshed.dev/daisyshed/settings"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/daisyshed/vmlist"
	"daisyshed.dev/wire/http1"
	"daisyshed.dev/wire/mutualtls"
	wirelog "daisyshed.dev/wire/platformlog"
	wirevms "daisyshed.dev/wire/vmlist"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

// watchInterval is the polling interval of the operators' watch requests.
const watchInterval = time.Second

// daemon holds the components of one unhosted daemon process, which reads
// daisyshed's own settings file. Its counterpart on the platform is hosted.
type daemon struct {
	settings    settings.Settings
	log         zerolog.Logger
	inbox       *control.Inbox
	loop        *control.Loop
	peers       *peer.Transport
	operators   *operator.Server
	listeners   listeners
	servers     []*http.Server
	tls         *mutualtls.Source
	serveErrors chan error
}

// openDaemon listens on all addresses and builds the servers and clients of the
// daemon. The clean-up function closes the inbox, the peer connections, the
// listeners, the metrics and the log.
func openDaemon(s settings.Settings) (*daemon, func(), error) {
	started := time.Now()
	l, err := listen(s)
	if err != nil {
		return nil, nil, oops.In("daisyshed").With("Node", s.Node).Wrap(err)
	}
	d := &daemon{settings: s, listeners: l, serveErrors: make(chan error, 3)}
	closeLog := d.openLog(started)
	if d.tls, err = openTLS(s, d.logFault); err != nil {
		closeLog()
		l.close()
		return nil, nil, oops.In("daisyshed").With("Node", s.Node).Wrap(err)
	}
	metrics, closeMetrics := operator.NewMetrics(d.logFault)
	inbox, closeInbox := control.OpenInbox(s.Limits.Inbox)
	d.inbox = inbox
	d.build(metrics, core.Incarnation(started.UnixNano()), control.MonotonicClock(started))
	return d, func() {
		closeInbox()
		d.peers.Close()
		d.listeners.close()
		closeMetrics()
		closeLog()
	}, nil
}

// openLog sets d.log to a logger whose writes never block. Lines that it drops
// are counted in the metrics. The returned function flushes and closes it.
func (d *daemon) openLog(started time.Time) func() {
	w, closeWriter := operator.NewLogWriter(os.Stderr, func(n int) {
		if d.operators != nil {
			d.operators.Metrics.LinesDropped(n)
		}
	})
	d.log = zerolog.New(w).With().Timestamp().
		Str("Node", string(d.settings.Node)).
		Int64("Incarnation", started.UnixNano()).
		Logger()
	return closeWriter
}

// logFault logs an error after which the daemon keeps running.
func (d *daemon) logFault(err error) { d.log.Warn().Str("Event", "Fault").Err(err).Send() }

// limitClients bounds what clients hold, as they share the process's memory. The connections of a port
// with TLS carry no heads that could be measured, and are few.
func (d *daemon) limitClients(metrics *operator.Metrics) {
	memory := int64(d.settings.Limits.MemoryBytes)
	limitHeap(memory)
	callers, operators := newAdmission("caller", d.log, metrics), newAdmission("operator", d.log, metrics)
	limitMemory(callers, memory, callerConnShare, callerHeadShare)
	limitMemory(operators, memory, queryConnShare, queryHeadShare)
	tcp.Admit(d.listeners.caller, callers)
	if d.tls == nil {
		tcp.Admit(d.listeners.operator, operators)
	}
}

// build creates the servers, the clients and the control loop.
func (d *daemon) build(metrics *operator.Metrics, incarnation core.Incarnation, clock func() core.Instant) {
	d.limitClients(metrics)
	callers := d.newCallerServer(incarnation)
	callers.LatencyRecorder = metrics
	d.peers = d.newPeerTransport(metrics, incarnation)
	d.operators = d.newOperatorServer(metrics)
	d.loop = &control.Loop{
		Node: &core.Node{
			Self:        d.settings.Self(),
			Incarnation: incarnation,
			Seed:        uint64(incarnation),
			Settings:    d.settings.Core(),
		},
		Inbox:    d.inbox,
		Clock:    clock,
		Observer: metrics,
		Executor: d.newExecutor(callers),
	}
	d.servers = []*http.Server{
		d.newHTTPServer(callers.Handler()),
		d.newHTTPServer(d.operators.Handler()),
	}
}

func (d *daemon) newExecutor(callers *caller.Server) control.Executor {
	p := d.settings.Periods
	send := d.inbox.Send
	platform := &http.Client{Transport: d.newHTTPTransport()}
	return control.Executor{
		Callers: callers,
		Engines: &engine.Client{
			HTTP:           &http.Client{Transport: d.newHTTPTransport()},
			Answers:        callers,
			SendToCore:     send,
			StepTimeout:    p.StepTimeout,
			ControlTimeout: p.ControlTimeout,
			OrderTimeout:   p.OrderTimeout,
		},
		Services: &service.Client{HTTP: service.NewHTTPClient(), SendToCore: send},
		Peers:    d.peers,
		Log: &platformlog.Log{
			Client:     &wirelog.Client{Base: d.settings.Log, HTTP: platform},
			Timeout:    p.ControlTimeout,
			SendToCore: send,
		},
		VMs: &vmlist.Reader{
			Client:     &wirevms.Client{Base: d.settings.VMList, HTTP: platform},
			Timeout:    p.ControlTimeout,
			SendToCore: send,
		},
		Operators: d.operators,
	}
}

func (d *daemon) newHTTPTransport() http.RoundTripper {
	p := d.settings.Periods
	return &http1.Transport{Base: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: p.DialTimeout}).DialContext,
		MaxConnsPerHost:        d.settings.Limits.UpstreamConnections,
		MaxIdleConnsPerHost:    d.settings.Limits.UpstreamConnections,
		IdleConnTimeout:        p.IdleTimeout,
		MaxResponseHeaderBytes: int64(d.settings.Limits.HeaderBytes),
	}}
}

func (d *daemon) newCallerServer(incarnation core.Incarnation) *caller.Server {
	p := d.settings.Periods
	return &caller.Server{
		Node:        d.settings.Node,
		Incarnation: incarnation,
		Limits: caller.Limits{
			BodyBytes:    int64(d.settings.Limits.BodyBytes),
			Requests:     int64(d.settings.Limits.Requests),
			ReadTimeout:  p.ReadTimeout,
			WriteTimeout: p.WriteTimeout,
			CallTimeout:  p.AnswerTimeout,
		},
		SendToCore: d.inbox.Send,
	}
}

func (d *daemon) newPeerTransport(meter peer.Meter, incarnation core.Incarnation) *peer.Transport {
	p := d.settings.Periods
	return &peer.Transport{
		Self:        d.settings.Node,
		Incarnation: incarnation,
		Receive:     d.inbox.Send,
		Meter:       meter,
		TLS:         d.tls,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		},
		Limits: peer.Limits{
			Queue:        d.settings.Limits.PeerQueue,
			DialTimeout:  p.DialTimeout,
			WriteTimeout: p.WriteTimeout,
			IdleTimeout:  p.IdleTimeout,
		},
	}
}

func (d *daemon) newOperatorServer(metrics *operator.Metrics) *operator.Server {
	p := d.settings.Periods
	return &operator.Server{
		Log:           d.log,
		Metrics:       metrics,
		Decisions:     operator.NewDecisions(d.settings.Limits.Decisions),
		SendToCore:    d.inbox.Send,
		StaleAfter:    p.StaleAfter,
		WatchInterval: watchInterval,
		StatusEvery:   p.StatusEvery,
		WriteTimeout:  p.WriteTimeout,
	}
}

// newHTTPServer returns an HTTP server with the limits and timeouts of the
// settings.
func (d *daemon) newHTTPServer(h http.Handler) *http.Server {
	p := d.settings.Periods
	return httpserver.New(h, httpserver.Limits{
		HeaderBytes:   d.settings.Limits.HeaderBytes,
		HeaderTimeout: p.HeaderTimeout,
		ReadTimeout:   p.ReadTimeout,
		WriteTimeout:  p.WriteTimeout,
		IdleTimeout:   p.IdleTimeout,
	}, operator.HTTPErrorLogger(d.log))
}
