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

// reportInterval is how often tally passes counts to Prometheus, and so the longest
// time until a scrape sees them.
const reportInterval = time.Second

// Metrics holds a node's metrics. Its methods do not block. They are safe for
// concurrent use, except that only the control goroutine may call RecordMessage
// and RecordCommand.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	onError func(error)

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
	unmatched     tally.Counter
	upstreamLimit tally.Counter
	storeLimit    tally.Counter
	callerLimit   tally.Counter
	invalidLimits tally.Counter
	firstBytes    tally.Histogram
	totalTimes    tally.Histogram
	relays        relayMetrics

	tracker prefillTracker
	// limited are the upstreams with a limit at the last status.
	limited map[core.EngineID]bool
	// capped are the tenants that have had a usage cap, and whether they had one at the last status.
	capped map[core.TenantID]bool

	mu      sync.Mutex
	targets map[core.ProfileID]targets
}

// NewMetrics returns a Metrics. onError is called with errors of reporting and of
// connections with other nodes. The returned function reports what has not been
// reported yet and stops the reporting.
func NewMetrics(onError func(error)) (*Metrics, func()) {
	registry := prom.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "daisyshed",
		CachedReporter:         r,
		Separator:              reporter.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{scope: scope, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), onError: onError, tracker: newPrefillTracker(), capped: map[core.TenantID]bool{}}
	m.register()
	return m, func() {
		if err := closer.Close(); err != nil {
			onError(err)
		}
	}
}

// sanitizer returns the characters allowed in the names of metrics and in tags.
// Values of tags may contain all characters of ids, since replacing some of them
// could map two ids to the same value.
func sanitizer() *tally.SanitizeOptions {
	opts := reporter.DefaultSanitizerOpts
	opts.ValueCharacters.Ranges = tally.AlphanumericRange
	opts.ValueCharacters.Characters = []rune("_-./:~")
	return &opts
}

// register creates the metrics that have no tags.
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
	m.unmatched = m.scope.Counter("upstream_unmatched_responses_total")
	m.upstreamLimit = m.scope.Counter("upstream_limits_exceeded_total")
	m.storeLimit = m.scope.Counter("store_limits_exceeded_total")
	m.callerLimit = m.scope.Counter("caller_limits_exceeded_total")
	m.invalidLimits = m.scope.Counter("upstream_invalid_limits_total")
	m.firstBytes = m.scope.Histogram("forward_first_bytes_seconds", latencyBuckets)
	m.totalTimes = m.scope.Histogram("forward_seconds", latencyBuckets)
	m.relays.register(m.scope)
}

// latencyBuckets covers calls of a few milliseconds up to long streams.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 14)

// RecordForward records a forwarded opaque request: its status, the time to the
// first bytes of the response, and the total time.
func (m *Metrics) RecordForward(status int, toHead, total time.Duration) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("forwards_total").Inc(1)
	m.firstBytes.RecordDuration(toHead)
	m.totalTimes.RecordDuration(total)
}

// RecordCut counts a response that was cut after a part of it had gone to the caller.
func (m *Metrics) RecordCut(reason core.RejectionReason) {
	m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("responses_cut_total").Inc(1)
}

// RecordUnanswered counts a forwarded request whose caller's connection ended before the
// response was complete.
func (m *Metrics) RecordUnanswered(headSent bool) {
	m.scope.Tagged(map[string]string{"head_sent": strconv.FormatBool(headSent)}).Counter("forwards_unanswered_total").Inc(1)
}

// UnmatchedResponse counts a response of an upstream that belongs to no request waiting on
// its connection.
func (m *Metrics) UnmatchedResponse() { m.unmatched.Inc(1) }

// UpstreamLimitExceeded counts a response of an upstream that exceeded a limit.
func (m *Metrics) UpstreamLimitExceeded() { m.upstreamLimit.Inc(1) }

// InvalidUpstreamLimit counts a response of an upstream that names a limit on requests which
// is not usable.
func (m *Metrics) InvalidUpstreamLimit() { m.invalidLimits.Inc(1) }

// StoreLimitExceeded counts a response or a list of the store that exceeded a limit.
func (m *Metrics) StoreLimitExceeded() { m.storeLimit.Inc(1) }

// CallerLimitExceeded counts a request of a caller whose body exceeded a limit.
func (m *Metrics) CallerLimitExceeded() { m.callerLimit.Inc(1) }

