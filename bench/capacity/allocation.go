package capacity

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
	"daisyshed.dev/wire/peer"
	"daisyshed.dev/wire/vmlist"
)

const (
	// loadedNodes is the size of a fleet whose nodes each carry the target's
	// load per node.
	loadedNodes = 8
	// loadWarmUp is the time after which as many requests end as begin.
	loadWarmUp = 12 * time.Second
	// loadWindow is the period over which the load is measured.
	loadWindow = 20 * time.Second
)

// Allocation measures the cost of placement decisions, of the messages that a
// request causes between nodes, of polling engines, and of reading a VM list of
// the target's size. On the command line and in the output this part is called
// "books".
func Allocation(seed uint64, emit func(Row)) {
	r := Report{part: "books", emit: emit}
	perNode := float64(TargetRequests) / TargetNodes
	share := float64(TargetUpstreams) / TargetNodes
	for _, load := range []float64{0, perNode / 4, perNode} {
		measureLoad(r, seed, loadedNodes, int(share*loadedNodes), load)
	}
	measureLoad(r, seed, 1, 12, perNode/share*12)
	measureLoad(r, seed, 1, 64, perNode/share*64)
	for _, count := range []int{100, 1_000, TargetUpstreams} {
		measureVMList(r, seed, count)
	}
	measurePeerCodec(r)
}

// measureLoad measures a fleet in one region under a given request rate per
// node.
func measureLoad(r Report, seed uint64, nodes, engines int, perNode float64) {
	c := fmt.Sprintf("%d nodes, %d engines, %.3g req/s each", nodes, engines, perNode)
	before := heap()
	f := &Fleet{
		Seed: seed, Size: nodes, Regions: 1, Upstreams: upstreams(engines, 1), Roles: roles(),
		Settings: core.DefaultSettings(),
	}
	f.Open()
	f.publishLoad()
	f.Run(loadWarmUp)
	if perNode > 0 {
		f.scheduleRequests(perNode, loadWarmUp+loadWindow)
	}
	f.Run(loadWarmUp)
	f.Reset()
	allocatedBefore := allocated()
	f.Run(loadWindow)
	r.add(c, "bytes allocated per node, harness included", float64(allocated()-allocatedBefore)/float64(nodes)/loadWindow.Seconds(), "B/s")
	f.reportPerNode(r, c, loadWindow)
	r.add(c, "memory per node, engines and harness included", float64(heap()-before)/float64(nodes), "B")
	if f.Usage.Ended == 0 {
		return
	}
	ended := float64(f.Usage.Ended)
	requests := f.Usage.Requests()
	r.add(c, "requests that reached decoding", ended/float64(nodes)/loadWindow.Seconds(), "1/s per node")
	r.add(c, "requests refused", float64(f.Usage.Refused)/float64(nodes)/loadWindow.Seconds(), "1/s per node")
	r.add(c, "messages between nodes per request", float64(requests.Messages)/ended, "")
	r.add(c, "bytes between nodes per request", float64(requests.Bytes)/ended, "B")
	r.add(c, "request bytes per node", float64(requests.Bytes)/float64(nodes)/loadWindow.Seconds(), "B/s")
}

// measureVMList measures one node that reads a VM list with the target's number
// of nodes and the given number of upstreams.
func measureVMList(r Report, seed uint64, count int) {
	c := fmt.Sprintf("VM list of %d nodes, %d upstreams", TargetNodes, count)
	f := &Fleet{Seed: seed, Size: 1, Regions: 1}
	f.Open()
	f.publishLoad()
	f.Run(loadWarmUp)
	f.infos = nil
	for i := range TargetNodes {
		f.infos = append(f.infos, nodeInfo(i, TargetRegions))
	}
	f.Upstreams = upstreams(count, TargetRegions)
	f.listSize = 0
	f.Roles = roles()
	for _, u := range f.Upstreams {
		f.engines[u.ID] = &engine{upstream: u, role: f.Roles[u.Pool]}
	}
	before := heap()
	n := f.nodes[f.infos[0].ID]
	n.receive(core.VMList{Nodes: f.infos, Upstreams: f.Upstreams})
	n.receiveHeartbeatAcks()
	f.Run(time.Second)
	r.add(c, "memory of the list, groups and books", float64(heap()-before), "B")
	r.add(c, "size of the list", float64(f.vmListSize()), "B")
	r.add(c, "bytes of lists at one read a period", float64(f.vmListSize())/core.DefaultSettings().VMListEvery.Seconds(), "B/s")
	n.measureReads(r, c)
	data, _ := json.Marshal(f.vmList())
	began := time.Now()
	var list vmlist.List
	_ = json.Unmarshal(data, &list)
	r.add(c, "processor time to decode a list", time.Since(began).Seconds()*1000, "ms")
}

