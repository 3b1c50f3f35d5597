package operator_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
	"daisyshed.dev/daisyshed/operator"
	"daisyshed.dev/daisyshed/peer"
	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
)

// scrape calls f and returns the metrics that the node exposes afterwards.
func scrape(t *testing.T, f func(m *operator.Metrics)) string {
	t.Helper()
	is := is.New(t)
	m, closeMetrics := operator.NewMetrics(func(err error) { t.Error(err) })
	f(m)
	// Closing reports all counts.
	closeMetrics()
	w := httptest.NewRecorder()
	(&operator.Server{Metrics: m}).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(w.Code, http.StatusOK)
	return w.Body.String()
}

func allocation(attempt core.Attempt) core.Allocation {
	return core.Allocation{Request: "r", Attempt: attempt, Holder: "n", Incarnation: 1}
}

func prefill(m *operator.Metrics, attempt core.Attempt) {
	m.RecordCommand(core.StartPrefill{Allocation: allocation(attempt), Prompt: core.Prompt{Tokens: 100}})
}

func prefilled(m *operator.Metrics, attempt core.Attempt) {
	m.RecordMessage(core.PrefillDone{Allocation: allocation(attempt), Cached: 30})
}

func TestPrefillsWithoutATokenAreWasted(t *testing.T) {
	for name, test := range map[string]struct {
		wasted string
		run    func(m *operator.Metrics)
	}{
		"token sent": {"0", func(m *operator.Metrics) {
			prefill(m, 1)
			prefilled(m, 1)
			m.RecordMessage(core.FirstToken{Allocation: allocation(1)})
			m.RecordMessage(core.CallerDisconnected{Request: "r"})
		}},
		"new attempt": {"70", func(m *operator.Metrics) {
			prefill(m, 1)
			prefilled(m, 1)
			prefill(m, 2)
			prefilled(m, 2)
			m.RecordMessage(core.FirstToken{Allocation: allocation(2)})
		}},
		"caller gone before the prefill completed": {"70", func(m *operator.Metrics) {
			prefill(m, 1)
			m.RecordMessage(core.CallerDisconnected{Request: "r"})
			prefilled(m, 1)
		}},
		"rejected": {"70", func(m *operator.Metrics) {
			prefill(m, 1)
			prefilled(m, 1)
			m.RecordCommand(core.RejectRequest{Request: "r"})
		}},
		"prefill failed": {"0", func(m *operator.Metrics) {
			prefill(m, 1)
			m.RecordMessage(core.EngineFailed{Allocation: allocation(1), Step: core.PrefillStep})
			m.RecordCommand(core.RejectRequest{Request: "r"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			text := scrape(t, test.run)
			is.New(t).True(strings.Contains(text, "daisyshed_prefill_tokens_wasted_total "+test.wasted+"\n"))
		})
	}
}

// sampleStatus returns a status with one profile, one owned upstream and one member.
func sampleStatus() core.Status {
	return core.Status{
		Profiles: []core.ProfileEntry{{Profile: core.Profile{
			ID: "bill-summary", FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond,
		}}},
		Upstreams: []core.UpstreamStatus{{Owned: true, Pieces: 40, FreePieces: 30, Booked: 4}},
		Members:   []core.MemberStatusEntry{{ConfigOffset: 7}},
	}
}

func TestGoodputRequiresBothTargets(t *testing.T) {
	is := is.New(t)
	text := scrape(t, func(m *operator.Metrics) {
		m.RecordStatus(sampleStatus())
		for _, first := range []time.Duration{540 * time.Millisecond, 541 * time.Millisecond} {
			for _, token := range []time.Duration{55 * time.Millisecond, 56 * time.Millisecond} {
				m.RecordAnswer(caller.AnswerLatency{Profile: "bill-summary", FirstToken: first, PerToken: token})
			}
		}
		m.RecordAnswer(caller.AnswerLatency{Profile: "bill-summary", Resumed: true})
		m.RecordAnswer(caller.AnswerLatency{Profile: "unheard"})
	})
	for _, targets := range []string{"Met", "FirstTokenLate", "PerTokenLate", "BothLate", "NotJudged"} {
		is.True(strings.Contains(text, `daisyshed_requests_finished_total{profile="bill-summary",targets="`+targets+`"} 1`))
	}
	is.True(strings.Contains(text, `daisyshed_requests_finished_total{profile="unheard",targets="NotJudged"} 1`))
}

func TestAllocationTableIsComparedWithReports(t *testing.T) {
	is := is.New(t)
	text := scrape(t, func(m *operator.Metrics) { m.RecordStatus(sampleStatus()) })
	for _, line := range []string{
		"pieces_booked 4", "pieces_reported_held 10", "pieces_held_not_booked 6", "pieces_booked_not_held 0",
		"upstreams_unreachable 1", "config_lag_offsets 7", `members{status="Alive"} 1`,
	} {
		is.True(strings.Contains(text, "daisyshed_"+line+"\n"))
	}
}

func TestRelayedConnectionsAreCountedByRole(t *testing.T) {
	is := is.New(t)
	text := scrape(t, func(m *operator.Metrics) {
		m.RelayedOpened(peer.Relayed)
		m.RelayedOpened(peer.Relaying)
		m.RelayedClosed(peer.Relaying)
		m.RelayedRejected(peer.Relayed, core.RelayFull)
		m.RelayedFailed(peer.Relayed)
		m.RelayedBytes(peer.Relaying, 5, 7)
		m.RecordStatus(sampleStatus())
	})
	for _, line := range []string{
		`connections{role="Relayed"} 1`, `connections{role="Relaying"} 0`, `connections_opened_total{role="Relaying"} 1`,
		`connections_rejected_total{reason="RelayFull",role="Relayed"} 1`, `connections_failed_total{role="Relayed"} 1`,
		`sent_bytes_total{role="Relaying"} 5`, `received_bytes_total{role="Relaying"} 7`,
	} {
		is.True(strings.Contains(text, "daisyshed_relayed_"+line+"\n"))
	}
}

// alerts is a file of Prometheus alerting and recording rules.
type alerts struct {
	Groups []struct {
		Name  string `yaml:"name"`
		Rules []struct {
			Alert       string            `yaml:"alert"`
			Record      string            `yaml:"record"`
			Expr        string            `yaml:"expr"`
			For         string            `yaml:"for"`
			Labels      map[string]string `yaml:"labels"`
			Annotations map[string]string `yaml:"annotations"`
		} `yaml:"rules"`
	} `yaml:"groups"`
}

var selector = regexp.MustCompile(`(daisyshed_[a-z_]+)(?:\{([a-z]+)!?="([A-Za-z]+)"\})?`)

func TestAlertRulesUseExposedMetrics(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../examples/alerts.yaml")
	is.NoErr(err)
	var file alerts
	is.NoErr(yaml.UnmarshalWithOptions(data, &file, yaml.Strict()))
	text := scrape(t, func(m *operator.Metrics) {
		m.RecordStatus(sampleStatus())
		m.RecordCommand(core.RejectRequest{Reason: core.NoCapacity})
		m.RecordAnswer(caller.AnswerLatency{Profile: "bill-summary"})
		m.RecordAnswer(caller.AnswerLatency{Profile: "unheard"})
	})
	rules := 0
	for _, group := range file.Groups {
		for _, rule := range group.Rules {
			rules++
			is.True(rule.Alert != "" || rule.Record != "")
			named := selector.FindAllStringSubmatch(rule.Expr, -1)
			is.True(len(named) > 0)
			for _, m := range named {
				exposed := regexp.MustCompile("(?m)^" + m[1] + `[ {]`)
				if m[2] != "" {
					exposed = regexp.MustCompile("(?m)^" + m[1] + `\{.*` + m[2] + `="` + m[3] + `"`)
				}
				if !exposed.MatchString(text) {
					t.Errorf("rule %s%s uses %s, which is not exposed", rule.Alert, rule.Record, m[0])
				}
			}
		}
	}
	is.True(rules > 0)
}

// Operators see by rank and cause what owners reject; other decisions must not count as rejections.
func TestRejectionsOfOwnersAreCountedByRank(t *testing.T) {
	text := scrape(t, func(m *operator.Metrics) {
		m.RecordCommand(core.LogDecision{Decision: core.Decision{Step: "turn-away", Cause: core.Displaced, Rank: 34}})
		m.RecordCommand(core.LogDecision{Decision: core.Decision{Step: "dispatch", Rank: 34}})
	})
	is.New(t).True(regexp.MustCompile(`daisyshed_owner_rejections_total\{cause="Displaced",rank="34"\} 1\n`).MatchString(text))
}
