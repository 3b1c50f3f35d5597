package operator

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisyshed.dev/core"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is the period at which counts become visible to a scrape.
const reportEvery = time.Second

// Metrics counts what a node does. It is safe for concurrent use and does not
// block.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	fault   func(error)

	updates       tally.Counter
	busyNanos     tally.Counter
	requests      tally.Counter
	resumed       tally.Counter
	callersGone   tally.Counter
	calls         tally.Counter
	answers       tally.Counter
	tokens        tally.Counter
	firstTokens   tally.Counter
	prefills      tally.Counter
	prefillTokens tally.Counter
	cachedTokens  tally.Counter
	computed      tally.Counter
	wasted        tally.Counter
	engineFaults  tally.Counter
	releaseFaults tally.Counter
	logFaults     tally.Counter
	vmListFaults  tally.Counter
	sentBytes     tally.Counter
	receivedBytes tally.Counter
	peerDropped   tally.Counter
	peerFaults    tally.Counter
	linesDropped  tally.Counter
	firstBytes    tally.Histogram
	totalTimes    tally.Histogram

	prefilling prefills

	mu      sync.Mutex
	targets map[core.ProfileID]targets
}

// OpenMetrics returns a Metrics; fault is told of faults in reporting and of
// peers' faults. The clean-up function ends the reporting.
func OpenMetrics(fault func(error)) (*Metrics, func()) {
	registry := prom.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: fault,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "daisyshed",
		CachedReporter:         r,
		Separator:              reporter.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportEvery)
	m := &Metrics{scope: scope, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), fault: fault, prefilling: newPrefills()}
	m.register()
	return m, func() {
		if err := closer.Close(); err != nil {
			fault(err)
		}
	}
}

// sanitizer returns the characters that names and tags may hold. Values of tags
// keep the characters of ids, so that two ids never share a value.
func sanitizer() *tally.SanitizeOptions {
	opts := reporter.DefaultSanitizerOpts
	opts.ValueCharacters.Ranges = tally.AlphanumericRange
	opts.ValueCharacters.Characters = []rune("_-./:~")
	return &opts
}

func (m *Metrics) register() {
	m.updates = m.scope.Counter("updates_total")
	m.busyNanos = m.scope.Counter("control_busy_nanoseconds_total")
	m.requests = m.scope.Counter("requests_total")
	m.resumed = m.scope.Counter("requests_resumed_total")
	m.callersGone = m.scope.Counter("callers_gone_total")
	m.calls = m.scope.Counter("calls_total")
	m.answers = m.scope.Counter("answers_completed_total")
	m.tokens = m.scope.Counter("answer_tokens_total")
	m.firstTokens = m.scope.Counter("first_tokens_total")
	m.prefills = m.scope.Counter("prefills_started_total")
	m.prefillTokens = m.scope.Counter("prefill_tokens_started_total")
	m.cachedTokens = m.scope.Counter("prefill_tokens_cached_total")
	m.computed = m.scope.Counter("prefill_tokens_computed_total")
	m.wasted = m.scope.Counter("prefill_tokens_wasted_total")
	m.engineFaults = m.scope.Counter("engine_steps_failed_total")
	m.releaseFaults = m.scope.Counter("releases_failed_total")
	m.logFaults = m.scope.Counter("log_failures_total")
	m.vmListFaults = m.scope.Counter("vm_list_failures_total")
	m.sentBytes = m.scope.Counter("control_sent_bytes_total")
	m.receivedBytes = m.scope.Counter("control_received_bytes_total")
	m.peerDropped = m.scope.Counter("peer_messages_dropped_total")
	m.peerFaults = m.scope.Counter("peer_faults_total")
	m.linesDropped = m.scope.Counter("log_lines_dropped_total")
	m.firstBytes = m.scope.Histogram("forward_first_bytes_seconds", latencyBuckets)
	m.totalTimes = m.scope.Histogram("forward_seconds", latencyBuckets)
}

// latencyBuckets spans calls of a few milliseconds to long streams.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 14)

// Forwarded notes the end of an opaque request: its status and its time, to
// the first bytes and in all.
func (m *Metrics) Forwarded(status int, first, total time.Duration) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("forwards_total").Inc(1)
	m.firstBytes.RecordDuration(first)
	m.totalTimes.RecordDuration(total)
}

// Updated notes one update of the core and the time for which the control
// goroutine was busy with it, which bounds its CPU time from above.
func (m *Metrics) Updated(took time.Duration) {
	m.updates.Inc(1)
	m.busyNanos.Inc(int64(took))
}

// Message notes a message to the core.
func (m *Metrics) Message(message core.Message) {
	switch b := message.(type) {
	case core.CallerRequest:
		m.requests.Inc(1)
		if b.Resumed {
			m.resumed.Inc(1)
		}
	case core.CallerGone:
		m.callersGone.Inc(1)
		m.waste(m.prefilling.end(b.Request))
	case core.CallerCall:
		m.calls.Inc(1)
	case core.FirstToken:
		m.firstTokens.Inc(1)
		m.prefilling.used(b.Allocation)
	case core.StreamEnded:
		m.answers.Inc(1)
		m.tokens.Inc(int64(b.Tokens))
		m.prefilling.forget(b.Allocation.Request)
	case core.PrefillDone:
		m.cachedTokens.Inc(int64(b.Cached))
		computed, wasted := m.prefilling.done(b)
		m.computed.Inc(int64(computed))
		m.waste(wasted)
	case core.EngineFailed:
		m.engineFaults.Inc(1)
		m.prefilling.failed(b)
	case core.ReleaseFailed:
		m.releaseFaults.Inc(1)
	case core.LogAppendFailed, core.LogReadFailed:
		m.logFaults.Inc(1)
	case core.PlatformFailed:
		m.vmListFaults.Inc(1)
	}
}

// Command notes a command of the core.
func (m *Metrics) Command(command core.Command) {
	switch c := command.(type) {
	case core.RefuseCaller:
		m.refused(c.Reason)
		m.waste(m.prefilling.end(c.Request))
	case core.AnswerCall:
		m.scope.Tagged(map[string]string{"outcome": c.Outcome.String()}).Counter("call_outcomes_total").Inc(1)
		if c.Reason != core.NoReason {
			m.refused(c.Reason)
		}
	case core.StartPrefill:
		m.prefills.Inc(1)
		m.waste(m.prefilling.started(c))
		m.prefillTokens.Inc(int64(c.Prompt.Tokens + c.Emitted))
	case core.LogDecision:
		m.scope.Tagged(map[string]string{"step": c.Decision.Step}).Counter("decisions_total").Inc(1)
	}
}

// waste notes prefill work whose attempt gave no token.
func (m *Metrics) waste(tokens core.Tokens) { m.wasted.Inc(int64(tokens)) }

func (m *Metrics) refused(reason core.RefusalReason) {
	m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refusals_total").Inc(1)
}

// ControlBytes notes bytes exchanged with other nodes.
func (m *Metrics) ControlBytes(sent, received int) {
	m.sentBytes.Inc(int64(sent))
	m.receivedBytes.Inc(int64(received))
}

// PeerDropped notes a message to another node that was dropped.
func (m *Metrics) PeerDropped() { m.peerDropped.Inc(1) }

// PeerFault notes a fault of a connection with another node.
func (m *Metrics) PeerFault(err error) {
	m.peerFaults.Inc(1)
	m.fault(err)
}

// LinesDropped notes log lines that could not be written in time.
func (m *Metrics) LinesDropped(n int) { m.linesDropped.Inc(int64(n)) }