// receiveTimed passes a message to the core and returns the processor time that
// the core spent on it.
func (n *node) receiveTimed(m core.Message) time.Duration {
	before := n.fleet.Usage.UpdateTime
	n.receive(m)
	return n.fleet.Usage.UpdateTime - before
}

// receiveHeartbeatAcks makes the node receive a heartbeat acknowledgement from
// every other node.
func (n *node) receiveHeartbeatAcks() {
	for _, info := range n.fleet.infos {
		if info.ID != n.info.ID {
			n.receive(core.PeerMessage{From: info.ID, Incarnation: 1, Body: core.HeartbeatAck{}})
		}
	}
}

const (
	// listReads is the number of reads over which times are averaged.
	listReads = 10
	// regroupWithin is slightly longer than the delay after which the core
	// rebuilds its engine groups.
	regroupWithin = 25 * time.Millisecond
)

// measureReads measures reads of an unchanged list, and of lists in which one
// upstream has changed.
func (n *node) measureReads(r Report, c string) {
	f := n.fleet
	for _, changed := range []bool{false, true} {
		var took, later time.Duration
		for i := range listReads {
			list := slices.Clone(f.Upstreams)
			if changed {
				list[i].Leaving = true
			}
			took += n.receiveTimed(core.VMList{Nodes: f.infos, Upstreams: list})
			later += f.runTimed(regroupWithin)
		}
		what := "an unchanged list"
		if changed {
			what = "a changed list"
		}
		r.add(c, "processor time to take in "+what, took.Seconds()/listReads*1000, "ms")
		r.add(c, "processor time after "+what+", to regroup", later.Seconds()/listReads*1000, "ms")
	}
}

// runTimed advances virtual time and returns the processor time that the cores
// spent meanwhile.
func (f *Fleet) runTimed(d time.Duration) time.Duration {
	before := f.Usage.UpdateTime
	f.Run(d)
	return f.Usage.UpdateTime - before
}

// measurePeerCodec measures the size, encoding and decoding of Place, the
// message that requests a placement from an owner, and of engine reports.
func measurePeerCodec(r Report) {
	for _, blocks := range []int{0, 18, 128} {
		c := fmt.Sprintf("Place with %d blocks", blocks)
		m := core.PeerMessage{From: "entry-001", Incarnation: 1, Body: core.Place{
			Allocation: core.Allocation{Request: "request-00000000000000000000000001", Attempt: 1, Holder: "entry-001", Incarnation: 1},
			Group:      "plot-scribe/region-1/3", Profile: loadProfile, Customer: "plot-1",
			Prompt: core.Prompt{Tokens: core.Tokens(blocks+1) * core.BlockTokens, Blocks: make([]core.BlockHash, blocks)},
		}}
		data, _ := peer.Encode(m)
		r.add(c, "size", float64(len(data)), "B")
		r.add(c, "processor time to encode and decode", meanCallTime(func() {
			data, _ := peer.Encode(m)
			_, _ = peer.Decode(data)
		}).Seconds()*1e6, "µs")
	}
	measureReportCodec(r)
}

// measureReportCodec measures the decoding of a decode engine's report.
func measureReportCodec(r Report) {
	const held = 30
	report := wire.Report{State: "Serving", Role: "Decode", Model: modelName}
	for i := range held {
		report.Held = append(report.Held, wire.Held{Allocation: wire.Allocation{
			Request: core.RequestID(fmt.Sprintf("request-%026d", i)), Attempt: 1, Holder: "entry-001", Incarnation: 1_800_000_000_000_000_000,
		}, Tokens: 4096, Emitted: 100})
	}
	data, _ := json.Marshal(report)
	c := fmt.Sprintf("report with %d held", held)
	r.add(c, "size", float64(len(data)), "B")
	r.add(c, "processor time to decode", meanCallTime(func() {
		var got wire.Report
		_ = json.Unmarshal(data, &got)
	}).Seconds()*1e6, "µs")
}

// meanCallTime returns the mean duration of a call.
func meanCallTime(f func()) time.Duration {
	const calls = 5_000
	began := time.Now()
	for range calls {
		f()
	}
	return time.Since(began) / calls
}
