package decision_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
)

const (
	start    = core.Instant(1_800_000_000 * int64(time.Second))
	region   = core.RegionID("prairie-west")
	model    = core.ModelID("plot-scribe")
	peer     = core.NodeID("entry-1")
	prefills = core.PoolID("scribe-prefill")
	decodes  = core.PoolID("scribe-decode")
	// reportEvery is the number of decisions between two reports of all
	// engines, a second of the target's load for one node's share.
	reportEvery = 500
)

// owner is one node that owns all groups of engines in its view.
type owner struct {
	node    *core.Node
	now     core.Instant
	engines []core.Upstream
	attempt int
	held    []core.Allocation
}

// newOwner returns a node with workers in its view, a third of them for
// prefill, and eight nodes of which the others have not been heard of.
func newOwner(tb testing.TB, workers int) *owner {
	tb.Helper()
	self := core.NodeInfo{ID: "entry-0", Domain: "prairie-west-1", Region: region, PeerAddress: "entry-0"}
	o := &owner{now: start, node: &core.Node{Self: self, Incarnation: 1, Seed: 1}}
	for i := range workers {
		u := core.Upstream{
			ID: core.EngineID(fmt.Sprintf("engine-%d", i)), Pool: decodes, Domain: self.Domain, Region: region,
		}
		if i%3 == 0 {
			u.Pool = prefills
		}
		o.engines = append(o.engines, u)
	}
	o.update(core.VMList{Nodes: []core.NodeInfo{self}, Upstreams: o.engines})
	o.update(configuration())
	o.pass(time.Second)
	o.report()
	return o
}

func configuration() core.LogRead {
	profile := core.Profile{
		ID: "bill-summary", Model: model, PrefillPools: []core.PoolID{prefills}, DecodePools: []core.PoolID{decodes},
		FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond, MaxTokens: 512,
	}
	records := []core.Record{
		core.PoolPublished{Publication: "a", Pool: core.Pool{ID: prefills, Team: "scribe", Role: core.Prefill, Model: model}},
		core.PoolPublished{Publication: "b", Pool: core.Pool{ID: decodes, Team: "scribe", Role: core.Decode, Model: model}},
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

// pass lets time pass in small steps.
func (o *owner) pass(d time.Duration) {
	for end := o.now.Add(d); o.now < end; {
		o.now = o.now.Add(10 * time.Millisecond)
		o.update(core.Tick{})
	}
}

// report lets every engine report.
func (o *owner) report() {
	for _, u := range o.engines {
		m := core.EngineReport{Engine: u.ID, State: core.Serving, Role: core.Decode, Model: model, Pieces: 20}
		if u.Pool == prefills {
			m.Role = core.Prefill
		}
		o.update(m)
	}
}

// place asks for one placement, and reports whether it was promised.
func (o *owner) place() bool {
	o.attempt++
	a := core.Allocation{
		Request: core.RequestID(fmt.Sprintf("request-%d", o.attempt)), Attempt: 1, Holder: peer, Incarnation: 1,
	}
	place := core.Place{
		Allocation: a, Group: core.GroupID(string(model) + "/" + string(region) + "/0"), Profile: "bill-summary",
		Customer: core.CustomerID(fmt.Sprintf("plot-%d", o.attempt%60)),
		Prompt:   core.Prompt{Tokens: 1208, Blocks: []core.BlockHash{1, 2, 3, core.BlockHash(o.attempt)}}, MaxTokens: 512,
	}
	commands := o.update(core.PeerMessage{From: peer, Incarnation: 1, Body: place})
	o.held = append(o.held, a)
	for _, c := range commands {
		if send, ok := c.(core.SendPeer); ok {
			if _, promised := send.Body.(core.Placed); promised {
				return true
			}
		}
	}
	return false
}

// step moves the oldest attempt on to its end.
func (o *owner) step() {
	a := o.held[0]
	o.held = o.held[1:]
	for _, body := range []core.PeerBody{
		core.AttemptProgress{Allocation: a, Done: core.PrefillStep, Took: 100 * time.Millisecond},
		core.AttemptProgress{Allocation: a, Done: core.ImportStep, Took: 10 * time.Millisecond},
		core.AttemptEnded{Allocation: a, Reason: core.Completed, Tokens: 275, Decoded: 13 * time.Second},
	} {
		o.update(core.PeerMessage{From: peer, Incarnation: 1, Body: body})
	}
}

func TestAnIdleGroupPromisesAtOnce(t *testing.T) {
	for _, workers := range []int{12, 2000} {
		o := newOwner(t, workers)
		if !o.place() {
			t.Fatalf("no promise with %d workers", workers)
		}
	}
}

// BenchmarkDecision measures one request at the owner of its engines, from the
// question to the end: a placement, two steps and the end.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{12, 2000} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			o := newOwner(b, workers)
			b.ReportAllocs()
			promised := 0
			for i := 0; b.Loop(); i++ {
				if i%reportEvery == 0 {
					b.StopTimer()
					o.pass(100 * time.Millisecond)
					o.report()
					b.StartTimer()
				}
				if o.place() {
					promised++
				}
				o.step()
			}
			b.ReportMetric(float64(promised)/float64(b.N), "promised/op")
		})
	}
}