// RecordViolation counts the violation of an invariant that was found outside the core.
// Those that the core finds are in its status.
func (m *Metrics) RecordViolation(v core.Violation) {
	m.scope.Tagged(map[string]string{"promise": v.Promise.String()}).Counter("ingress_violations_total").Inc(1)
}

// RecordUpdate records one update of the core and the time for which it kept the
// control goroutine busy, an upper bound of its CPU time.
func (m *Metrics) RecordUpdate(took time.Duration) {
	m.updates.Inc(1)
	m.busyNanos.Inc(int64(took))
}

// RecordMessage counts a message to the core.
func (m *Metrics) RecordMessage(message core.Message) {
	switch b := message.(type) {
	case core.CallerRequest:
		m.requests.Inc(1)
		if b.Resumed {
			m.resumed.Inc(1)
		}
	case core.CallerDisconnected:
		m.callersGone.Inc(1)
		m.countWasted(m.tracker.abandon(b.Request))
	case core.ServiceCall:
		m.calls.Inc(1)
	case core.FirstToken:
		m.firstTokens.Inc(1)
		m.tracker.firstToken(b.Allocation)
	case core.StreamEnded:
		m.answers.Inc(1)
		m.tokens.Inc(int64(b.Tokens))
		m.tracker.finish(b.Allocation.Request)
	case core.PrefillDone:
		m.cachedTokens.Inc(int64(b.Cached))
		computed, wasted := m.tracker.complete(b)
		m.computed.Inc(int64(computed))
		m.countWasted(wasted)
	case core.EngineFailed:
		m.engineFaults.Inc(1)
		m.tracker.fail(b)
	case core.ReleaseFailed:
		m.releaseFaults.Inc(1)
	case core.LogAppendFailed, core.LogReadFailed:
		m.logFaults.Inc(1)
	case core.VMListReadFailed:
		m.vmListFaults.Inc(1)
	}
}

// RecordCommand counts a command of the core.
func (m *Metrics) RecordCommand(command core.Command) {
	switch c := command.(type) {
	case core.RejectRequest:
		m.countRejection(c.Reason)
		m.countWasted(m.tracker.abandon(c.Request))
	case core.AnswerCall:
		m.scope.Tagged(map[string]string{"outcome": c.Outcome.String()}).Counter("call_outcomes_total").Inc(1)
		if c.Reason != core.NoReason {
			m.countRejection(c.Reason)
		}
	case core.StartPrefill:
		m.prefills.Inc(1)
		m.countWasted(m.tracker.start(c))
		m.prefillTokens.Inc(int64(c.Prompt.Tokens + c.Emitted))
	case core.LogDecision:
		m.scope.Tagged(map[string]string{"step": c.Decision.Step}).Counter("decisions_total").Inc(1)
		if c.Decision.Cause != core.NoCause {
			tags := map[string]string{"rank": strconv.Itoa(c.Decision.Rank), "cause": c.Decision.Cause.String()}
			m.scope.Tagged(tags).Counter("owner_rejections_total").Inc(1)
		}
		if c.Decision.Step == "desired" {
			m.scope.Tagged(map[string]string{"source": c.Decision.Detail}).
				Histogram("desired_state_lag_seconds", latencyBuckets).RecordDuration(c.Decision.Waited)
		}
	}
}

// countWasted counts tokens that were computed by the prefill of an attempt that
// sent no token to the caller.
func (m *Metrics) countWasted(tokens core.Tokens) { m.wasted.Inc(int64(tokens)) }

// countRejection counts a rejected request or call by its reason.
func (m *Metrics) countRejection(reason core.RejectionReason) {
	m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refusals_total").Inc(1)
}

// ControlBytes counts bytes sent to and received from other nodes.
func (m *Metrics) ControlBytes(sent, received int) {
	m.sentBytes.Inc(int64(sent))
	m.receivedBytes.Inc(int64(received))
}

// PeerDropped counts a message to another node that was dropped.
func (m *Metrics) PeerDropped() { m.peerDropped.Inc(1) }

// PeerFault counts an error of a connection with another node and reports it.
func (m *Metrics) PeerFault(err error) {
	m.peerFaults.Inc(1)
	m.onError(err)
}

// LinesDropped counts log lines that were dropped because they could not be written
// in time.
func (m *Metrics) LinesDropped(n int) { m.linesDropped.Inc(int64(n)) }
