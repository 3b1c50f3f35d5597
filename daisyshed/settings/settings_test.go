package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/settings"
	wire "daisyshed.dev/wire/settings"
	"github.com/matryer/is"
)

const validSettings = `Node: node-a
Domain: d1
Region: r1
CallerAddress: 127.0.0.1:7001
PeerAddress: 127.0.0.1:7002
OperatorAddress: "[::1]:7003"
Log: http://127.0.0.1:7010
VMList: http://127.0.0.1:7011
Seeds:
  - Node: node-b
    Domain: d2
    Region: r1
    PeerAddress: 127.0.0.2:7002
    CallerAddress: 127.0.0.2:7001
Periods:
  PollEvery: 250ms
`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("f.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Periods.PollEvery, 250*time.Millisecond)
	is.Equal(s.Core().PollEvery, 250*time.Millisecond)
	is.Equal(s.Self().PeerAddress, "127.0.0.1:7002")
	is.Equal(s.InitialVMList().Nodes[0].ID, core.NodeID("node-b"))
}

func TestDefaultsMatchTheCore(t *testing.T) {
	is := is.New(t)
	is.Equal(settings.Default().Core(), core.DefaultSettings())
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		"Domain: d1", "Domian: d1",
		"127.0.0.1:7001", "localhost:7001",
		"127.0.0.1:7002", "127.0.0.1:99999",
		"http://127.0.0.1:7010", "ftp://127.0.0.1",
		"    Region: r1\n    Peer", "    Peer",
		"250ms", "250",
	).Replace(validSettings) + "Limits:\n  Requests: 0\n  BodyBytes: many\n"
	_, err := settings.Parse("f.yaml", []byte(text))
	var faults wire.Faults
	is.True(errors.As(err, &faults))
	var got []string
	for _, f := range faults {
		is.Equal(f.File, "f.yaml")
		is.True(f.Line > 0)
		is.True(f.Problem != "")
		got = append(got, f.Field)
	}
	is.Equal(strings.Join(got, " "), "Domain Domian CallerAddress PeerAddress Log "+
		"Seeds[0].Region Periods.PollEvery Limits.Requests Limits.BodyBytes")
}

func TestListenersMustDiffer(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("f.yaml", []byte(strings.ReplaceAll(validSettings, "127.0.0.1:7002", "127.0.0.1:7001")))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "f.yaml:5: PeerAddress: must differ"))
}

func TestEverySettingIsDescribed(t *testing.T) {
	is := is.New(t)
	for line := range strings.Lines(settings.Describe()) {
		name, help, _ := strings.Cut(strings.TrimSpace(line), ":")
		is.True(name != "")
		is.True(strings.TrimSpace(help) != "")
	}
	is.True(strings.Contains(settings.Describe(), "Periods.ShutdownTimeout"))
}
