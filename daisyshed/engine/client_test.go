package engine_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
	"github.com/matryer/is"
)

func TestPrefillSendsTheText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		prompt := core.Prompt{Tokens: 10}
		e.client.Prefill("p1", core.StartPrefill{Engine: "p1", Allocation: allocation(1), Prompt: prompt, Model: "m", Emitted: 4})
		is.Equal(<-e.messages, core.PrefillDone{Engine: "p1", Allocation: allocation(1), Cached: 5})
		var asked wire.PrefillRequest
		is.NoErr(json.Unmarshal([]byte(e.requests["p1"+wire.PrefillPath]), &asked))
		is.Equal(asked.Text, "a prompt")
		is.Equal(asked.Tokens, core.Tokens(10))
		is.Equal(asked.Emitted, core.Tokens(4))
		is.Equal(asked.Allocation, wire.Allocation(allocation(1)))
	})
}

func TestRefusalsAreTyped(t *testing.T) {
	for code, want := range map[string]core.EngineFailed{
		wire.CodeFull:     {Full: true},
		wire.CodeDraining: {Draining: true},
		wire.CodeGone:     {},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := newEngines()
			e.refuse = &wire.ErrorBody{Code: code}
			e.client.Import("d1", "p1", core.StartImport{Engine: "d1", From: "p1", Allocation: allocation(1)})
			got := (<-e.messages).(core.EngineFailed)
			is.Equal(got.Step, core.ImportStep)
			is.Equal(got.Full, want.Full)
			is.Equal(got.Draining, want.Draining)
		})
	}
}

func TestOldFencingIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.refuse = &wire.ErrorBody{Code: wire.CodeOldFencing}
		e.client.Order("d1", core.SendOrder{Order: core.Order{Engine: "d1", Fencing: 3}})
		got := (<-e.messages).(core.OrderFailed)
		is.True(got.Refused)
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
