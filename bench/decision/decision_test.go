package decision_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
)

const (
	start       = core.Instant(1_800_000_000 * int64(time.Second))
	region      = core.RegionID("prairie-west")
	model       = core.ModelID("plot-scribe")
	entryNode   = core.NodeID("entry-1")
	prefillPool = core.PoolID("scribe-prefill")
	decodePool  = core.PoolID("scribe-decode")
	// reportEvery is the number of placements between two reports of all
	// engines. It represents one second of a node's share of the target's load.
	reportEvery = 500
)

// owner is a node that owns all engine groups in its view.
type owner struct {
	node       *core.Node
	now        core.Instant
	engines    []core.Upstream
	attempt    int
	unfinished []core.Allocation
}

// newOwner returns a node whose VM list has the given number of workers, a
// third of them for prefill, and no other node.
func newOwner(tb testing.TB, workers int) *owner {
	tb.Helper()
	self := core.NodeInfo{ID: "entry-0", Domain: "prairie-west-1", Region: region, PeerAddress: "entry-0"}
	o := &owner{now: start, node: &core.Node{Self: self, Incarnation: 1, Seed: 1}}
	for i := range workers {
		u := core.Upstream{
			ID: core.EngineID(fmt.Sprintf("engine-%d", i)), Pool: decodePool, Domain: self.Domain, Region: region,
		}
		if i%3 == 0 {
			u.Pool = prefillPool
		}
		o.engines = append(o.engines, u)
	}
	o.update(core.VMList{Nodes: []core.NodeInfo{self}, Upstreams: o.engines})
	o.update(configuration())
	o.advance(time.Second)
	o.reportAll()
	return o
}

func configuration() core.LogRead {
	profile := core.Profile{
		ID: "bill-summary", Model: model, PrefillPools: []core.PoolID{prefillPool}, DecodePools: []core.PoolID{decodePool},
		FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond, MaxTokens: 512,
	}
	records := []core.Record{
		core.PoolPublished{Publication: "a", Pool: core.Pool{ID: prefillPool, Team: "scribe", Role: core.Prefill, Model: model}},
		core.PoolPublished{Publication: "b", Pool: core.Pool{ID: decodePool, Team: "scribe", Role: core.Decode, Model: model}},
		core.ProfilePublished{Publication: "c", Profile: profile},
	}
	read := core.LogRead{
		Stream: core.ConfigStream, First: 1, End: core.Offset(len(records)), Now: int64(start), Retention: time.Hour,
	}
	for i, r := range records {
		read.Records = append(read.Records, core.LogRecord{Offset: core.Offset(i + 1), At: int64(start), Record: r})
	}
	return read
}

func (o *owner) update(m core.Message) []core.Command { return o.node.Update(o.now, m) }

// advance moves the clock in small steps, with a tick at each.
func (o *owner) advance(d time.Duration) {
	for end := o.now.Add(d); o.now < end; {
		o.now = o.now.Add(10 * time.Millisecond)
		o.update(core.Tick{})
	}
}

// reportAll delivers a report from every engine.
func (o *owner) reportAll() {
	for _, u := range o.engines {
		m := core.EngineReport{Engine: u.ID, State: core.Serving, Role: core.Decode, Model: model, Pieces: 20}
		if u.Pool == prefillPool {
			m.Role = core.Prefill
		}
		o.update(m)
	}
}

// place sends the owner one Place message and reports whether it allocated
// engines for the request.
func (o *owner) place() bool {
	o.attempt++
	a := core.Allocation{
		Request: core.RequestID(fmt.Sprintf("request-%d", o.attempt)), Attempt: 1, Holder: entryNode, Incarnation: 1,
	}
	place := core.Place{
		Allocation: a, Group: core.GroupID(string(model) + "/" + string(region) + "/0"), Profile: "bill-summary",
		Customer: core.CustomerID(fmt.Sprintf("plot-%d", o.attempt%60)),
		Prompt:   core.Prompt{Tokens: 1208, Blocks: []core.BlockHash{1, 2, 3, core.BlockHash(o.attempt)}}, MaxTokens: 512,
	}
	commands := o.update(core.PeerMessage{From: entryNode, Incarnation: 1, Body: place})
	o.unfinished = append(o.unfinished, a)
	for _, c := range commands {
		if send, ok := c.(core.SendPeer); ok {
			if _, placed := send.Body.(core.Placed); placed {
				return true
			}
		}
	}
	return false
}

// finishOldest reports all remaining progress of the oldest attempt, up to its
// completion.
func (o *owner) finishOldest() {
	a := o.unfinished[0]
	o.unfinished = o.unfinished[1:]
	for _, body := range []core.PeerBody{
		core.AttemptProgress{Allocation: a, Done: core.PrefillStep, Took: 100 * time.Millisecond},
		core.AttemptProgress{Allocation: a, Done: core.ImportStep, Took: 10 * time.Millisecond},
		core.AttemptEnded{Allocation: a, Reason: core.Completed, Tokens: 275, Decoded: 13 * time.Second},
	} {
		o.update(core.PeerMessage{From: entryNode, Incarnation: 1, Body: body})
	}
}

func TestIdleGroupPlacesAtOnce(t *testing.T) {
	for _, workers := range []int{12, 2000} {
		o := newOwner(t, workers)
		if !o.place() {
			t.Fatalf("request not placed at once with %d workers", workers)
		}
	}
}

// BenchmarkDecision measures all messages of one request at the owner of its
// engines: the placement, two progress reports and the end.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{12, 2000} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			o := newOwner(b, workers)
			b.ReportAllocs()
			placed := 0
			for i := 0; b.Loop(); i++ {
				if i%reportEvery == 0 {
					b.StopTimer()
					o.advance(100 * time.Millisecond)
					o.reportAll()
					b.StartTimer()
				}
				if o.place() {
					placed++
				}
				o.finishOldest()
			}
			b.ReportMetric(float64(placed)/float64(b.N), "promised/op")
		})
	}
}
