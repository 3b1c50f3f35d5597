package platformlog_test

import (
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func durations() *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.Int64(), func(n int64) time.Duration { return time.Duration(n) })
}

// drawPoolIDs draws a list of pool IDs. An empty list is nil, as the codec
// decodes it.
func drawPoolIDs(t *rapid.T, label string) []core.PoolID {
	ids := rapid.SliceOfN(rapid.StringMatching(`[a-z0-9-]{1,8}`), 0, 3).Draw(t, label)
	var out []core.PoolID
	for _, id := range ids {
		out = append(out, core.PoolID(id))
	}
	return out
}

func drawProfile(t *rapid.T) core.Profile {
	p := core.Profile{
		ID:               core.ProfileID(rapid.String().Draw(t, "id")),
		Kind:             rapid.SampledFrom([]core.ProfileKind{core.Generate, core.Service}).Draw(t, "kind"),
		Model:            core.ModelID(rapid.String().Draw(t, "model")),
		PrefillPools:     drawPoolIDs(t, "prefill"),
		DecodePools:      drawPoolIDs(t, "decode"),
		ServicePools:     drawPoolIDs(t, "service"),
		FirstTokenTarget: durations().Draw(t, "first"),
		PerTokenTarget:   durations().Draw(t, "per"),
		MaxWait:          durations().Draw(t, "wait"),
		Priority:         rapid.Int().Draw(t, "priority"),
		BorrowedShare:    rapid.Float64().Draw(t, "borrowed"),
		WasteWeight:      rapid.Float64().Draw(t, "waste"),
		Repeatable:       rapid.Bool().Draw(t, "repeatable"),
		DefaultShare:     rapid.Float64().Draw(t, "share"),
		MaxTokens:        core.Tokens(rapid.Int().Draw(t, "tokens")),
		Withdrawn:        drawPoolIDs(t, "withdrawn"),
	}
	if rapid.Bool().Draw(t, "shares") {
		p.Shares = map[core.CustomerID]float64{"a": rapid.Float64().Draw(t, "a"), "b": 1}
	}
	return p
}

func drawPool(t *rapid.T) core.Pool {
	return core.Pool{
		ID:        core.PoolID(rapid.String().Draw(t, "id")),
		Team:      core.TeamID(rapid.String().Draw(t, "team")),
		Role:      rapid.SampledFrom([]core.Role{core.Prefill, core.Decode, core.Plain}).Draw(t, "role"),
		Model:     core.ModelID(rapid.String().Draw(t, "model")),
		Borrowed:  rapid.Bool().Draw(t, "borrowed"),
		ReturnBy:  durations().Draw(t, "return"),
		Fenced:    rapid.Bool().Draw(t, "fenced"),
		Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
	}
}

func drawRecord(t *rapid.T) core.Record {
	text := rapid.String().Draw(t, "text")
	n := rapid.Int64().Draw(t, "n")
	inc := core.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
	switch rapid.IntRange(0, 5).Draw(t, "record") {
	case 0:
		return core.ProfilePublished{
			Publication: core.PublicationID(text), Operator: text, Base: core.Revision(n), Profile: drawProfile(t), Source: text,
		}
	case 1:
		return core.PoolPublished{
			Publication: core.PublicationID(text), Operator: text, Base: core.Revision(n), Pool: drawPool(t), Source: text,
		}
	case 2:
		return core.SnapshotTaken{
			Through:  core.Offset(n),
			Profiles: []core.ProfileEntry{{Profile: drawProfile(t), Revision: core.Revision(n), Offset: core.Offset(n), Source: text}},
			Pools:    []core.PoolEntry{{Pool: drawPool(t), Revision: core.Revision(n), Operator: text}},
		}
	case 3:
		return core.KeyIntent{
			Key: core.IdempotencyKey(text), Profile: core.ProfileID(text), Writer: "n", Incarnation: inc, Digest: uint64(n),
		}
	case 4:
		return core.KeyResult{
			Key: core.IdempotencyKey(text), Writer: "n", Incarnation: inc,
			Outcome: rapid.SampledFrom([]core.Outcome{core.Ran, core.NotRun, core.Unknown}).Draw(t, "outcome"),
			Status:  int(n), Body: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "body"),
		}
	default:
		return core.EngineClaim{Engine: core.EngineID(text), Holder: "n", Incarnation: inc, Lease: durations().Draw(t, "lease")}
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		record := drawRecord(t)
		data, err := platformlog.Encode(record)
		is.NoErr(err)
		again, err := platformlog.Encode(record)
		is.NoErr(err)
		is.Equal(string(data), string(again))      // equal records give equal bytes
		is.Equal(platformlog.Decode(data), record) // nothing is lost
	})
}

func TestInvalidDataDecodesAsUnreadable(t *testing.T) {
	for name, data := range map[string]string{
		"empty":            ``,
		"no JSON":          `\x00\x01`,
		"null":             `null`,
		"unknown kind":     `{"Kind":"Nonsense","Body":{}}`,
		"unknown field":    `{"Kind":"KeyIntent","Body":{"Key":"k","Extra":1}}`,
		"unknown envelope": `{"Kind":"KeyIntent","Body":{},"Extra":1}`,
		"unknown role":     `{"Kind":"PoolPublished","Body":{"Pool":{"ID":"p","Role":"Nonsense"}}}`,
		"bad duration":     `{"Kind":"EngineClaim","Body":{"Lease":"soon"}}`,
		"trailing data":    `{"Kind":"KeyIntent","Body":{}} {}`,
		"no body":          `{"Kind":"KeyIntent"}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, ok := platformlog.Decode([]byte(data)).(core.Unreadable)
			is.True(ok)
			is.True(u.Reason != "")
		})
	}
}

func TestDurationsAreEncodedAsText(t *testing.T) {
	is := is.New(t)
	data, err := platformlog.Encode(core.EngineClaim{Lease: 540 * time.Millisecond})
	is.NoErr(err)
	is.True(strings.Contains(string(data), `"Lease":"540ms"`))
}

func TestEncodeRejectsInvalidUTF8AndUnreadable(t *testing.T) {
	is := is.New(t)
	_, err := platformlog.Encode(core.KeyIntent{Key: "\xff"})
	_, ok := err.(*platformlog.EncodeError)
	is.True(ok)
	_, err = platformlog.Encode(core.Unreadable{Reason: "r"})
	_, ok = err.(*platformlog.EncodeError)
	is.True(ok)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Kind":"KeyIntent","Body":{"Key":"k"}}`))
	f.Add([]byte(`{"Kind":"SnapshotTaken","Body":{"Through":3,"Pools":[{"Pool":{"ID":"p","Role":"Decode"}}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record := platformlog.Decode(data)
		if _, ok := record.(core.Unreadable); ok {
			return
		}
		once, err := platformlog.Encode(record)
		if err != nil {
			t.Fatalf("decoded but not encoded: %v", err)
		}
		twice, err := platformlog.Encode(platformlog.Decode(once))
		if err != nil || string(once) != string(twice) {
			t.Fatalf("not stable: %s, %s, %v", once, twice, err)
		}
	})
}
