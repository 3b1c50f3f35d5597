package engine_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
	"github.com/matryer/is"
)

func TestPrefillSendsThePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		prompt := core.Prompt{Tokens: 10}
		e.client.Prefill("p1", core.StartPrefill{Engine: "p1", Allocation: allocation(1), Prompt: prompt, Model: "m", Emitted: 4})
		is.Equal(<-e.messages, core.PrefillDone{Engine: "p1", Allocation: allocation(1), Cached: 5})
		var sent wire.PrefillRequest
		is.NoErr(json.Unmarshal([]byte(e.requests["p1"+wire.PrefillPath]), &sent))
		is.Equal(sent.Text, "a prompt")
		is.Equal(sent.Tokens, core.Tokens(10))
		is.Equal(sent.Emitted, core.Tokens(4))
		is.Equal(sent.Allocation, wire.Allocation(allocation(1)))
	})
}

func TestRejectionsSetTheirFlag(t *testing.T) {
	for code, want := range map[string]core.EngineFailed{
		wire.CodeFull:     {Full: true},
		wire.CodeDraining: {Draining: true},
		wire.CodeNotFound: {},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := newEngines()
			e.rejection = &wire.ErrorBody{Code: code}
			e.client.Import("d1", "p1", core.StartImport{Engine: "d1", From: "p1", Allocation: allocation(1)})
			got := (<-e.messages).(core.EngineFailed)
			is.Equal(got.Step, core.ImportStep)
			is.Equal(got.Full, want.Full)
			is.Equal(got.Draining, want.Draining)
		})
	}
}

func TestStaleFencingTokenIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.rejection = &wire.ErrorBody{Code: wire.CodeStaleFencing}
		e.client.Order("d1", core.SendOrder{Order: core.Order{Engine: "d1", Fencing: 3}})
		got := (<-e.messages).(core.OrderFailed)
		is.True(got.StaleFencing)
	})
}

func TestUnknownAddressIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Poll("", core.PollEngine{Engine: "d1"})
		is.Equal((<-e.messages).(core.EngineUnreachable).Engine, core.EngineID("d1"))
		e.client.Release("", core.ReleaseMemory{Engine: "d1", Allocation: allocation(1)})
		is.Equal((<-e.messages).(core.ReleaseFailed).Engine, core.EngineID("d1"))
		e.client.Decode("", decode("d1", 1, 0))
		is.Equal((<-e.messages).(core.EngineFailed).Step, core.DecodeStep)
	})
}
